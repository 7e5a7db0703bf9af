/**
 * Sequential probability ratio test (Wald) on answers that are hits (a failure, a slow answer) or not. The score is the
 * logarithm of the likelihood ratio of a raised share of hits against the expected one.
 */

/** Probability that a version without fault scores as bad in one test. Each process repeats it for several windows. */
const falseAlarmRate = 0.002;
/** Probability that a version with the smallest detectable difference scores as good. */
const missRate = 0.05;
/** From this score on the test says bad. */
export const badScore = Math.log((1 - missRate) / falseAlarmRate);
/** Up to this score the test says good. */
export const goodScore = Math.log(missRate / (1 - falseAlarmRate));
/** Keeps the raised share below 1, where a single answer without a hit would have the likelihood 0. */
const maxRaisedShare = 0.99;

export interface HitCounts {
    readonly answers: number;
    readonly hits: number;
}

export interface TestedShares {
    /** Share of hits of a version without fault. */
    readonly expectedShare: number;
    /** Smallest increase of that share that the test is to detect. */
    readonly detectedIncrease: number;
}

/**
 * Computes the score of the answers.
 *
 * @example
 * computeScore({ answers: 30, hits: 0 }, { expectedShare: 0.01, detectedIncrease: 0.1 }) <= goodScore; // true
 */
export function computeScore({ answers, hits }: HitCounts, { expectedShare, detectedIncrease }: TestedShares): number {
    const raisedShare = Math.min(maxRaisedShare, expectedShare + detectedIncrease);
    const base = Math.min(expectedShare, raisedShare * maxRaisedShare);
    const hitScore = Math.log(raisedShare / base);
    const otherScore = Math.log((1 - raisedShare) / (1 - base));
    return hits * hitScore + (answers - hits) * otherScore;
}
