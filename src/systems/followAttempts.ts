/** Handles the events of attempts: relays answers, resumes broken streams, retries failures, settles tokens. */
import { logInfo } from "../effects";
import type { EventOf } from "../events";
import { addMillis } from "../ids";
import { hasRetry, reserveRetry } from "../policy/retryBudget";
import type { Usage } from "../requests";
import { type Attempt, findAttempt, type RequestRow } from "../tables/requests";
import type { Tick, World } from "../world";
import { closeRequest, recordRequestEnd, refuseRequest, removeInFlight } from "./requestEnd";
import { computeSpentTokens, settleReservations } from "./tokenSources";
import { recordTargetFailure, recordTargetSuccess } from "./updateTargets";

const maxResumes = 3;
const retryDelayMs = 25;
/** Consecutive 5xx answers tolerated, so that one request that fails on every engine does not open every circuit. */
const maxToleratedServerErrors = 2;
const overloadedStatuses: ReadonlySet<number> = new Set([429, 503]);

type AttemptEventKind =
    | "attemptWriteStarted"
    | "attemptAnswered"
    | "attemptFirstToken"
    | "attemptProgressed"
    | "attemptFinished"
    | "attemptFailed";

type Handler<Kind extends AttemptEventKind> = (
    world: World,
    tick: Tick,
    row: RequestRow,
    attempt: Attempt,
    event: EventOf<Kind>,
) => void;

/** Records that the engine now has the whole prompt cached. */
function recordPrefixes(world: World, tick: Tick, row: RequestRow, attempt: Attempt): void {
    const target = world.tables.targets.get(attempt.target);
    const { incarnation } = attempt;
    if (!target || incarnation === undefined || target.incarnation !== incarnation) {
        return;
    }
    for (const block of row.blocks) {
        world.tables.prefixes.add(block, { target: target.id, incarnation, seenAt: tick.now });
    }
}

function recordUsage(world: World, row: RequestRow, usage: Usage): void {
    const labels = { account: row.account ?? "" };
    const { effects } = world;
    effects.append({ kind: "addCount", name: "prompt_tokens_total", value: usage.promptTokens, labels });
    effects.append({ kind: "addCount", name: "cached_tokens_total", value: usage.cachedTokens, labels });
    effects.append({ kind: "addCount", name: "generated_tokens_total", value: usage.completionTokens, labels });
}

/** Settles the final usage of the request and returns the unused tokens. */
function settleUsage(world: World, row: RequestRow, usage: Usage | undefined): void {
    const usedTokens = usage ? usage.promptTokens + usage.completionTokens : row.promptTokens + row.maxTokens;
    const unsettledTokens = Math.max(0, usedTokens - computeSpentTokens(row));
    const excess = settleReservations(world, row, { spent: unsettledTokens, isFinal: true });
    if (excess > 0 && row.account !== undefined) {
        world.tables.grants.get(row.account).overspentTokens += excess;
        logInfo(
            world.effects,
            "rate:",
            "Request used more tokens than reserved; the excess will be charged to its account.",
            { request: row.id, tokens: excess },
        );
    }
}

function endAttempt(world: World, tick: Tick, row: RequestRow, attempt: Attempt, usage: Usage | undefined): void {
    attempt.state = "finished";
    attempt.outcome = "finished";
    if (usage) {
        recordUsage(world, row, usage);
    }
    settleUsage(world, row, usage);
    recordRequestEnd(world, tick, row);
    logInfo(world.effects, "stream:", "Request finished.", {
        request: row.id,
        target: attempt.target,
        promptTokens: usage?.promptTokens,
        cachedTokens: usage?.cachedTokens,
        generatedTokens: usage?.completionTokens,
    });
    closeRequest(world, row);
}

/**
 * True when the request may be sent again: nothing was relayed, and it is repeatable or no byte of it was handed to a
 * socket. For a non-repeatable request, a target's statement that it did not run is passed on to the caller but does
 * not permit a retry.
 */
function canRetry(world: World, tick: Tick, row: RequestRow): boolean {
    return !row.isRelaying
        && (row.repeatable || row.attempts.every(attempt => !attempt.evidence.hasWrittenBytes))
        && row.attempts.length < world.settings.retries.attempts
        && hasRetry(world.tables.retryBudget)
        && tick.now < row.deadline;
}

function retryOrRefuse(world: World, tick: Tick, row: RequestRow, attempt: Attempt, outcome: string): void {
    attempt.state = "failed";
    attempt.outcome = outcome;
    removeInFlight(world, row);
    // Another attempt would produce an answer of the same size.
    if (outcome === "answer_too_large" || !canRetry(world, tick, row)) {
        refuseRequest(world, row, row.isRelaying ? "stream_interrupted" : "target_failed");
        return;
    }
    reserveRetry(world.tables.retryBudget);
    row.notBefore = addMillis(tick.now, retryDelayMs * (0.5 + world.random()));
    world.tables.requests.updateState(row, "queued");
    world.timers.schedule({ name: "requestRetry", at: row.notBefore, key: row.id });
    world.effects.append({ kind: "addCount", name: "retries_total", value: 1, labels: { outcome } });
    logInfo(world.effects, "stream:", "Attempt failed; the request will be retried.", {
        request: row.id,
        target: attempt.target,
        outcome,
    });
}

/** Updates the circuit of the target according to the status of its answer. */
function recordAnswer(world: World, tick: Tick, attempt: Attempt, event: EventOf<"attemptAnswered">): void {
    const target = world.tables.targets.get(attempt.target);
    if (!target) {
        return;
    }
    if (event.isRefusedBeforeRun || overloadedStatuses.has(event.status)) {
        recordTargetFailure(world, tick, target);
    }
    else if (event.status >= 500) {
        recordTargetFailure(world, tick, target, { maxToleratedFailures: maxToleratedServerErrors });
    }
    else if (event.buffered) {
        recordTargetSuccess(target);
    }
}

