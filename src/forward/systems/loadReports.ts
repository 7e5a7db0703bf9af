/** Reports of this process's load on targets to peers, and the peers' reports. Shared by systems. */
import type { TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import type { PeerState } from "../peers";
import { lowestPriority } from "../policy/enginePriority";
import type { ForwardWorld } from "../world";
import { computePeerStaleMs } from "./accountUsage";

/** Load of this process on each target that has requests of it. */
export function buildLoadReports(world: ForwardWorld): Pick<PeerState, "load" | "queued"> {
    const load: PeerState["load"][number][] = [];
    const queued: NonNullable<PeerState["queued"]>[number][] = [];
    for (const { registration: { id }, inFlight } of world.tables.targets.list()) {
        if (inFlight.size === 0) {
            continue;
        }
        const byPriority = new Map<number, number>();
        let queuedTokens = 0;
        for (const { hasAnswered, missedTokens, priority } of inFlight.values()) {
            if (!hasAnswered) {
                queuedTokens += missedTokens;
                byPriority.set(priority, (byPriority.get(priority) ?? 0) + missedTokens);
            }
        }
        load.push([id, queuedTokens, inFlight.size]);
        if (queuedTokens > 0) {
            queued.push([id, [...byPriority]]);
        }
    }
    return { load, ...(queued.length > 0 ? { queued } : {}) };
}

const isPriority = (value: number): boolean => Number.isInteger(value) && value >= 0 && value <= lowestPriority;

/** Records the load that a peer reports, and removes outdated reports. */
export function applyLoadReports(world: ForwardWorld, tick: ForwardTick, { vm, load, queued = [] }: PeerState): void {
    const { peerLoads } = world.tables;
    const queuedByTarget = new Map<TargetId, readonly (readonly [number, number])[]>(
        queued.filter(([, byPriority]) => byPriority.every(([priority]) => isPriority(priority))),
    );
    const loads = load.map(([target, queuedTokens, requests]) => ({
        target,
        queuedTokens,
        requests,
        queuedByPriority: queuedByTarget.get(target),
    }));
    peerLoads.apply(vm, loads, tick.now);
    peerLoads.removeOutdated(tick.now, computePeerStaleMs(world));
}
