/** Work that waits at engines: this process's own, and what its peers told. Shared by systems. */
import type { TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import type { QueueFacts } from "../policy/engineScore";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeExchangeEveryMs, computePeerStaleMs } from "./accountUsage";

/** Work of a process that has not been heard, as part of this process's own. */
const othersWeight = 0.5;

/** Scale of this process's own work for the processes that it has not heard lately. */
export function computeFleetFactor(world: ForwardWorld, tick: ForwardTick): number {
    const staleMs = computePeerStaleMs(world);
    const unheard = world.tables.members.list().filter(({ vm }) => {
        const peer = world.tables.peers.rows.get(vm);
        return vm !== world.settings.vm && (!peer || tick.now - peer.heardAt > staleMs);
    });
    return 1 + unheard.length * othersWeight;
}

interface PeerLoad {
    readonly queuedTokens: number;
    readonly requests: number;
}

/** Work of other processes at each target, as they last told. */
function listPeerLoads(world: ForwardWorld, tick: ForwardTick): ReadonlyMap<TargetId, PeerLoad> {
    const staleMs = computePeerStaleMs(world);
    const loads = new Map<TargetId, PeerLoad>();
    for (const { load, heardAt } of world.tables.peers.rows.values()) {
        if (tick.now - heardAt > staleMs) {
            continue;
        }
        for (const [target, { queuedTokens, requests }] of load) {
            const known = loads.get(target);
            loads.set(target, {
                queuedTokens: queuedTokens + (known?.queuedTokens ?? 0),
                requests: requests + (known?.requests ?? 0),
            });
        }
    }
    return loads;
}

/** What waits at the target, of this process and the given tokens of its peers. */
function computeQueueFacts(tick: ForwardTick, target: ForwardTargetRow, peerTokens: number): QueueFacts {
    let queuedTokens = peerTokens;
    let oldestMs = 0;
    let oldestTokens = 0;
    for (const { hasAnswered, missedTokens, sentAt } of target.work.values()) {
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

/** Time between exchanges up to which told work says how long the queue of a single engine is. */
const freshLoadMs = 300;

/** How far told work can be relied on: 1 in a small fleet, less the longer a large one takes to tell. */
export const computeLoadTrust = (world: ForwardWorld): number =>
    Math.min(1, freshLoadMs / computeExchangeEveryMs(world));

/** Load of one target, as the choice of an engine needs it. */
export interface TargetLoad {
    readonly target: ForwardTargetRow;
    readonly queue: QueueFacts;
    /** Requests in flight, of this process and as its peers told. */
    readonly requests: number;
}

/** Loads of the targets, in their order. */
export function listTargetLoads(
    world: ForwardWorld,
    tick: ForwardTick,
    targets: readonly ForwardTargetRow[],
): readonly TargetLoad[] {
    const told = listPeerLoads(world, tick);
    return targets.map(target => {
        const { queuedTokens, requests } = told.get(target.registration.id) ?? { queuedTokens: 0, requests: 0 };
        return {
            target,
            queue: computeQueueFacts(tick, target, queuedTokens),
            requests: target.work.size + requests,
        };
    });
}
