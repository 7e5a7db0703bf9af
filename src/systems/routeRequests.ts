/** Chooses a target for each queued request and sends it. */
import type { Model } from "../config/document";
import { type EffectOf, logInfo } from "../effects";
import type { TargetId } from "../ids";
import type { CandidateScore } from "../operators";
import { computeScopeSeed, formatPrefixId } from "../policy/prefix";
import { listByRendezvous } from "../policy/rendezvous";
import { computeScore } from "../policy/score";
import type { TargetCall } from "../requests";
import type { RequestRow } from "../tables/requests";
import type { TargetRow } from "../tables/targets";
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
    const { model, version } = report ?? configuration;
    return model === row.model.model && version === row.model.version && (report?.state ?? "ready") === "ready";
}

/** True while any target has room. */
export const hasAnyRoom = (world: World): boolean => world.tables.targets.list().some(hasRoom);

/** True when the target serves the request's route and has not failed it. */
export function canTake(target: TargetRow, row: RequestRow, tick: Tick): boolean {
    if (target.isLeaving || tick.now < target.backOffUntil) {
        return false;
    }
    const isServed = row.route.kind === "model"
        ? hasModel(target, row)
        : target.configuration.kind === "service" && target.configuration.service === row.route.service;
    return isServed && !row.attempts.some(attempt => attempt.target === target.id && attempt.state === "failed");
}

/** True while this process may send more requests to the target. */
export const hasRoom = (target: TargetRow): boolean =>
    target.inFlight.size < target.configuration.slots * slotOvercommit;

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

function buildCall(world: World, row: RequestRow, target: TargetRow): TargetCall {
    const { arrival } = row;
    const base = {
        address: target.configuration.address,
        method: arrival.method,
        endpoint: arrival.endpoint,
        stream: arrival.stream,
        freshConnection: !row.repeatable,
        path: arrival.path,
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
            world.tables.prefixes.add(block, { target: target.id, incarnation, seenAt: tick.now });
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
    recordExpectedPrefixes(world, tick, row, target);
    if (![...target.inFlight.values()].some(work => work.prefillTokens > 0)) {
        target.prefillSince = tick.now;
    }
    target.inFlight.set(row.id, { prefillTokens: score.missedTokens, sentAt: tick.now });
    world.tables.requests.updateState(row, "running");
    const send: EffectOf<"sendRequest"> = {
        kind: "sendRequest",
        request: row.id,
        attempt: number,
        call: buildCall(world, row, target),
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

/** Orders queued requests by priority, then takes one of each account in turn. */
export function listFairly(rows: readonly RequestRow[]): RequestRow[] {
    const turns = new Map<string, number>();
    return rows
        .map(row => {
            const turn = turns.get(row.account ?? "") ?? 0;
            turns.set(row.account ?? "", turn + 1);
            return { row, turn };
        })
        .sort((left, right) => right.row.priority - left.row.priority || left.turn - right.turn)
        .map(({ row }) => row);
}

function addHeldWork(held: HeldWork, target: TargetId, missedTokens: number): void {
    const before = held.get(target);
    held.set(target, { tokens: (before?.tokens ?? 0) + missedTokens, requests: (before?.requests ?? 0) + 1 });
}

/** True while a held request need not be scored again: its target is still full and could still take it. */
function isStillHeld(world: World, tick: Tick, row: RequestRow): boolean {
    const target = row.hold && world.tables.targets.get(row.hold.target);
    return target !== undefined && row.hold !== undefined
        && tick.now - row.hold.at < rescoreMs && !hasRoom(target) && canTake(target, row, tick);
}

/**
 * Routes one request or holds it. A full target keeps its place in the choice: sending its requests to whichever
 * target has room spreads the prefixes over all of them under overload, and the recomputation keeps it overloaded.
 */
function routeRequest(world: World, tick: Tick, row: RequestRow, held: HeldWork): void {
    if (row.hold && isStillHeld(world, tick, row)) {
        addHeldWork(held, row.hold.target, row.hold.missedTokens);
        return;
    }
    const targets = world.tables.targets.list().filter(target => canTake(target, row, tick));
    const candidates = listCandidates(world, tick, row, targets, held);
    const chosen = chooseCandidate(world, row, candidates);
    if (chosen && hasRoom(chosen.target)) {
        row.hold = undefined;
        sendToTarget(world, tick, row, chosen, candidates);
        return;
    }
    if (chosen) {
        const { missedTokens } = chosen.score;
        row.hold = { target: chosen.target.id, at: tick.now, missedTokens };
        addHeldWork(held, chosen.target.id, missedTokens);
    }
}

/**
 * Reads: configuration, prefixes. Writes: requests, targets (work in flight).
 * Effects: requests to targets, log lines.
 */
export function routeRequests(world: World, tick: Tick): void {
    // Under overload most ticks find every target full; the queue is not even sorted then.
    if (!hasAnyRoom(world)) {
        return;
    }
    const held: HeldWork = new Map();
    for (const row of listFairly(world.tables.requests.list("queued"))) {
        if (tick.now < row.notBefore) {
            continue;
        }
        routeRequest(world, tick, row, held);
    }
}
