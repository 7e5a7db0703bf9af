/** Part stores: which of several keeps a part, and how long fetching from a source takes. Shared by systems. */
import { listByRendezvous } from "../../policy/rendezvous";
import type { PartStore } from "../document";
import type { ForwardTick } from "../events";
import { isFetchWorthwhile } from "../policy/transferDelay";
import type { ForwardAttempt } from "../tables/requests";
import { noSource } from "../tables/transferDelays";
import type { ForwardWorld } from "../world";

const listPartStores = (world: ForwardWorld): readonly PartStore[] =>
    world.tables.configuration.document?.partStores ?? [];

/**
 * Finds the store that keeps a shared part. With several stores each part belongs to one of them by rendezvous hash, so
 * that their memories and their links add up and all processes look for a part in the same place.
 */
export function findPartStore(world: ForwardWorld, sharedPart: string): PartStore | undefined {
    const stores = listPartStores(world);
    if (stores.length < 2) {
        return stores[0];
    }
    const [first] = listByRendezvous(world.hasher, sharedPart, stores.map(({ id }) => id));
    return stores.find(({ id }) => id === first);
}

/** Delays are learned where several part stores show that links are the bottleneck; others fetch as before. */
const isDelayLearned = (world: ForwardWorld): boolean => listPartStores(world).length > 1;

/** True unless the source is so busy that computing the tokens again is faster. */
export const canFetchInTime = (
    world: ForwardWorld,
    tick: ForwardTick,
    { address, recomputeMs }: { readonly address: string; readonly recomputeMs: number; },
): boolean =>
    !isDelayLearned(world)
    || isFetchWorthwhile({ delayMs: world.tables.transferDelays.computeAdded(address, tick.now), recomputeMs });

/** Records by how much the first event of an attempt is later than estimated. It may not have come yet. */
export function recordTransferDelay(
    world: ForwardWorld,
    tick: ForwardTick,
    { sentAt, estimate }: Pick<ForwardAttempt, "sentAt" | "estimate">,
): void {
    if (estimate && isDelayLearned(world)) {
        const lateMs = tick.now - sentAt - estimate.firstEventMs;
        world.tables.transferDelays.record(estimate.fetchFrom ?? noSource, lateMs, tick.now);
    }
}
