/**
 * Even load from old reports. In a large fleet a report is seconds old, while an engine's queue changes within a few
 * hundred milliseconds. So the load of an engine is estimated from reports weighted by their age, a shared part in
 * demand is spread over several engines according to the demand that this process sees itself, and each choice has a
 * random part, so that processes with the same reports do not all choose the same engine. See
 * `docs/design/even-load.md`.
 */

/**
 * Time constant with which the queue of an engine loses its relation to a report. In the model of
 * `test/forward/evenLoad.test.ts`, 1,000 ms left too much of a steady difference between engines unseen, and 4,000 ms
 * moved requests away from queues that had long been served.
 */
const reportDecayMs = 2000;

/**
 * Weight of what a report says of one engine, as against the mean of all engines: 1 for a new report, lower with age.
 *
 * @example
 * computeAgeWeight(0); // 1
 */
export const computeAgeWeight = (ageMs: number): number => Math.exp(-ageMs / reportDecayMs);

/** Queued tokens of peers at one engine. */
export interface ReportedTokens {
    /** Sum over the last reports. */
    readonly tokens: number;
    /** Sum over the last reports, each weighted by its age. */
    readonly weightedTokens: number;
}

/**
 * Estimates the queued tokens of peers at each engine. What the weights take from the reports is spread evenly: work
 * that has been served since the report has been replaced by work that may be at any engine.
 *
 * @example
 * estimatePeerTokens([{ tokens: 100, weightedTokens: 40 }, { tokens: 0, weightedTokens: 0 }]); // [70, 30]
 */
export function estimatePeerTokens(reported: readonly ReportedTokens[]): readonly number[] {
    const unweighted = reported.reduce((sum, { tokens, weightedTokens }) => sum + tokens - weightedTokens, 0);
    const mean = Math.max(0, unweighted) / Math.max(1, reported.length);
    return reported.map(({ weightedTokens }) => Math.max(0, weightedTokens) + mean);
}

/**
 * Time constant of a process's own demand for a shared part. A few requests of a part in demand fall into it. With
 * 4,000 ms, 80 processes spread the parts of a burst too late.
 */
export const demandDecayMs = 2000;
/**
 * Fraction of an engine that one shared part may take before it is spread over another one. The rest is for other
 * parts, and for bursts between two reports.
 */
const maxPartUtilisation = 0.35;

export interface PartDemand {
    /** Milliseconds of engine time for the demand of this process within `demandDecayMs`, without the newest request. */
    readonly ownMs: number;
    /** Processes of the fleet, among which callers spread their requests evenly. */
    readonly processes: number;
}

/**
 * Number of engines over which requests with the same shared part are spread. Computed from the demand that this
 * process sees, so it follows a burst at once, and errors of different processes cancel out.
 *
 * @example
 * computeSpreadCount({ ownMs: 0, processes: 80 }); // 1
 */
export const computeSpreadCount = ({ ownMs, processes }: PartDemand): number =>
    Math.max(1, Math.round(ownMs * processes / demandDecayMs / maxPartUtilisation));

/** Scale of the random part of a score; differences between engines that are below it are within the error. */
const choiceNoiseMs = 10;

/**
 * Random part of a score, with a Gumbel distribution: choosing the lowest sum of score and noise gives each engine a
 * probability that falls exponentially with its score.
 *
 * @example
 * const scoreMs = engineScoreMs + computeChoiceNoise(world.random());
 */
export function computeChoiceNoise(random: number): number {
    const inside = Math.min(1 - Number.EPSILON, Math.max(Number.EPSILON, random));
    return choiceNoiseMs * Math.log(-Math.log(inside));
}
