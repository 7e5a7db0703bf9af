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

/** Surge as it is recorded, with the usage in the window; both in tokens and at least as high as they were. */
export interface RecordedSurge {
    readonly tokens: number;
    readonly used: number;
}

/** Steps of the allowance in which surges are recorded; a smaller surge is covered by what is not handed out. */
const stepsPerAllowance = 8;

/** The next step above a number of tokens, since it may grow before it is recorded again; the allowance at most. */
const computeNextStep = (tokens: number, step: number): number =>
    Math.min(stepsPerAllowance, Math.floor(tokens / step) + 1) * step;

/**
 * The row that should be recorded; undefined for none. A row that is recorded may stay for a while after its surge, so the
 * usage in it has to grow on.
 *
 * @example
 * chooseRecordedSurge({ surge: 260, used: 410, allowedTokens: 800, recorded: undefined }); // { tokens: 300, used: 500 }
 * chooseRecordedSurge({ surge: 90, used: 410, allowedTokens: 800, recorded: undefined }); // undefined
 */
export function chooseRecordedSurge(
    { surge, used, allowedTokens, recorded }: {
        readonly surge: number;
        readonly used: number;
        readonly allowedTokens: number;
        readonly recorded: RecordedSurge | undefined;
    },
): RecordedSurge | undefined {
    const step = allowedTokens / stepsPerAllowance;
    const nextUsed = computeNextStep(Math.max(surge, used), step);
    if (surge >= step) {
        return { tokens: computeNextStep(surge, step), used: nextUsed };
    }
    return recorded && nextUsed > recorded.used ? { tokens: recorded.tokens, used: nextUsed } : undefined;
}

/**
 * True when the recorded surge is lower than it should be.
 *
 * @example
 * isTooLow({ tokens: 300, used: 500 }, { tokens: 300, used: 600 }); // true
 */
export const isTooLow = (recorded: RecordedSurge | undefined, wanted: RecordedSurge): boolean =>
    recorded === undefined || recorded.tokens < wanted.tokens || recorded.used < wanted.used;
