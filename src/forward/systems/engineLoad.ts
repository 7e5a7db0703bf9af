/** Load of engines: requests of this process and those that its peers reported. Shared by systems. */
import type { ForwardTick } from "../events";
import type { QueueState } from "../policy/engineScore";
import { computeAgeWeight, estimatePeerTokens } from "../policy/loadEstimate";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeExchangeIntervalMs, computePeerStaleMs } from "./accountUsage";

/** Longest interval between exchanges at which reported loads still describe the queue of a single engine. */
const maxFreshLoadIntervalMs = 300;

/** Freshness of reported loads: 1 in a small fleet, lower the longer the exchange interval of a large one is. */
export const computeLoadFreshness = (world: ForwardWorld): number =>
    Math.min(1, maxFreshLoadIntervalMs / computeExchangeIntervalMs(world));

/** In a small fleet, and where the settings say so, reports describe the present loads. */
export const canEstimateLoad = (world: ForwardWorld): boolean =>
    world.settings.routing.estimatesLoad && computeLoadFreshness(world) < 1;

/**
 * Load assumed for a process without a recent report, as a fraction of this process's own load, or of the mean load of
 * the processes that are known where loads are estimated.
 */
const assumedLoadFraction = 0.5;

/**
 * Factor on the known load that accounts for processes without a recent report. In a large fleet the known load is that
 * of many processes; without dividing by their number, requests were refused for the first seconds after a start.
 */
export function computeLoadScale(world: ForwardWorld, tick: ForwardTick): number {
    const staleMs = computePeerStaleMs(world);
    const members = world.tables.members.list();
    const unknownCount = members.filter(({ vm }) => {
        const peer = world.tables.peers.rows.get(vm);
        return vm !== world.settings.vm && (!peer || tick.now - peer.stateReceivedAt > staleMs);
    }).length;
    const knownCount = canEstimateLoad(world) ? Math.max(1, members.length - unknownCount) : 1;
    return 1 + unknownCount * assumedLoadFraction / knownCount;
}

/** Queue of the target: requests of this process up to the priority, and the given tokens of its peers. */
function computeQueueState(
    tick: ForwardTick,
    target: ForwardTargetRow,
    peerTokens: number,
    maxPriority = Infinity,
): QueueState {
    let queuedTokens = peerTokens;
    let oldestMs = 0;
    let oldestTokens = 0;
    for (const { hasAnswered, missedTokens, priority, sentAt } of target.inFlight.values()) {
        if (hasAnswered || priority > maxPriority) {
            continue;
        }
        queuedTokens += missedTokens;
        if (tick.now - sentAt > oldestMs) {
            oldestMs = tick.now - sentAt;
            oldestTokens = missedTokens;
        }
    }
    return { queuedTokens, oldestMs, oldestTokens };
}

/** Load of one target. */
export interface TargetLoad {
    readonly target: ForwardTargetRow;
    readonly queue: QueueState;
    /** Requests in flight, of this process and as reported by its peers. */
    readonly requests: number;
}

/** Loads of the targets, in the order given, as last reported. */
export function listTargetLoads(
    world: ForwardWorld,
    tick: ForwardTick,
    targets: readonly ForwardTargetRow[],
): readonly TargetLoad[] {
    const { peerLoads } = world.tables;
    peerLoads.removeOutdated(tick.now, computePeerStaleMs(world));
    return targets.map(target => {
        const reported = peerLoads.rows.get(target.registration.id);
        return {
            target,
            queue: computeQueueState(tick, target, reported?.queuedTokens ?? 0),
            requests: target.inFlight.size + (reported?.requests ?? 0),
        };
    });
}

/** Queued tokens of requests that an engine admits before one of the given priority, or at the same time. */
function countTokensAhead(tokensByPriority: readonly number[], priority: number): number {
    let sum = 0;
    for (let index = 0; index <= priority; index += 1) {
        sum += tokensByPriority[index] ?? 0;
    }
    return sum;
}

/**
 * Estimated present loads of the targets, in the order given. The queue holds only requests that are admitted before
 * one of the given priority, or at the same time.
 */
export function listEstimatedLoads(
    world: ForwardWorld,
    tick: ForwardTick,
    targets: readonly ForwardTargetRow[],
    priority: number,
): readonly TargetLoad[] {
    const { peerLoads } = world.tables;
    peerLoads.removeOutdated(tick.now, computePeerStaleMs(world));
    const reports = targets.map(({ registration }) => peerLoads.rows.get(registration.id));
    const peerTokens = estimatePeerTokens(reports.map(report => ({
        tokens: report ? countTokensAhead(report.tokens, priority) : 0,
        weightedTokens: report
            ? countTokensAhead(report.weightedTokens, priority) * computeAgeWeight(tick.now - report.weightedAt)
            : 0,
    })));
    return targets.map((target, index) => ({
        target,
        queue: computeQueueState(tick, target, peerTokens[index] ?? 0, priority),
        requests: target.inFlight.size + (reports[index]?.requests ?? 0),
    }));
}
