/** Chooses a target for each queued request and sends it. */
import type { Model } from "../config/document";
import { type EffectOf, logInfo } from "../effects";
import type { TargetId } from "../ids";
import type { CandidateScore } from "../operators";
import { runFairQueue, type SendOutcome } from "../policy/fairQueue";
import { computeScopeSeed, formatPrefixId } from "../policy/prefix";
import { listByRendezvous } from "../policy/rendezvous";
import { recordFirstSend } from "../policy/retryBudget";
import { computeScore } from "../policy/score";
import type { TargetCall } from "../requests";
import type { RequestRow } from "../tables/requests";
import { canPassCircuit, type TargetRow } from "../tables/targets";
import type { Tick, World } from "../world";
import { estimateLoad } from "./engineLoad";

/** Requests in flight from this process for each slot of a target; further requests wait in this process's queue. */
const maxInFlightPerSlot = 2;
const maxReportAgeMs = 3000;
const stalePenaltyMs = 500;
/** A request held for a full target is scored again after this time, because the load has changed by then. */
const rescoreIntervalMs = 200;
/** Scores within this difference count as equal; rendezvous hashing then decides. */
const maxTieMs = 5;

/** Load of requests that this tick held for a full target. They are served before the requests that follow. */
type HeldLoad = Map<TargetId, { readonly tokens: number; readonly requests: number; }>;

const noHeldLoad: HeldLoad = new Map();

/** A target that can take a request, with its score. */
export interface Candidate {
    readonly target: TargetRow;
    readonly score: CandidateScore;
}

function hasModel(target: TargetRow, row: RequestRow): boolean {
    const { configuration, report } = target;
    if (!row.model || configuration.kind !== "engine") {
        return false;
    }
    return report?.state === "ready" && report.model === row.model.model && report.version === row.model.version;
}

/** True while any target has room. */
export const hasAnyRoom = (world: World): boolean => world.tables.targets.list().some(hasRoom);

/** True when the target serves the request's route, is not leaving and its circuit lets the request pass. */
export function canServe(target: TargetRow, row: RequestRow, tick: Tick): boolean {
    if (target.isLeaving || !canPassCircuit(target, tick.now)) {
        return false;
    }
    return row.route.kind === "model"
        ? hasModel(target, row)
        : target.configuration.kind === "service" && target.configuration.service === row.route.service;
}

/** Lists the targets that can take the request. Targets that failed it before are listed only if there is no other. */
function listEligibleTargets(world: World, tick: Tick, row: RequestRow): TargetRow[] {
    const eligible = world.tables.targets.list().filter(target => canServe(target, row, tick));
    const untried = eligible.filter(target =>
        !row.attempts.some(attempt => attempt.target === target.id && attempt.state === "failed")
    );
    return untried.length > 0 ? untried : eligible;
}

/** True while this process may send more requests to the target. */
export const hasRoom = (target: TargetRow): boolean =>
    target.inFlight.size < target.configuration.slots * maxInFlightPerSlot;

/** One slot in this many is reserved for accounts without a request on the target. */
const slotsPerReservedSlot = 8;

/**
 * True when the target has room for one more request of the account. An account without a request on the target may
 * fill all of its room, including the target's own queue. Other accounts share the slots and leave some free while
 * several accounts are active, so that a burst of one account does not delay the next request of another.
 */
function hasRoomFor(target: TargetRow, row: RequestRow): boolean {
    const { slots } = target.configuration;
    const accounts = new Set([...target.inFlight.values()].map(work => work.account));
    if (!accounts.has(row.account)) {
        return hasRoom(target);
    }
    const reserved = accounts.size > 1 ? Math.ceil(slots / slotsPerReservedSlot) : 0;
    return target.inFlight.size < Math.max(1, slots - reserved);
}

