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

/** Requests that this process sends to one engine beyond its slots; more wait in the queue of this process. */
const slotOvercommit = 2;
const staleReportMs = 3000;
const stalePenaltyMs = 500;
/** A request held for a full target is scored again after this time; others have finished or arrived by then. */
const rescoreMs = 200;
/** Scores closer than this count as equal; rendezvous hashing then decides. */
const tieMs = 5;

/** Work of requests that this tick has held for a full target. They stand before the requests that follow. */
type HeldWork = Map<TargetId, { readonly tokens: number; readonly requests: number; }>;

const noHeldWork: HeldWork = new Map();

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

/** True when the target serves the request's route and is not backed off. */
export function canTake(target: TargetRow, row: RequestRow, tick: Tick): boolean {
    if (target.isLeaving || !canPassCircuit(target, tick.now)) {
        return false;
    }
    return row.route.kind === "model"
        ? hasModel(target, row)
        : target.configuration.kind === "service" && target.configuration.service === row.route.service;
}

/** Targets that can take the request. One that failed it before is listed only when there is no other. */
function listAbleTargets(world: World, tick: Tick, row: RequestRow): TargetRow[] {
    const able = world.tables.targets.list().filter(target => canTake(target, row, tick));
    const untried = able.filter(target =>
        !row.attempts.some(attempt => attempt.target === target.id && attempt.state === "failed")
    );
    return untried.length > 0 ? untried : able;
}

/** True while this process may send more requests to the target. */
export const hasRoom = (target: TargetRow): boolean =>
    target.inFlight.size < target.configuration.slots * slotOvercommit;

/** One slot of this many is kept free for accounts that run nothing on the target. */
const slotsForEachReserved = 8;

/**
 * True when the account of the request may use one more place. An account that runs nothing on the target may use
 * any place, also in the target's own queue. Others share the slots, and leave some free while several accounts
 * are active, so that a flood of one account does not make the next request of another wait.
 */
function hasRoomFor(target: TargetRow, row: RequestRow): boolean {
    const { slots } = target.configuration;
    const accounts = new Set([...target.inFlight.values()].map(work => work.account));
    if (!accounts.has(row.account)) {
        return hasRoom(target);
    }
    const reserved = accounts.size > 1 ? Math.ceil(slots / slotsForEachReserved) : 0;
    return target.inFlight.size < Math.max(1, slots - reserved);
}

