/** Load of engines: requests of this process and those that its peers reported. Shared by systems. */
import type { TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import type { QueueState } from "../policy/engineScore";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeExchangeIntervalMs, computePeerStaleMs } from "./accountUsage";

/** Load assumed for a process without a recent report, as a fraction of this process's own load. */
const assumedLoadFraction = 0.5;

/** Factor on the known load that accounts for processes without a recent report. */
export function computeLoadScale(world: ForwardWorld, tick: ForwardTick): number {
    const staleMs = computePeerStaleMs(world);
    const processesWithoutReport = world.tables.members.list().filter(({ vm }) => {
        const peer = world.tables.peers.rows.get(vm);
        return vm !== world.settings.vm && (!peer || tick.now - peer.stateReceivedAt > staleMs);
    });
    return 1 + processesWithoutReport.length * assumedLoadFraction;
}

interface PeerLoad {
    readonly queuedTokens: number;
    readonly requests: number;
}

/** Load of other processes on each target, from their last reports; outdated reports are left out. */
function listPeerLoads(world: ForwardWorld, tick: ForwardTick): ReadonlyMap<TargetId, PeerLoad> {
    const staleMs = computePeerStaleMs(world);
    const loads = new Map<TargetId, PeerLoad>();
    for (const { load, stateReceivedAt } of world.tables.peers.rows.values()) {
        if (tick.now - stateReceivedAt > staleMs) {
            continue;
        }
        for (const [target, { queuedTokens, requests }] of load) {
            const total = loads.get(target);
            loads.set(target, {
                queuedTokens: queuedTokens + (total?.queuedTokens ?? 0),
                requests: requests + (total?.requests ?? 0),
            });
        }
    }
    return loads;
}

/** Queue of the target: requests of this process and the given tokens of its peers. */
function computeQueueState(tick: ForwardTick, target: ForwardTargetRow, peerTokens: number): QueueState {
    let queuedTokens = peerTokens;
    let oldestMs = 0;
    let oldestTokens = 0;
    for (const { hasAnswered, missedTokens, sentAt } of target.inFlight.values()) {
        if (hasAnswered) {
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

/** Longest interval between exchanges at which reported loads still describe the queue of a single engine. */
const maxFreshLoadIntervalMs = 300;

/** Freshness of reported loads: 1 in a small fleet, lower the longer the exchange interval of a large one is. */
export const computeLoadFreshness = (world: ForwardWorld): number =>
    Math.min(1, maxFreshLoadIntervalMs / computeExchangeIntervalMs(world));

/** Load of one target. */
export interface TargetLoad {
    readonly target: ForwardTargetRow;
    readonly queue: QueueState;
    /** Requests in flight, of this process and as reported by its peers. */
    readonly requests: number;
}

/** Loads of the targets, in the order given. */
export function listTargetLoads(
    world: ForwardWorld,
    tick: ForwardTick,
    targets: readonly ForwardTargetRow[],
): readonly TargetLoad[] {
    const peerLoads = listPeerLoads(world, tick);
    return targets.map(target => {
        const { queuedTokens, requests } = peerLoads.get(target.registration.id) ?? { queuedTokens: 0, requests: 0 };
        return {
            target,
            queue: computeQueueState(tick, target, queuedTokens),
            requests: target.inFlight.size + requests,
        };
    });
}
