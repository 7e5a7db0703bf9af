/** How many engines have to load new weights at the same time, so that each has them in time. */
export interface LoadPaceInput {
    /** For each engine with older weights, the time until it gets no requests because of them. */
    readonly timesLeftMs: readonly number[];
    /** Mean time from an order to loaded weights; an engine finishes its requests first, so it grows with the load. */
    readonly cycleMs: number;
}

/**
 * Computes how many engines have to load at once. Engines that are too late get no requests at all, which costs more
 * capacity than loading more of them earlier. Counted in whole rounds: the part of a round that is left loads nothing.
 *
 * @example
 * computeNeededLoads({ timesLeftMs: [7000, 7000, 7000], cycleMs: 3300 }); // 2: there is time for two rounds
 */
export function computeNeededLoads({ timesLeftMs, cycleMs }: LoadPaceInput): number {
    const sorted = [...timesLeftMs].sort((left, right) => left - right);
    return sorted.reduce(
        (needed, timeLeftMs, index) =>
            Math.max(needed, Math.ceil((index + 1) / Math.max(1, Math.floor(timeLeftMs / cycleMs)))),
        0,
    );
}

/** Weight of the newest load in the mean. */
const cycleWeight = 0.2;

/** Adds the duration of one load to the mean. */
export const updateCycleMs = (cycleMs: number, observedMs: number): number =>
    cycleMs + (observedMs - cycleMs) * cycleWeight;