/** Computes how many prompt tokens the current incarnation of the target is expected to have cached. */
export function computeHitTokens(world: World, target: TargetRow, row: RequestRow): number {
    let hits = 0;
    for (const block of row.blocks) {
        const holder = world.tables.prefixes.listHolders(block).find(prefixRow => prefixRow.target === target.id);
        if (!holder || holder.incarnation !== target.incarnation || holder.seenAt < target.cacheValidFrom) {
            break;
        }
        hits += row.blockTokens;
    }
    return hits;
}

function computeEngineScore(
    world: World,
    tick: Tick,
    target: TargetRow,
    row: RequestRow,
    model: Model,
    held: HeldLoad,
): CandidateScore {
    const { prefillTokensPerSecond } = model;
    const load = estimateLoad(target, { now: tick.now, prefillTokensPerSecond });
    const loadAhead = {
        tokens: load.tokens + (held.get(target.id)?.tokens ?? 0),
        requests: load.requests + (held.get(target.id)?.requests ?? 0),
    };
    return computeScore({
        target: target.id,
        pendingPrefillTokens: loadAhead.tokens,
        excessRequests: Math.max(0, loadAhead.requests + 1 - target.configuration.slots),
        hitTokens: computeHitTokens(world, target, row),
        isRemote: target.configuration.dataCentre !== world.settings.dataCentre,
        stalePenaltyMs: tick.now - (target.reportedAt ?? 0) > maxReportAgeMs ? stalePenaltyMs : 0,
    }, {
        promptTokens: row.promptTokens,
        prefillTokensPerSecond,
        slotMs: (row.maxTokens / 2 / model.decodeTokensPerSecond) * 1000 / Math.max(1, target.configuration.slots),
        affinityWeight: row.route.kind === "model" ? row.route.affinityWeight : 0,
    });
}

function computeServiceScore(world: World, target: TargetRow): CandidateScore {
    const remoteMs = target.configuration.dataCentre === world.settings.dataCentre ? 0 : 1;
    return {
        target: target.id,
        scoreMs: target.inFlight.size + remoteMs,
        waitMs: target.inFlight.size,
        missedTokens: 0,
        hitTokens: 0,
    };
}

/** Lists targets with room that can take the request. Room is checked first: it rules out most targets under load. */
export const listTargetsWithRoom = (world: World, tick: Tick, row: RequestRow): TargetRow[] =>
    world.tables.targets.list().filter(target => hasRoom(target) && canServe(target, row, tick));

/** Scores targets for the request, best score first. */
export function listCandidates(
    world: World,
    tick: Tick,
    row: RequestRow,
    targets: readonly TargetRow[],
    held: HeldLoad = noHeldLoad,
): Candidate[] {
    const model = row.model && world.tables.configuration.document.models[row.model.model];
    return targets
        .map(target => ({
            target,
            score: model
                ? computeEngineScore(world, tick, target, row, model, held)
                : computeServiceScore(world, target),
        }))
        .sort((left, right) => left.score.scoreMs - right.score.scoreMs);
}

/** Chooses the best candidate. Among nearly equal ones, rendezvous hashing makes all processes choose the same. */
function chooseCandidate(world: World, row: RequestRow, candidates: readonly Candidate[]): Candidate | undefined {
    const best = candidates[0];
    if (!best || row.blocks.length === 0) {
        return best;
    }
    const tied = candidates.filter(candidate => candidate.score.scoreMs <= best.score.scoreMs + maxTieMs);
    const order = listByRendezvous(
        world.hasher,
        formatPrefixId(row.blocks[0] as RequestRow["blocks"][number]),
        tied.map(candidate => candidate.target.id),
    );
    return tied.find(candidate => candidate.target.id === order[0]) ?? best;
}

/** Computes the salt by which the engine separates the cache entries of accounts and versions. */
function computeCacheSalt(world: World, row: RequestRow): string {
    if (!row.model) {
        return "";
    }
    const seed = world.hasher.hashText(world.settings.fleetSecret, 0n);
    const scope = computeScopeSeed(world.hasher, { account: row.account, ...row.model });
    return world.hasher.hashText(scope.toString(16), seed).toString(16);
}