/** Tokens of the prompt that the target is expected to have cached for its present incarnation. */
export function computeHitTokens(world: World, target: TargetRow, row: RequestRow): number {
    let hits = 0;
    for (const block of row.blocks) {
        const holder = world.tables.prefixes.listHolders(block).find(entry => entry.target === target.id);
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
    held: HeldWork,
): CandidateScore {
    const { prefillTokensPerSecond } = model;
    const load = estimateLoad(target, { now: tick.now, prefillTokensPerSecond });
    const ahead = {
        tokens: load.tokens + (held.get(target.id)?.tokens ?? 0),
        requests: load.requests + (held.get(target.id)?.requests ?? 0),
    };
    return computeScore({
        target: target.id,
        tokensAhead: ahead.tokens,
        excessRequests: Math.max(0, ahead.requests + 1 - target.configuration.slots),
        hitTokens: computeHitTokens(world, target, row),
        isRemote: target.configuration.dataCentre !== world.settings.dataCentre,
        stalePenaltyMs: tick.now - (target.reportedAt ?? 0) > staleReportMs ? stalePenaltyMs : 0,
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

/** Targets with room that may take the request. Room is checked first: it rules out most targets under load. */
export const listOpenTargets = (world: World, tick: Tick, row: RequestRow): TargetRow[] =>
    world.tables.targets.list().filter(target => hasRoom(target) && canTake(target, row, tick));

/** Scores targets for the request, best score first. */
export function listCandidates(
    world: World,
    tick: Tick,
    row: RequestRow,
    targets: readonly TargetRow[],
    held: HeldWork = noHeldWork,
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

/** Chooses the best candidate; among near-equal ones rendezvous hashing makes independent processes agree. */
function chooseCandidate(world: World, row: RequestRow, candidates: readonly Candidate[]): Candidate | undefined {
    const best = candidates[0];
    if (!best || row.blocks.length === 0) {
        return best;
    }
    const equal = candidates.filter(candidate => candidate.score.scoreMs <= best.score.scoreMs + tieMs);
    const order = listByRendezvous(
        world.hasher,
        formatPrefixId(row.blocks[0] as RequestRow["blocks"][number]),
        equal.map(candidate => candidate.target.id),
    );
    return equal.find(candidate => candidate.target.id === order[0]) ?? best;
}

/** Salt that makes the engine itself keep accounts and versions apart. */
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
        freshConnection: !row.repeatable,
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
 * Records that the target will hold the prompt. Requests with the same prefix that arrive before the first token
 * would otherwise find no holder and compute the prefix once more on other engines.
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
        evidence: { bytesHanded: false, answer: "none" },
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
        target.trial = row.id;
    }
    recordExpectedPrefixes(world, tick, row, target);
    if (![...target.inFlight.values()].some(work => work.prefillTokens > 0)) {
        target.prefillSince = tick.now;
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

/** Requests that compete for the same targets with the same priority share a fair queue. */
function getQueueName({ priority, route }: RequestRow): string {
    const need = route.kind === "model" ? `${route.model}@${route.version}` : route.service;
    return `${priority} ${route.kind} ${need}`;
}

function addHeldWork(held: HeldWork, target: TargetId, missedTokens: number): void {
    const before = held.get(target);
    held.set(target, { tokens: (before?.tokens ?? 0) + missedTokens, requests: (before?.requests ?? 0) + 1 });
}

/** True while a held request need not be scored again: its target is still full and could still take it. */
function isStillHeld(world: World, tick: Tick, row: RequestRow): boolean {
    const target = row.hold && world.tables.targets.get(row.hold.target);
    return target !== undefined && row.hold !== undefined
        && tick.now - row.hold.at < rescoreMs && !hasRoomFor(target, row) && canTake(target, row, tick);
}

/** Says who waits when no target has room for the request. */
function getWait(candidates: readonly Candidate[], row: RequestRow): SendOutcome {
    // A request that failed on some targets waits for the others; that says nothing about the next request.
    if (row.attempts.length > 0) {
        return "item_waits";
    }
    return candidates.some(({ target }) => hasRoom(target)) ? "account_waits" : "all_wait";
}

/**
 * Sends one request, or holds it for a full target whose prefixes are worth the wait: sending it to whichever target
 * has room spreads the prefixes over all of them under overload, and the recomputation keeps it overloaded.
 */
function routeRequest(world: World, tick: Tick, row: RequestRow, held: HeldWork): SendOutcome {
    if (row.hold && isStillHeld(world, tick, row)) {
        addHeldWork(held, row.hold.target, row.hold.missedTokens);
        return "item_waits";
    }
    row.hold = undefined;
    const candidates = listCandidates(world, tick, row, listAbleTargets(world, tick, row), held);
    const best = chooseCandidate(world, row, candidates);
    const open = chooseCandidate(world, row, candidates.filter(({ target }) => hasRoomFor(target, row)));
    if (!best || !open) {
        return getWait(candidates, row);
    }
    if (best.score.hitTokens > open.score.hitTokens && !hasRoomFor(best.target, row)) {
        const { missedTokens } = best.score;
        row.hold = { target: best.target.id, at: tick.now, missedTokens };
        addHeldWork(held, best.target.id, missedTokens);
        return "item_waits";
    }
    sendToTarget(world, tick, row, open, candidates);
    return "sent";
}

/**
 * Reads: configuration, prefixes. Writes: requests, targets (work in flight), queues, retry budget.
 * Effects: requests to targets, log lines.
 */
export function routeRequests(world: World, tick: Tick): void {
    // Under overload most ticks find every target full; the queue is not even sorted then.
    if (!hasAnyRoom(world)) {
        return;
    }
    const { queues, requests } = world.tables;
    const held: HeldWork = new Map();
    const ready = requests.list("queued").filter(row => tick.now >= row.notBefore);
    const byQueue = new Map<string, RequestRow[]>();
    // Retried requests come before those of their account that arrived later.
    for (const row of ready.sort((left, right) => Math.sign(right.attempts.length) - Math.sign(left.attempts.length))) {
        const name = getQueueName(row);
        byQueue.set(name, byQueue.get(name) ?? []);
        byQueue.get(name)?.push(row);
    }
    queues.removeExcept(new Set(byQueue.keys()));
    const ordered = [...byQueue].sort(([, left], [, right]) => (right[0]?.priority ?? 0) - (left[0]?.priority ?? 0));
    for (const [name, rows] of ordered) {
        runFairQueue(queues.get(name), rows, {
            getAccount: row => row.account ?? "",
            getTokens: row => Math.max(1, row.promptTokens + row.maxTokens),
            send: row => routeRequest(world, tick, row, held),
        });
    }
}
