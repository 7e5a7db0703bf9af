/**
 * Timing of the watch on the store. A change reaches a process at the latest after the pause and the wait of a call whose
 * answer never comes, the margin after which that call has failed, the retry delay and the next call. Together they take
 * 0.83 of the bound with the fractions below; the rest is for the request that was decided last to reach its target.
 */

/** Fraction of the bound for the pause after a delivery and the wait of the next call. */
const cycleFraction = 0.5;
/** Fraction of the bound after which a call that should have been answered has failed. */
const marginFraction = 0.15;
/** Longest cycle, also where the bounds would allow more: withdrawn keys and new members are learned in it as well. */
const maxCycleMs = 1800;
const maxMarginMs = 700;

export interface WatchTiming {
    /** Longest time from one delivery of changes to the end of the next watch call, including the pause. */
    readonly cycleMs: number;
    /** Time beyond its wait time after which a watch call has failed. */
    readonly marginMs: number;
}

/**
 * Computes the timing for the shortest time within which a change of the store has to be known.
 *
 * @example
 * computeWatchTiming(2000); // { cycleMs: 1000, marginMs: 300 }
 */
export const computeWatchTiming = (boundMs: number): WatchTiming => ({
    cycleMs: Math.min(maxCycleMs, boundMs * cycleFraction),
    marginMs: Math.min(maxMarginMs, boundMs * marginFraction),
});