function buildCall(world: World, tick: Tick, row: RequestRow, target: TargetRow): TargetCall {
    const { arrival } = row;
    const base = {
        address: target.configuration.address,
        method: arrival.method,
        endpoint: arrival.endpoint,
        stream: arrival.stream,
        needsNewConnection: !row.repeatable,
        path: arrival.path,
        timeoutMs: Math.max(1, Math.floor(row.deadline - tick.now)),
    };
    if (!row.model) {
        return arrival.idempotencyKey === undefined ? base : { ...base, idempotencyKey: arrival.idempotencyKey };
    }
    return {
        ...base,
        path: arrival.endpoint === "chat" ? "/v1/chat/completions" : "/v1/completions",
        engine: {
            model: `${row.model.model}@${row.model.version}`,
            maxTokens: row.maxTokens,
            cacheSalt: computeCacheSalt(world, row),
            priority: row.priority,
            blocks: row.blocks.map(formatPrefixId),
        },
    };
}

/**
 * Records that the target will have the prompt cached. Otherwise requests with the same prefix that arrive before the
 * first token would find no holder and the prefix would be computed again on other engines.
 */
function recordExpectedPrefixes(world: World, tick: Tick, row: RequestRow, target: TargetRow): void {
    const { incarnation } = target;
    if (incarnation !== undefined) {
        for (const block of row.blocks) {
            world.tables.prefixes.addExpected(block, { target: target.id, incarnation, seenAt: tick.now });
        }
    }
}

/** Starts an attempt on the chosen candidate. */
export function sendToTarget(
    world: World,
    tick: Tick,
    row: RequestRow,
    chosen: Candidate,
    candidates: readonly Candidate[],
): void {
    const number = row.attempts.length + 1;
    const { target, score } = chosen;
    row.attempts.push({
        number,
        target: target.id,
        incarnation: target.incarnation,
        sentAt: tick.now,
        evidence: { hasWrittenBytes: false, answer: "none" },
        state: "sent",
        firstTokenAt: undefined,
        generatedTokens: 0,
        resumes: 0,
        outcome: "",
    });
    row.decisions.push({
        attempt: number,
        chosen: target.id,
        candidates: candidates.map(candidate => candidate.score),
    });
    if (number === 1) {
        recordFirstSend(world.tables.retryBudget, world.settings.retries.budgetFraction);
    }
    if (target.backOffUntil > 0) {
        target.trialRequest = row.id;
    }
    recordExpectedPrefixes(world, tick, row, target);
    if (![...target.inFlight.values()].some(work => work.prefillTokens > 0)) {
        target.prefillStartedAt = tick.now;
    }
    target.inFlight.set(row.id, { prefillTokens: score.missedTokens, sentAt: tick.now, account: row.account });
    world.tables.requests.updateState(row, "running");
    const send: EffectOf<"sendRequest"> = {
        kind: "sendRequest",
        request: row.id,
        attempt: number,
        call: buildCall(world, tick, row, target),
    };
    world.effects.append(send);
    world.effects.append({ kind: "recordValue", name: "queue_ms", value: tick.now - (row.queuedAt ?? tick.now) });
    logInfo(world.effects, "route:", "Request routed.", {
        request: row.id,
        account: row.account,
        model: send.call.engine?.model,
        route: row.routeId,
        attempt: number,
        target: target.id,
        scoreMs: Math.round(score.scoreMs),
        waitMs: Math.round(score.waitMs),
        hitTokens: score.hitTokens,
        missedTokens: score.missedTokens,
        candidates: candidates.length,
    });
}

/** Names the fair queue of a request. Requests for the same model or service with the same priority share a queue. */
function getQueueName({ priority, route }: RequestRow): string {
    const modelOrService = route.kind === "model" ? `${route.model}@${route.version}` : route.service;
    return `${priority} ${route.kind} ${modelOrService}`;
}

