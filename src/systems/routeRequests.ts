/** Chooses a target for each queued request and sends it. */
import type { Model } from "../config/document";
import { type EffectOf, logInfo } from "../effects";
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

/** Requests that this process sends to one engine beyond its slots; more wait in the queue of this process. */
const slotOvercommit = 2;
/** Load reports lag by about this much, so that newer work is counted from this process's own table. */
const reportLagMs = 400;
const staleReportMs = 3000;
const stalePenaltyMs = 500;
/** Scores closer than this count as equal; rendezvous hashing then decides. */
const tieMs = 5;

interface Candidate {
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

function canTake(target: TargetRow, row: RequestRow, tick: Tick): boolean {
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

const hasRoom = (target: TargetRow): boolean => target.inFlight.size < target.configuration.slots * slotOvercommit;

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
): CandidateScore {
    const { report, reportedAt = 0 } = target;
    let ownTokens = 0;
    let ownRequests = 0;
    for (const work of target.inFlight.values()) {
        if (work.sentAt > reportedAt - reportLagMs) {
            ownTokens += work.prefillTokens;
            ownRequests += 1;
        }
    }
    const running = (report?.runningRequests ?? 0) + (report?.waitingRequests ?? 0) + ownRequests;
    return computeScore({
        target: target.id,
        reportedTokens: report?.waitingTokens ?? 0,
        ownTokens,
        excessRequests: Math.max(0, running + 1 - target.configuration.slots),
        hitTokens: computeHitTokens(world, target, row),
        isRemote: target.configuration.dataCentre !== world.settings.dataCentre,
        stalePenaltyMs: tick.now - reportedAt > staleReportMs ? stalePenaltyMs : 0,
    }, {
        promptTokens: row.promptTokens,
        prefillTokensPerSecond: model.prefillTokensPerSecond,
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

function listCandidates(world: World, tick: Tick, row: RequestRow): Candidate[] {
    const model = row.model && world.tables.configuration.document.models[row.model.model];
    return listAbleTargets(world, tick, row)
        .map(target => ({
            target,
            score: model ? computeEngineScore(world, tick, target, row, model) : computeServiceScore(world, target),
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

function sendToTarget(
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

/** Sends a request if a target has room for it and its account. */
function routeRequest(world: World, tick: Tick, row: RequestRow): SendOutcome {
    const candidates = listCandidates(world, tick, row);
    const withRoom = candidates.filter(({ target }) => hasRoom(target));
    const chosen = chooseCandidate(world, row, withRoom.filter(({ target }) => hasRoomFor(target, row)));
    if (chosen) {
        sendToTarget(world, tick, row, chosen, candidates);
        return "sent";
    }
    // A request that failed on some targets waits for the others; that says nothing about the next request.
    if (row.attempts.length > 0) {
        return "item_waits";
    }
    return withRoom.length > 0 ? "account_waits" : "all_wait";
}

/**
 * Reads: configuration, prefixes. Writes: requests, targets (work in flight), queues, retry budget.
 * Effects: requests to targets, log lines.
 */
export function routeRequests(world: World, tick: Tick): void {
    const { queues, requests } = world.tables;
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
            send: row => routeRequest(world, tick, row),
        });
    }
}
