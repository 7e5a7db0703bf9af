/**
 * Failures of a target, pooled over the processes of a fleet. In a large fleet one process sends a target a request every
 * few seconds, so it would learn of a failing target only after most of the others had paid for the same lesson.
 */

/** Outcomes of one process's requests at one target in the last seconds. */
export interface OutcomeCounts {
    readonly failed: number;
    readonly answered: number;
}

/**
 * Answers that are assumed for each target: processes without failures report nothing, so the pooled counts lack their
 * answers. A single failure in a fleet is no reason to leave a target.
 */
const assumedAnswers = 20;

/**
 * Estimates the fraction of requests that the target fails.
 *
 * @example
 * estimateFailureShare([{ failed: 2, answered: 0 }, { failed: 1, answered: 1 }]); // 0.125
 */
export function estimateFailureShare(reports: readonly OutcomeCounts[]): number {
    const failed = reports.reduce((sum, report) => sum + report.failed, 0);
    const answered = reports.reduce((sum, report) => sum + report.answered, 0);
    return failed === 0 ? 0 : failed / (failed + answered + assumedAnswers);
}

/** Processes that have to find a target unreachable: one alone may have lost its own path to it. */
const minWitnesses = 2;

export interface SilenceReport {
    /** Time at which the process last found the target silent or unreachable. */
    readonly silentAt: number;
}

/**
 * True when several processes found the target unreachable since it last answered this one.
 *
 * @example
 * isUnreachable([{ silentAt: 900 }, { silentAt: 950 }], 400); // true
 */
export const isUnreachable = (reports: readonly SilenceReport[], lastAnswerAt: number): boolean =>
    reports.filter(({ silentAt }) => silentAt > lastAnswerAt).length >= minWitnesses;
