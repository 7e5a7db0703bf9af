/**
 * Delay of transfers of cached parts, learned from answers. The link of a source carries one transfer at a time, so a
 * source that many engines fetch from at once makes each of them wait, without any sign but late first events.
 */

export interface DelayAverage {
    readonly delayMs: number;
    readonly at: number;
}

/** Weight of the newest observation. */
const observationWeight = 0.3;
/** An average that nothing confirms halves in this time, so that a source that was busy is tried again. */
const halfLifeMs = 1500;

/** The average at a later time. */
export const computeDelay = ({ delayMs, at }: DelayAverage, now: number): number =>
    delayMs * 2 ** (-Math.max(0, now - at) / halfLifeMs);

/** Adds an observation to an average. */
export function updateDelay(average: DelayAverage | undefined, observedMs: number, now: number): DelayAverage {
    if (!average) {
        return { delayMs: observedMs * observationWeight, at: now };
    }
    const delayMs = computeDelay(average, now);
    return { delayMs: delayMs + (observedMs - delayMs) * observationWeight, at: now };
}

/**
 * True when fetching parts takes less time than computing them again. Both times in milliseconds.
 *
 * @example
 * isFetchWorthwhile({ delayMs: 400, recomputeMs: 126 }); // false: the link of the source is busy
 */
export const isFetchWorthwhile = (
    { delayMs, recomputeMs }: { readonly delayMs: number; readonly recomputeMs: number; },
): boolean => delayMs < recomputeMs;
