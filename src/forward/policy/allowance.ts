/** Allowance of an account in one window, and what of it one process may use without asking the others. */

export interface AllowanceOptions {
    /** Tokens a second over the fleet. */
    readonly rate: number;
    readonly burst: number;
    readonly windowMs: number;
    /** Part of rate and burst that is allowed on top. */
    readonly overage: number;
    /** Tokens allowed besides in one window, over the fleet. */
    readonly slackTokens: number;
}

/**
 * Part of the allowance that is given out. The rest covers requests that are larger than what is left, and what a
 * killed process had used without telling: 0.9 was exceeded by 11 % when half of a fleet was killed in a flood.
 */
const givenFraction = 0.87;

/**
 * Computes the tokens that the whole fleet may use in any window.
 *
 * @example
 * computeAllowance({ rate: 1000, burst: 1000, windowMs: 8000, overage: 0, slackTokens: 0 }); // 8100
 */
export function computeAllowance({ rate, burst, windowMs, overage, slackTokens }: AllowanceOptions): number {
    return ((rate * windowMs / 1000 + burst) * (1 + overage) + slackTokens) * givenFraction;
}
