/** Work that waits at engines: this process's own, and what its peers told. Shared by systems. */
import type { ForwardTick } from "../events";
import type { QueueFacts } from "../policy/engineScore";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computePeerStaleMs } from "./accountUsage";

/** Work of a process that has not been heard, as part of this process's own. */
const othersWeight = 0.5;

/** Scale of this process's own work for the processes that it has not heard lately. */
export function computeFleetFactor(world: ForwardWorld, tick: ForwardTick): number {
    const unheard = world.tables.members.list().filter(({ vm }) => {
        const peer = world.tables.peers.rows.get(vm);
        return vm !== world.settings.vm && (!peer || tick.now - peer.heardAt > computePeerStaleMs(world));
    });
    return 1 + unheard.length * othersWeight;
}

/** Work of other processes at the target, as they last told. */
export function computePeerLoad(
    world: ForwardWorld,
    tick: ForwardTick,
    target: ForwardTargetRow,
): { readonly queuedTokens: number; readonly requests: number; } {
    const staleMs = computePeerStaleMs(world);
    let queuedTokens = 0;
    let requests = 0;
    for (const { load, heardAt } of world.tables.peers.rows.values()) {
        const entry = load.get(target.registration.id);
        if (entry && tick.now - heardAt <= staleMs) {
            queuedTokens += entry.queuedTokens;
            requests += entry.requests;
        }
    }
    return { queuedTokens, requests };
}

/** What waits at the target, of this process and of its peers. */
export function computeQueueFacts(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow): QueueFacts {
    let { queuedTokens } = computePeerLoad(world, tick, target);
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

/** Prompt tokens that wait at the target. */
export const computeQueuedTokens = (world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow): number =>
    computeQueueFacts(world, tick, target).queuedTokens;
