/** Handles the events of attempts (answers, first events, ends, failures): relays, resumes, retries or refuses. */
import { logInfo } from "../../effects";
import { addMillis } from "../../ids";
import { releaseRetry } from "../../policy/retryBudget";
import type { AttemptFault } from "../calls";
import type { ForwardEventOf, ForwardTick } from "../events";
import { getNewestWeights } from "../tables/configuration";
import { findOpenAttempt, type ForwardAttempt, type ForwardRequestRow } from "../tables/requests";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { recordCachedParts } from "./cacheSalts";
import { recordFailedOutcome } from "./failureReports";
import { recordAnsweredParts, recordLostAttempt } from "./followCrashes";
import { recordTransferDelay } from "./partStores";
import { canRepeat, closeAttempt, requeueRequest, retryOrRefuse } from "./repeatRequests";
import { closeRequest, refuseForwardRequest } from "./requestEnd";
import { recordNamedLimit } from "./requestLimits";
import { moveSilentAttempt, recordSilence, retrySilent } from "./silentAttempts";
import { recordTenure } from "./slotUse";
import { recordDeparture } from "./targetDepartures";
import {
    expectLoading,
    overloadBackOffMs,
    recordDeferral,
    recordErrorAnswer,
    recordForwardFailure,
    recordForwardSuccess,
    recordSignOfLife,
} from "./targetHealth";

/** Faults with which the connection of an attempt ends although its answer is not complete. */
const lostConnectionFaults: ReadonlySet<AttemptFault> = new Set([
    "closed",
    "cut_short",
    "target_ended",
    "end_unconfirmed",
]);

type AttemptEventKind =
    | "attemptWriteStarted"
    | "attemptAnswered"
    | "attemptFirstEvent"
    | "attemptSilent"
    | "attemptContinued"
    | "attemptFinished"
    | "attemptFailed";

type Handler<Kind extends AttemptEventKind> = (
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
    event: ForwardEventOf<Kind>,
) => void;

/** Updates the target's state from the reason of a refusal: other weights, a load in progress, or overload. */
function recordRefusal(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: ForwardTargetRow,
    event: ForwardEventOf<"attemptAnswered">,
): void {
    const { model } = row.arrival;
    const { headerFields, status } = event;
    if (headerFields.isMisdirected) {
        const newest = model && getNewestWeights(world.tables.configuration, model)?.version;
        const version = headerFields.weightsVersion ?? newest;
        if (model && version !== undefined && target.weights.get(model) !== version) {
            target.weights.set(model, version);
            world.tables.cachedParts.removeTarget(target.registration.id);
            return;
        }
        recordForwardFailure(world, tick, target, "misdirected");
        return;
    }
    if (model) {
        const newest = getNewestWeights(world.tables.configuration, model);
        if (newest && target.weights.get(model) !== newest.version) {
            expectLoading(target, tick.now);
            return;
        }
    }
    target.unavailableUntil = addMillis(tick.now, overloadBackOffMs);
    logInfo(world.effects, "target:", "Target is overloaded; it gets no requests for a short time.", {
        target: target.registration.id,
        status,
    });
}

/** Checks that an answer belongs to the request, and that a success carries the target's signature. */
function findAnswerFault(row: ForwardRequestRow, event: ForwardEventOf<"attemptAnswered">): string | undefined {
    const { headerFields, status } = event;
    if (headerFields.attemptId !== undefined && headerFields.attemptId !== row.arrival.attemptId) {
        return "mismatched";
    }
    if (status < 300 && !headerFields.isSigned) {
        return "unsigned";
    }
    // To the caller, a 503, 429 or 408 means that the request did not run, which the target has not confirmed.
    return status === 503 || status === 429 || status === 408 ? `status ${status}` : undefined;
}

function handleAnswer(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
    event: ForwardEventOf<"attemptAnswered">,
): void {
    const { headerFields, status } = event;
    const target = world.tables.targets.get(attempt.target);
    const isRefusal = (headerFields.isNotRun || headerFields.isMisdirected)
        && (headerFields.attemptId === undefined || headerFields.attemptId === row.arrival.attemptId);
    attempt.evidence = { hasWrittenBytes: true, answer: isRefusal ? "refused" : "answered" };
    if (target) {
        target.lastResponseAt = tick.now;
        recordSignOfLife(world, target);
        recordNamedLimit(world, tick, target, attempt, headerFields.requestsPerSecond);
    }
    if (target && headerFields.retryAfterMs !== undefined) {
        recordDeferral(world, tick, target, headerFields.retryAfterMs);
    }
    if (headerFields.isLeaving) {
        recordDeparture(world, tick, attempt.target, { at: tick.now, source: "an answer" });
    }
    if (isRefusal) {
        if (target) {
            recordRefusal(world, tick, row, target, event);
        }
        closeAttempt(world, row, attempt, `refused with ${status}`);
        retryOrRefuse(world, tick, row, "refused");
        return;
    }
    const fault = findAnswerFault(row, event)
        ?? (row.isRelaying && !event.isOpenStream ? "not_resumed" : undefined);
    const isError = status >= 500;
    if (target && (fault !== undefined || isError)) {
        recordErrorAnswer(target);
        recordFailedOutcome(world, tick, attempt.target, "error");
    }
    if (fault !== undefined || (isError && row.isRepeatable && canRepeat(world, tick, row))) {
        closeAttempt(world, row, attempt, fault ?? `status ${status}`);
        retryOrRefuse(world, tick, row, fault ?? "error");
        return;
    }
    world.effects.append({ kind: "relayAnswer", request: row.id, attempt: attempt.number });
    row.isRelaying = true;
    if (event.isOpenStream) {
        return;
    }
    if (target && !isError) {
        recordForwardSuccess(world, target);
    }
    endRequest(world, tick, row, attempt, status);
}