function addHeldLoad(held: HeldLoad, target: TargetId, missedTokens: number): void {
    const previousLoad = held.get(target);
    held.set(target, {
        tokens: (previousLoad?.tokens ?? 0) + missedTokens,
        requests: (previousLoad?.requests ?? 0) + 1,
    });
}

/** True while a held request need not be scored again: its target is still full but otherwise eligible. */
function isStillHeld(world: World, tick: Tick, row: RequestRow): boolean {
    const target = row.targetWait && world.tables.targets.get(row.targetWait.target);
    return target !== undefined && row.targetWait !== undefined
        && tick.now - row.targetWait.at < rescoreIntervalMs && !hasRoomFor(target, row) && canServe(target, row, tick);
}

/** Decides whether the request, its account or all accounts wait when no target has room for the request. */
function getWaitOutcome(candidates: readonly Candidate[], row: RequestRow): SendOutcome {
    // A retried request may be limited to targets it has not failed on, so other requests may still be sent.
    if (row.attempts.length > 0) {
        return "item_waits";
    }
    return candidates.some(({ target }) => hasRoom(target)) ? "account_waits" : "all_wait";
}

/**
 * Sends one request, or holds it for a full target that has more of its prompt cached than any target with room.
 * Under overload, sending it to any target with room would spread the prefixes over all targets, and recomputing them
 * would prolong the overload.
 */
function routeRequest(world: World, tick: Tick, row: RequestRow, held: HeldLoad): SendOutcome {
    if (row.targetWait && isStillHeld(world, tick, row)) {
        addHeldLoad(held, row.targetWait.target, row.targetWait.missedTokens);
        return "item_waits";
    }
    row.targetWait = undefined;
    const candidates = listCandidates(world, tick, row, listEligibleTargets(world, tick, row), held);
    const best = chooseCandidate(world, row, candidates);
    const bestWithRoom = chooseCandidate(world, row, candidates.filter(({ target }) => hasRoomFor(target, row)));
    if (!best || !bestWithRoom) {
        return getWaitOutcome(candidates, row);
    }
    if (best.score.hitTokens > bestWithRoom.score.hitTokens && !hasRoomFor(best.target, row)) {
        const { missedTokens } = best.score;
        row.targetWait = { target: best.target.id, at: tick.now, missedTokens };
        addHeldLoad(held, best.target.id, missedTokens);
        return "item_waits";
    }
    sendToTarget(world, tick, row, bestWithRoom, candidates);
    return "sent";
}

/**
 * Reads: configuration, prefixes. Writes: requests, targets (requests in flight), queues, retry budget.
 * Effects: requests to targets, log lines.
 */
export function routeRequests(world: World, tick: Tick): void {
    // Under overload every target is full in most ticks; sorting the queue would be wasted work.
    if (!hasAnyRoom(world)) {
        return;
    }
    const { queues, requests } = world.tables;
    const held: HeldLoad = new Map();
    const routable = requests.list("queued").filter(row => tick.now >= row.notBefore);
    const byQueue = new Map<string, RequestRow[]>();
    // Retried requests precede first attempts of the same account.
    for (
        const row of routable.sort((left, right) => Math.sign(right.attempts.length) - Math.sign(left.attempts.length))
    ) {
        const name = getQueueName(row);
        byQueue.set(name, byQueue.get(name) ?? []);
        byQueue.get(name)?.push(row);
    }
    queues.removeExcept(new Set(byQueue.keys()));
    const queuesByPriority = [...byQueue].sort(([, left], [, right]) =>
        (right[0]?.priority ?? 0) - (left[0]?.priority ?? 0)
    );
    for (const [name, rows] of queuesByPriority) {
        runFairQueue(queues.get(name), rows, {
            getAccount: row => row.account ?? "",
            getTokens: row => Math.max(1, row.promptTokens + row.maxTokens),
            send: row => routeRequest(world, tick, row, held),
        });
    }
}
