/** Chooses a target for each queued request and sends it. */
import { logInfo, logWarning } from "../../effects";
import { addMillis } from "../../ids";
import { createRetryBudget, hasRetry, recordFirstSend, reserveRetry } from "../../policy/retryBudget";
import type { ForwardCall } from "../calls";
import type { RouteKind } from "../document";
import type { ForwardTick } from "../events";
import { computeReturnMs } from "../policy/slotWait";
import { formatAttemptKey, type ForwardRequestRow, type MissingResource } from "../tables/requests";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { findSaltWithoutParts } from "./cacheSalts";
import { chooseEngine, type TargetChoice } from "./chooseEngine";
import { isUsable, listEligible } from "./eligibleTargets";
import { computeRequestPriority } from "./engineCandidates";
import { computeFailureShare } from "./failureReports";
import { refuseForwardRequest } from "./requestEnd";
import { findFirstToken, reserveRequestToken } from "./requestLimits";
import { recordVersionedSend } from "./serviceVersions";
import { checkAdmission, isAdmittedBySlots } from "./slotUse";
import { computeDeferralMs } from "./targetHealth";
import { findQuarantine, recordTrial } from "./updateQuarantine";

/** A request without an eligible target waits this fraction of its route's objective, then is refused as not run. */
const maxTargetWaitFraction = 0.125;
/** A request is refused as overloaded if its estimated queueing time exceeds this fraction of its route's objective. */
const maxQueueFraction = 0.9;
/** Retry delay sent to a caller whose request found no eligible target. */
const noTargetRetryAfterSeconds = 0.3;
/** Score in milliseconds that each request in flight adds to a target of a plain service. */
const serviceRequestCostMs = 10;
const serviceRemoteCostMs = 5;
const serviceFailureCostMs = 200;

function chooseServiceTarget(
    world: ForwardWorld,
    row: ForwardRequestRow,
    eligible: readonly ForwardTargetRow[],
): TargetChoice | undefined {
    const salt = findSaltWithoutParts(world, row);
    let best: TargetChoice | undefined;
    for (const target of eligible) {
        const remoteMs = target.registration.dataCentre === world.settings.dataCentre ? 0 : serviceRemoteCostMs;
        const scoreMs = target.inFlight.size * serviceRequestCostMs
            + remoteMs
            + computeFailureShare(world, target) * serviceFailureCostMs
            + world.random();
        if (!best || scoreMs < best.scoreMs) {
            best = {
                target,
                scoreMs,
                queueMs: 0,
                firstEventMs: 0,
                version: undefined,
                salt,
                reusedTokens: 0,
                fetchFrom: undefined,
            };
        }
    }
    return best;
}

/** Time without data from a target, in objectives of the route, after which a request is sent to another target. */
const idleTimeoutObjectives = { repeatable: 2, single: 0, stream: 3 } as const satisfies Record<RouteKind, number>;
/** Largest fraction of the time until the deadline that one target may use up without sending data. */
const maxIdleFraction = 0.45;

/** Undefined for a request that may not be repeated: it waits for its target until its deadline. */
function computeIdleTimeoutMs(tick: ForwardTick, row: ForwardRequestRow): number | undefined {
    if (!row.isRepeatable || row.attempts.length >= row.route.maxTargets) {
        return undefined;
    }
    const remainingMs = row.deadline - tick.now;
    return Math.max(
        1,
        Math.min(remainingMs * maxIdleFraction, row.route.latencyObjectiveMs * idleTimeoutObjectives[row.route.kind]),
    );
}

function buildCall(tick: ForwardTick, row: ForwardRequestRow, choice: TargetChoice): ForwardCall {
    const { registration } = choice.target;
    const call: ForwardCall = {
        target: registration.id,
        address: registration.address,
        instance: registration.instance,
        account: row.accountId,
        timeLeftMs: Math.max(1, Math.floor(row.deadline - tick.now)),
        idleTimeoutMs: computeIdleTimeoutMs(tick, row),
        resumeAfterEventId: row.lastEventId > 0 ? row.lastEventId : undefined,
    };
    const { version, salt } = choice;
    if (salt === undefined) {
        return call;
    }
    return {
        ...call,
        engine: {
            salt,
            version,
            priority: computeRequestPriority(row),
            fetchFrom: choice.fetchFrom,
            copyTo: choice.copyTo,
        },
    };
}

/** Fraction of the fleet's fixed retry allowance (`retryMin`) held as burst by processes; a window refills the rest. */
const retryBurstFraction = 0.45;

