/** Priority that an engine is given with a request; engines admit lower numbers first. */

/** Resumed streams have the highest priority, because their callers are waiting in the middle of an answer. */
const resumedPriority = 0;
/** Priorities of requests that are not resumed. Engines accept 0 (most urgent) to 9. */
const highestPriority = 1;
export const lowestPriority = 9;
/** Requests are ordered by the account's priority, then by the route's, which has about this many levels. */
const routePriorityLevels = 3;

export interface EnginePriorityInput {
    /** True when the caller has a part of the answer. */
    readonly isResumed: boolean;
    readonly accountPriority: number;
    readonly routePriority: number;
}

/**
 * Computes the priority of a request.
 *
 * @example
 * computeEnginePriority({ isResumed: false, accountPriority: 1, routePriority: 2 }); // 6
 */
export const computeEnginePriority = (input: EnginePriorityInput): number =>
    input.isResumed
        ? resumedPriority
        : Math.min(
            lowestPriority,
            highestPriority + input.accountPriority * routePriorityLevels + input.routePriority,
        );
