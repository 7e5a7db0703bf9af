/** Retry budget: retries are paid from a share of the requests sent, so that they cannot multiply a failure. */

export interface RetryBudget {
    /** Retries that may be sent now. */
    level: number;
    /** Most retries that are saved up. */
    readonly burst: number;
}

/** Retries that a quiet process may send at once: as many as it has on one engine of 8 slots that crashes. */
const defaultBurst = 20;

/** Creates a full budget. */
export const createRetryBudget = (
    { burst = defaultBurst }: { readonly burst?: number; } = {},
): RetryBudget => ({ level: burst, burst });

/** Counts a request that is sent for the first time. */
export function recordFirstSend(budget: RetryBudget, fraction: number): void {
    budget.level = Math.min(budget.burst, budget.level + fraction);
}

export const hasRetry = (budget: RetryBudget): boolean => budget.level >= 1;

/** Takes one retry; the caller checks with `hasRetry` first. */
export function reserveRetry(budget: RetryBudget): void {
    budget.level = Math.max(0, budget.level - 1);
}

/** Gives back a retry that was reserved and not used. */
export function releaseRetry(budget: RetryBudget): void {
    budget.level = Math.min(budget.burst, budget.level + 1);
}
