/**
 * Parity of refusals between priorities. A request of low urgency has a long objective and may queue, while an urgent one
 * next to it is refused as soon as all slots are taken. So a request gives way to more urgent ones of its service that
 * are refused more often.
 */
import type { Millis } from "../../ids";

/** Recent decisions on the requests of one rank, with exponential decay. */
export interface RefusalRate {
    readonly decided: number;
    readonly refused: number;
    readonly at: Millis;
}

/** Time constant of the decay: slots that long requests hold come free over several seconds. */
const decayMs = 10_000;
/** Urgent requests may be refused more often by this much, which is within the error of the shares. */
const parityMargin = 0.02;
/** Added to the decisions, so that the first refusals of a rank do not count as a rate of 1. */
const priorDecisions = 4;

/** Adds a decision to the rate. */
export function updateRefusalRate(rate: RefusalRate | undefined, isRefused: boolean, now: Millis): RefusalRate {
    const weight = rate ? Math.exp(-Math.max(0, now - rate.at) / decayMs) : 0;
    return {
        decided: (rate?.decided ?? 0) * weight + 1,
        refused: (rate?.refused ?? 0) * weight + (isRefused ? 1 : 0),
        at: now,
    };
}

/** Computes the share of refusals among recent decisions; it falls to 0 when no more are made. */
export function computeRefusalShare(rate: RefusalRate | undefined, now: Millis): number {
    if (!rate) {
        return 0;
    }
    const weight = Math.exp(-Math.max(0, now - rate.at) / decayMs);
    return rate.refused * weight / (rate.decided * weight + priorDecisions);
}

/**
 * True when a more urgent rank is refused clearly more often than the given one.
 *
 * @example
 * // Rank 1 is refused, rank 3 is not yet.
 * const rates = [undefined, { decided: 10, refused: 5, at: now }];
 * isGivingWay({ rates, rank: 3, now }); // true
 */
export function isGivingWay(
    { rates, rank, now }: {
        /** By rank; lower ranks are more urgent. */
        readonly rates: readonly (RefusalRate | undefined)[];
        readonly rank: number;
        readonly now: Millis;
    },
): boolean {
    const ownShare = computeRefusalShare(rates[rank], now);
    return rates.slice(0, rank).some(rate => computeRefusalShare(rate, now) > ownShare + parityMargin);
}