function recordSend(world: ForwardWorld, row: ForwardRequestRow): void {
    const { retryBudgets, members } = world.tables;
    const { retryMin, retryRatio } = world.settings.bounds;
    const burst = Math.max(1, retryMin * retryBurstFraction / Math.max(1, members.countLive()));
    const budget = retryBudgets.get(row.service) ?? createRetryBudget({ burst });
    retryBudgets.set(row.service, budget);
    if (row.attempts.length === 0) {
        recordFirstSend(budget, retryRatio);
    }
}

/** Logs that the request is sent once more, with the outcome of the attempt before. */
function recordRepeat(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): void {
    const before = row.attempts.at(-2);
    row.waitsFor = undefined;
    logInfo(world.effects, "stream:", "Request is sent again.", {
        request: row.id,
        outcome: before?.outcome,
        target: before?.target,
        attempts: row.attempts.length,
        lastEventId: row.lastEventId,
        sinceLastMs: before && Math.round(tick.now - before.sentAt),
    });
}

function sendToTarget(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, choice: TargetChoice): void {
    const { target, version, salt } = choice;
    recordSend(world, row);
    recordTrial(world, row);
    reserveRequestToken(target);
    const number = row.attempts.length + 1;
    row.attempts.push({
        number,
        target: target.registration.id,
        sentAt: tick.now,
        writeStartedAt: undefined,
        weights: version,
        salt,
        evidence: { hasWrittenBytes: false, answer: "none" },
        isOpen: true,
        firstEventAt: undefined,
        silentSince: undefined,
        outcome: "",
        estimate: version === undefined
            ? undefined
            : { firstEventMs: choice.queueMs + choice.firstEventMs, fetchFrom: choice.fetchFrom },
    });
    if (target.backOffUntil > 0) {
        target.trialRequest = row.id;
    }
    target.inFlight.set(row.id, {
        missedTokens: Math.max(0, row.arrival.promptTokens - choice.reusedTokens),
        sentAt: tick.now,
        hasAnswered: false,
        priority: computeRequestPriority(row),
    });
    recordVersionedSend(world, tick, row, target);
    world.tables.requests.updateState(row, "running");
    const call = buildCall(tick, row, choice);
    if (call.engine) {
        world.effects.append({ kind: "recordValue", name: "engine_queue_ms", value: choice.queueMs });
    }
    if (call.idleTimeoutMs !== undefined) {
        const at = addMillis(tick.now, call.idleTimeoutMs);
        world.timers.schedule({ name: "attemptIdleTimeout", at, key: formatAttemptKey(row.id, number) });
    }
    world.effects.append({ kind: "sendRequest", request: row.id, attempt: number, call });
    if (target.missingUntil !== undefined) {
        world.effects.append({ kind: "addCount", name: "requests_without_row_total", value: 1, labels: {} });
    }
    if (number > 1) {
        recordRepeat(world, tick, row);
    }
    logInfo(world.effects, "route:", "Request is sent.", {
        request: row.id,
        route: row.route.id,
        account: row.accountId,
        attempt: number,
        target: target.registration.id,
        scoreMs: Math.round(choice.scoreMs),
        queueMs: Math.round(choice.queueMs),
        rank: choice.rank,
        heldTokens: choice.reusedTokens,
        promptTokens: row.arrival.promptTokens,
        fetchFrom: choice.fetchFrom,
        copyTo: choice.copyTo,
        sharedPart: row.arrival.parts.at(-2)?.id,
        sharedTokens: row.arrival.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0),
        weights: version,
        salt,
        work: target.inFlight.size,
        limitPerSecond: target.requestLimit?.perSecond,
        isRowMissing: target.missingUntil !== undefined || undefined,
        version: world.tables.configuration.version,
        storeAgeMs: Math.round(tick.now - world.tables.node.storeConfirmedAt),
    });
}

/** Delay before routing is tried again for a stream that is waiting to be resumed. */
const resumeRetryDelayMs = 100;

/** Keeps a stream that is waiting to be resumed in the queue; each reason is logged once. */
function waitToResume(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, missing: MissingResource): void {
    world.timers.schedule({ name: "requestRetry", at: addMillis(tick.now, resumeRetryDelayMs), key: row.id });
    if (row.waitsFor === missing) {
        return;
    }
    row.waitsFor = missing;
    world.effects.append({ kind: "addCount", name: "waits_total", value: 1, labels: { missing } });
    logWarning(world.effects, "route:", "Request waits to be sent again.", {
        request: row.id,
        missing,
        attempts: row.attempts.map(({ target, outcome }) => `${target} ${outcome}`),
        lastEventId: row.lastEventId,
        budgetLeft: world.tables.retryBudgets.get(row.service)?.level,
        targets: world.tables.targets.listService(row.service).length,
        timeLeftMs: Math.round(row.deadline - tick.now),
    });
}

