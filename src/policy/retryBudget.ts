/** Retry budget: limits retries to a fraction of the requests sent, so that they cannot amplify an outage. */

export interface RetryBudget {
    /** Retries available now. */
    level: number;
    /** Maximum of `level`. */
    readonly burst: number;
}

/** Retries available after a quiet period: enough for the requests in flight on one crashed engine of 8 slots. */
const defaultBurst = 20;

/** Creates a full budget. */
export const createRetryBudget = (
    { burst = defaultBurst }: { readonly burst?: number; } = {},
): RetryBudget => ({ level: burst, burst });

/** Adds a fraction of a retry for the first attempt of a request. */
export function recordFirstSend(budget: RetryBudget, fraction: number): void {
    budget.level = Math.min(budget.burst, budget.level + fraction);
}

export const hasRetry = (budget: RetryBudget): boolean => budget.level >= 1;

/** Reserves one retry. The caller checks `hasRetry` first. */
export function reserveRetry(budget: RetryBudget): void {
    budget.level = Math.max(0, budget.level - 1);
}

/** Returns a reserved retry that was not used. */
export function releaseRetry(budget: RetryBudget): void {
    budget.level = Math.min(budget.burst, budget.level + 1);
}