/** Records a success of the target. Called from the first token on: headers alone do not prove that it works. */
function recordStreamSuccess(world: World, attempt: Attempt): void {
    const target = world.tables.targets.get(attempt.target);
    if (target) {
        recordTargetSuccess(target);
    }
}

function handleAnswer(
    world: World,
    tick: Tick,
    row: RequestRow,
    attempt: Attempt,
    event: EventOf<"attemptAnswered">,
): void {
    attempt.evidence = { hasWrittenBytes: true, answer: event.isRefusedBeforeRun ? "refused" : "answered" };
    // A service's 5xx is relayed as its answer. An engine's 5xx is not: another engine can serve the request.
    const isEngineError = event.status >= 500 && row.model !== undefined;
    recordAnswer(world, tick, attempt, event);
    if (event.isRefusedBeforeRun || (isEngineError && row.repeatable && canRetry(world, tick, row))) {
        world.effects.append({ kind: "cancelAttempt", request: row.id, attempt: attempt.number });
        retryOrRefuse(world, tick, row, attempt, `status ${event.status}`);
        return;
    }
    attempt.state = "relaying";
    row.isRelaying = true;
    world.effects.append({ kind: "relayAnswer", request: row.id, attempt: attempt.number });
    if (event.buffered) {
        attempt.firstTokenAt = tick.now;
        recordPrefixes(world, tick, row, attempt);
        endAttempt(world, tick, row, attempt, event.buffered.usage);
    }
}

function handleFirstToken(
    world: World,
    tick: Tick,
    row: RequestRow,
    attempt: Attempt,
    event: EventOf<"attemptFirstToken">,
): void {
    attempt.firstTokenAt ??= tick.now;
    recordStreamSuccess(world, attempt);
    const target = world.tables.targets.get(attempt.target);
    const work = target?.inFlight.get(row.id);
    if (target && work) {
        work.prefillTokens = 0;
        target.prefillStartedAt = tick.now;
    }
    recordPrefixes(world, tick, row, attempt);
    if (event.usage) {
        const spent = event.usage.promptTokens - computeSpentTokens(row);
        settleReservations(world, row, { spent: Math.max(0, spent) });
    }
}

function handleFailure(
    world: World,
    tick: Tick,
    row: RequestRow,
    attempt: Attempt,
    event: EventOf<"attemptFailed">,
): void {
    const target = world.tables.targets.get(attempt.target);
    if (target && event.failure !== "answer_too_large") {
        recordTargetFailure(world, tick, target);
    }
    const isSameIncarnation = target !== undefined && target.incarnation === attempt.incarnation;
    const canResume = event.failure === "broken_stream"
        && row.isRelaying
        && row.model !== undefined
        && isSameIncarnation
        && attempt.resumes < maxResumes;
    if (target && canResume) {
        attempt.resumes += 1;
        logInfo(world.effects, "stream:", "Stream broke; resuming after the last relayed event.", {
            request: row.id,
            target: target.id,
            lastEventId: event.lastEventId,
        });
        world.effects.append({
            kind: "resumeStream",
            request: row.id,
            attempt: attempt.number,
            address: target.configuration.address,
            lastEventId: event.lastEventId,
        });
        return;
    }
    retryOrRefuse(world, tick, row, attempt, event.failure);
}

const handlers: { readonly [Kind in AttemptEventKind]: Handler<Kind>; } = {
    attemptWriteStarted: (_world, _tick, _row, attempt) => {
        attempt.evidence = { ...attempt.evidence, hasWrittenBytes: true };
    },
    attemptAnswered: handleAnswer,
    attemptFirstToken: handleFirstToken,
    attemptProgressed: (world, _tick, row, attempt, event) => {
        attempt.generatedTokens += event.tokens;
        settleReservations(world, row, { spent: event.tokens });
    },
    attemptFinished: (world, tick, row, attempt, event) => {
        recordStreamSuccess(world, attempt);
        endAttempt(world, tick, row, attempt, event.usage);
    },
    attemptFailed: handleFailure,
};

/** Event kinds, in the order in which they can occur within one tick. */
const handlerOrder = Object.keys(handlers) as AttemptEventKind[];

/** Finds the attempt of an event. Sent bytes are recorded for any attempt, other events only for the running one. */
function findEventAttempt(row: RequestRow, kind: AttemptEventKind, number: number): Attempt | undefined {
    if (kind === "attemptWriteStarted") {
        return row.attempts.find(attempt => attempt.number === number);
    }
    return row.state === "running" ? findAttempt(row, number) : undefined;
}

function handleEvents<Kind extends AttemptEventKind>(world: World, tick: Tick, kind: Kind): void {
    for (const event of tick.events.list(kind)) {
        const { request, attempt: number } = event as EventOf<AttemptEventKind>;
        const row = world.tables.requests.get(request);
        const attempt = row && findEventAttempt(row, kind, number);
        if (row && attempt) {
            (handlers[kind] as Handler<Kind>)(world, tick, row, attempt, event);
        }
    }
}

/**
 * Reads: configuration. Writes: requests, targets, prefixes, floors, buckets, grants.
 * Effects: relay, resume, cancel, refusals, counts, log lines.
 */
export function followAttempts(world: World, tick: Tick): void {
    for (const kind of handlerOrder) {
        handleEvents(world, tick, kind);
    }
}
