/** Follows attempts on targets: answers, first tokens, ends, failures; relays, resumes, retries and settles. */
import { logInfo } from "../effects";
import type { EventOf } from "../events";
import { addMillis } from "../ids";
import type { Usage } from "../requests";
import { type Attempt, findAttempt, type RequestRow } from "../tables/requests";
import { computeVerdict } from "../verdict";
import type { Tick, World } from "../world";
import { closeRequest, recordRequestEnd, refuseRequest, removeInFlight } from "./requestEnd";
import { computeSpentTokens, settleReservations } from "./tokenSources";
import { recordTargetFailure, recordTargetSuccess } from "./updateTargets";

const maxResumes = 3;
const retryDelayMs = 25;

type AttemptEventKind =
    | "attemptBytesHanded"
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

/** Records that the engine now holds the whole prompt. */
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

/** Settles what the request used in the end and returns the rest. */
function settleUsage(world: World, row: RequestRow, usage: Usage | undefined): void {
    const used = usage ? usage.promptTokens + usage.completionTokens : row.promptTokens;
    const rest = Math.max(0, used - computeSpentTokens(row));
    const beyond = settleReservations(world, row, { spent: rest, isFinal: true });
    if (beyond > 0) {
        logInfo(world.effects, "rate:", "Request used more tokens than reserved.", { request: row.id, tokens: beyond });
    }
}

function endAttempt(world: World, tick: Tick, row: RequestRow, attempt: Attempt, usage: Usage | undefined): void {
    attempt.state = "finished";
    attempt.outcome = "finished";
    const target = world.tables.targets.get(attempt.target);
    if (target) {
        recordTargetSuccess(target);
    }
    if (usage) {
        recordUsage(world, row, usage);
    }
    settleUsage(world, row, usage);
    recordPrefixes(world, tick, row, attempt);
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

/** True when the request may be sent once more: nothing was relayed, and it is repeatable or surely did not run. */
function canRetry(world: World, tick: Tick, row: RequestRow): boolean {
    const verdict = computeVerdict(row.attempts.map(attempt => attempt.evidence));
    return !row.isRelaying
        && (row.repeatable || verdict === "not_run")
        && row.attempts.length < world.settings.retries.attempts
        && tick.now < row.deadline;
}

function retryOrRefuse(world: World, tick: Tick, row: RequestRow, attempt: Attempt, outcome: string): void {
    attempt.state = "failed";
    attempt.outcome = outcome;
    removeInFlight(world, row);
    if (!canRetry(world, tick, row)) {
        refuseRequest(world, row, row.isRelaying ? "stream_interrupted" : "target_failed");
        return;
    }
    row.notBefore = addMillis(tick.now, retryDelayMs * (0.5 + world.random()));
    world.tables.requests.updateState(row, "queued");
    world.timers.schedule({ name: "requestRetry", at: row.notBefore, key: row.id });
    world.effects.append({ kind: "addCount", name: "retries_total", value: 1, labels: { outcome } });
    logInfo(world.effects, "stream:", "Request is retried.", { request: row.id, target: attempt.target, outcome });
}

function handleAnswer(
    world: World,
    tick: Tick,
    row: RequestRow,
    attempt: Attempt,
    event: EventOf<"attemptAnswered">,
): void {
    attempt.evidence = { bytesHanded: true, answer: event.refusedBeforeRun ? "refused" : "answered" };
    const isServerError = event.status >= 500;
    if (event.refusedBeforeRun || (isServerError && row.repeatable && canRetry(world, tick, row))) {
        world.effects.append({ kind: "cancelAttempt", request: row.id, attempt: attempt.number });
        retryOrRefuse(world, tick, row, attempt, `status ${event.status}`);
        return;
    }
    attempt.state = "relaying";
    row.isRelaying = true;
    world.effects.append({ kind: "relayAnswer", request: row.id, attempt: attempt.number });
    if (event.whole) {
        attempt.firstTokenAt = tick.now;
        endAttempt(world, tick, row, attempt, event.whole.usage);
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
    const target = world.tables.targets.get(attempt.target);
    const work = target?.inFlight.get(row.id);
    if (target && work) {
        work.prefillTokens = 0;
        target.prefillSince = tick.now;
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
        logInfo(world.effects, "stream:", "Stream broke off and is resumed.", {
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
    attemptBytesHanded: (_world, _tick, _row, attempt) => {
        attempt.evidence = { ...attempt.evidence, bytesHanded: true };
    },
    attemptAnswered: handleAnswer,
    attemptFirstToken: handleFirstToken,
    attemptProgressed: (world, _tick, row, attempt, event) => {
        attempt.generatedTokens += event.tokens;
        settleReservations(world, row, { spent: event.tokens });
    },
    attemptFinished: (world, tick, row, attempt, event) => {
        endAttempt(world, tick, row, attempt, event.usage);
    },
    attemptFailed: handleFailure,
};

/** Kinds in the order in which they can follow each other within one tick. */
const handlerOrder = Object.keys(handlers) as AttemptEventKind[];

function handleEvents<Kind extends AttemptEventKind>(world: World, tick: Tick, kind: Kind): void {
    for (const event of tick.events.list(kind)) {
        const { request, attempt: number } = event as EventOf<AttemptEventKind>;
        const row = world.tables.requests.get(request);
        const attempt = row && row.state === "running" ? findAttempt(row, number) : undefined;
        if (row && attempt) {
            (handlers[kind] as Handler<Kind>)(world, tick, row, attempt, event);
        }
    }
}

/**
 * Reads: configuration. Writes: requests, targets, prefixes, floors.
 * Effects: relay, resume, cancel, refusals, counts, log lines.
 */
export function followAttempts(world: World, tick: Tick): void {
    for (const kind of handlerOrder) {
        handleEvents(world, tick, kind);
    }
}
