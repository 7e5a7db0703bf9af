/** Number of engines that have to load new weights at the same time so that all have them in time. */
export interface LoadPaceInput {
    /** Engines that still have older weights. */
    readonly remaining: number;
    /** Mean time from an order to loaded weights; an engine finishes its requests first, so it grows with the load. */
    readonly cycleMs: number;
    /** Time until engines with older weights get no requests. */
    readonly timeLeftMs: number;
}

/**
 * Computes how many engines have to load at once. Engines that are too late get no requests at all, which costs more
 * capacity than loading more of them earlier. Counted in whole rounds: the part of a round that is left loads nothing.
 *
 * @example
 * computeNeededLoads({ remaining: 48, cycleMs: 3300, timeLeftMs: 7000 }); // 24
 */
export const computeNeededLoads = ({ remaining, cycleMs, timeLeftMs }: LoadPaceInput): number =>
    Math.ceil(remaining / Math.max(1, Math.floor(timeLeftMs / cycleMs)));

/** Weight of the newest load in the mean. */
const cycleWeight = 0.2;

/** Adds the duration of one load to the mean. */
export const updateCycleMs = (cycleMs: number, observedMs: number): number =>
    cycleMs + (observedMs - cycleMs) * cycleWeight;