/** Reserves the retry of a resumed stream if that has not been done yet; false while the budget is exhausted. */
function reservePendingRetry(world: ForwardWorld, row: ForwardRequestRow): boolean {
    const budget = world.tables.retryBudgets.get(row.service);
    if (!row.needsRetryReservation || !budget) {
        return true;
    }
    if (!hasRetry(budget)) {
        return false;
    }
    reserveRetry(budget);
    row.needsRetryReservation = false;
    return true;
}

/** Keeps a request that no target can take now for a short time, then refuses it. */
function waitForTarget(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): void {
    const waitUntil = addMillis(row.arrival.arrivedAt, row.route.latencyObjectiveMs * maxTargetWaitFraction);
    const targets = world.tables.targets.listService(row.service);
    const deferralMs = computeDeferralMs(targets, tick.now);
    if (addMillis(tick.now, deferralMs) > waitUntil && deferralMs > 0) {
        refuseForwardRequest(world, tick, row, "overloaded", Math.min(row.route.timeoutMs, deferralMs) / 1000);
        return;
    }
    const usable = targets.filter(target => isUsable(world, tick, row, target) && tick.now >= target.unavailableUntil);
    const token = findFirstToken(world, tick, usable);
    if (token && addMillis(tick.now, token.waitMs) > waitUntil) {
        token.limit.bucket.promised += 1;
        const retryAfterMs = Math.min(row.route.timeoutMs, token.waitMs);
        refuseForwardRequest(world, tick, row, "overloaded", retryAfterMs / 1000);
        return;
    }
    if (!token && usable.length > 0) {
        // The limits are so low that only other processes send to these targets.
        refuseForwardRequest(world, tick, row, "overloaded", noTargetRetryAfterSeconds);
        return;
    }
    if (tick.now < waitUntil) {
        const at = token ? addMillis(tick.now, Math.max(1, token.waitMs)) : waitUntil;
        world.timers.schedule({ name: "requestRetry", at, key: row.id });
        return;
    }
    refuseForwardRequest(world, tick, row, "no_target", noTargetRetryAfterSeconds);
}

/** Refuses a request that its target could not begin in time; false when it could. */
function refuseLateRequest(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    { queueMs: waitMs }: TargetChoice,
): boolean {
    const objectiveMs = row.route.latencyObjectiveMs;
    if (!isAdmittedBySlots(world)) {
        if (waitMs > objectiveMs * maxQueueFraction) {
            refuseForwardRequest(world, tick, row, "overloaded", waitMs / 1000);
            return true;
        }
        return false;
    }
    const admission = { waitMs, objectiveMs };
    const cause = checkAdmission(world, tick, row, admission);
    if (!cause) {
        return false;
    }
    const { refusedShare } = world.tables.slotUse.get(row.service);
    const returnMs = Math.min(
        row.route.timeoutMs,
        computeReturnMs({ ...admission, refusedShare, random: world.random() }),
    );
    refuseForwardRequest(world, tick, row, "overloaded", returnMs / 1000, { waitMs: Math.round(waitMs), cause });
    return true;
}

function routeRequest(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): void {
    const quarantined = findQuarantine(world, tick, row);
    if (quarantined) {
        refuseForwardRequest(world, tick, row, "prompt_quarantined", quarantined.retryAfterSeconds);
        return;
    }
    if (!reservePendingRetry(world, row)) {
        waitToResume(world, tick, row, "retry budget");
        return;
    }
    const eligible = listEligible(world, tick, row);
    const choice = row.arrival.parts.length > 0
        ? chooseEngine(world, tick, row, eligible)
        : chooseServiceTarget(world, row, eligible);
    if (choice && row.attempts.length === 0 && refuseLateRequest(world, tick, row, choice)) {
        return;
    }
    if (choice) {
        sendToTarget(world, tick, row, choice);
        return;
    }
    if (row.isRelaying) {
        waitToResume(world, tick, row, "target");
        return;
    }
    waitForTarget(world, tick, row);
}

/**
 * Reads: configuration, members, cached parts, quarantine. Writes: requests, targets (requests in flight), retry budgets.
 * Effects: requests to targets, refusals, log lines.
 */
export function routeRequests(world: ForwardWorld, tick: ForwardTick): void {
    for (const row of world.tables.requests.list("queued")) {
        routeRequest(world, tick, row);
    }
}
