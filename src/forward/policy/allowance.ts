/** Allowance of an account: the tokens that the whole fleet may use in one window. */

export interface AllowanceOptions {
    /** Tokens a second over the fleet. */
    readonly rate: number;
    readonly burst: number;
    readonly windowMs: number;
    /** Fraction by which rate and burst may be exceeded. */
    readonly overage: number;
    /** Additional tokens allowed in one window, over the fleet. */
    readonly slackTokens: number;
}

/**
 * Fraction of the allowance that is handed out. The rest covers requests that are larger than the remaining allowance,
 * and tokens that a killed process used without reporting them: with 0.9, the allowance was exceeded by 11 % when half
 * of a fleet was killed under a flood of requests.
 */
const usableFraction = 0.87;

/**
 * Computes the tokens that the whole fleet may use in any window.
 *
 * @example
 * computeAllowance({ rate: 1000, burst: 1000, windowMs: 8000, overage: 0, slackTokens: 0 }); // 8100
 */
export function computeAllowance({ rate, burst, windowMs, overage, slackTokens }: AllowanceOptions): number {
    return ((rate * windowMs / 1000 + burst) * (1 + overage) + slackTokens) * usableFraction;
}
