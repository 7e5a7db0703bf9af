/**
 * Surge of an account: the tokens that its usage in the window exceeds an even use of the allowance by, at most over all
 * last parts of the window. It is what stays in the window although an even decline says that it has left it.
 */
import type { Millis } from "../../ids";

/** Usage in the window that ended at a moment. */
export interface UsageSample {
    readonly at: Millis;
    readonly tokens: number;
}

export interface SurgeInput {
    /** Earlier samples, oldest first. */
    readonly samples: readonly UsageSample[];
    readonly now: UsageSample;
    readonly allowedTokens: number;
    readonly windowMs: number;
}

/**
 * Computes the surge at the time of the newest sample. Earlier usage is taken to be spread evenly over its window.
 *
 * @example
 * // 900 of 1000 tokens were used in the last second of a window of 8 s.
 * const samples = [{ at: toMillis(0), tokens: 0 }];
 * computeSurge({ samples, now: { at: toMillis(1000), tokens: 900 }, allowedTokens: 1000, windowMs: 8000 }); // 775
 */
export function computeSurge({ samples, now, allowedTokens, windowMs }: SurgeInput): number {
    return samples.reduce((surge, { at, tokens }) => {
        const elapsedFraction = Math.min(1, (now.at - at) / windowMs);
        const usedSince = now.tokens - tokens * (1 - elapsedFraction);
        return Math.max(surge, usedSince - allowedTokens * elapsedFraction);
    }, 0);
}

/** Steps of the allowance in which surges are recorded; a smaller surge is covered by what is not handed out. */
const stepsPerAllowance = 8;

/**
 * The surge to record in place of the recorded one, in tokens; 0 for none. A recorded surge is higher than the measured one
 * by up to a step, since it may grow before it is recorded again, and stays until the measured one is two steps lower.
 *
 * @example
 * chooseRecordedSurge({ surge: 260, recorded: 0, allowedTokens: 800 }); // 300
 * chooseRecordedSurge({ surge: 160, recorded: 300, allowedTokens: 800 }); // 300
 */
export function chooseRecordedSurge(
    { surge, recorded, allowedTokens }: {
        readonly surge: number;
        readonly recorded: number;
        readonly allowedTokens: number;
    },
): number {
    const step = allowedTokens / stepsPerAllowance;
    const level = Math.floor(surge / step);
    const next = level === 0 ? 0 : Math.min(allowedTokens, (level + 1) * step);
    return next > recorded || next < recorded - 1.5 * step ? next : recorded;
}