function endRequest(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
    status: number,
): void {
    attempt.isOpen = false;
    attempt.outcome = "finished";
    recordTenure(world, tick, row, attempt);
    logInfo(world.effects, "stream:", "Request finished.", {
        request: row.id,
        target: attempt.target,
        status,
        ageMs: Math.round(tick.now - row.arrival.arrivedAt),
        writeDelayMs: Math.round((attempt.writeStartedAt ?? attempt.sentAt) - attempt.sentAt),
        attempts: row.attempts.length,
    });
    closeRequest(world, tick, row);
}

function handleFirstEvent(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
): void {
    const target = world.tables.targets.get(attempt.target);
    const inFlightRequest = target?.inFlight.get(row.id);
    attempt.firstEventAt = tick.now;
    recordTransferDelay(world, tick, attempt);
    if (!row.hasFirstEvent) {
        row.hasFirstEvent = true;
        const firstMs = tick.now - row.arrival.arrivedAt;
        world.effects.append({ kind: "recordValue", name: "first_token_ms", value: firstMs });
    }
    if (target) {
        target.lastResponseAt = tick.now;
        recordForwardSuccess(world, target);
        recordCachedParts(world, tick, row, attempt);
    }
    const budget = world.tables.retryBudgets.get(row.service);
    if (row.hasExtraRetryReserved && budget) {
        row.hasExtraRetryReserved = false;
        releaseRetry(budget);
    }
    if (inFlightRequest) {
        inFlightRequest.missedTokens = 0;
        inFlightRequest.hasAnswered = true;
    }
}

function handleFailure(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
    event: ForwardEventOf<"attemptFailed">,
): void {
    const target = world.tables.targets.get(attempt.target);
    row.lastEventId = Math.max(row.lastEventId, event.lastEventId);
    closeAttempt(world, row, attempt, event.fault);
    if (event.fault === "moved" || event.fault === "silent") {
        // Its retry was reserved in the budget when the move started.
        requeueRequest(world, row, event.fault);
        return;
    }
    if (target && event.fault !== "not_sent") {
        recordForwardFailure(world, tick, target, event.fault);
    }
    if (lostConnectionFaults.has(event.fault)) {
        recordLostAttempt(world, tick, row, attempt);
    }
    if (row.isRelaying && !row.route.isResumable) {
        refuseForwardRequest(world, tick, row, "stream_interrupted");
        return;
    }
    retryOrRefuse(world, tick, row, event.fault);
}

const attemptHandlers: { readonly [Kind in AttemptEventKind]: Handler<Kind>; } = {
    attemptWriteStarted: (world, tick, _row, attempt) => {
        attempt.evidence = { ...attempt.evidence, hasWrittenBytes: true };
        attempt.writeStartedAt = tick.now;
        world.effects.append({ kind: "recordValue", name: "write_delay_ms", value: tick.now - attempt.sentAt });
    },
    attemptAnswered: handleAnswer,
    attemptFirstEvent: handleFirstEvent,
    attemptFinished: (world, tick, row, attempt) => {
        recordAnsweredParts(world, row, tick.now);
        endRequest(world, tick, row, attempt, 200);
    },
    attemptSilent: (world, tick, row, attempt) => {
        recordSilence(world, tick, attempt);
        moveSilentAttempt(world, tick, row, attempt);
    },
    attemptContinued: (world, tick, row, attempt) => {
        attempt.silentSince = undefined;
        row.waitsFor = undefined;
        const target = world.tables.targets.get(attempt.target);
        if (target) {
            target.lastResponseAt = tick.now;
            recordForwardSuccess(world, target);
        }
        logInfo(world.effects, "stream:", "Target sends again.", { request: row.id, target: attempt.target });
    },
    attemptFailed: handleFailure,
};

/** Kinds of events, in the order in which they can occur within one tick. */
const handlerOrder = Object.keys(attemptHandlers) as AttemptEventKind[];

function handleEvents<Kind extends AttemptEventKind>(world: ForwardWorld, tick: ForwardTick, kind: Kind): void {
    for (const event of tick.events.list(kind) as readonly ForwardEventOf<AttemptEventKind>[]) {
        const row = world.tables.requests.get(event.request);
        const attempt = row && findOpenAttempt(row, event.attempt);
        if (row && attempt) {
            (attemptHandlers[kind] as Handler<AttemptEventKind>)(world, tick, row, attempt, event);
        }
    }
}

/**
 * Reads: configuration. Writes: requests, targets, crashes, cached parts, retry budgets, usage windows.
 * Effects: relays, cancelled attempts, refusals, counts, log lines.
 */
export function followAttempts(world: ForwardWorld, tick: ForwardTick): void {
    for (const kind of handlerOrder) {
        handleEvents(world, tick, kind);
    }
    retrySilent(world, tick);
}
