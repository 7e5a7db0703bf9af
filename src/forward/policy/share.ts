/** Shares: how much of an account's allowance one process of the fleet may use without asking the others. */

export interface ShareOptions {
    /** Tokens a second over the fleet. */
    readonly rate: number;
    readonly burst: number;
    readonly windowMs: number;
    /** Part of rate and burst that is allowed on top. */
    readonly overage: number;
    /** Tokens allowed besides in one window, over the fleet. */
    readonly slackTokens: number;
    readonly members: number;
    /** False while the store does not answer; others may then count this process as gone. */
    readonly isInTouch: boolean;
}

/**
 * Part of the allowance that is given out. The rest covers processes that leave or restart within one window and
 * requests that are larger than what is left.
 */
const givenFraction = 0.9;
/** Part of its share that a process uses while it is out of touch. */
const outOfTouchFraction = 0.5;

/**
 * Computes the tokens that one process may use in any window.
 *
 * @example
 * computeShare({
 *     rate: 1000, burst: 1000, windowMs: 8000, overage: 0, slackTokens: 0, members: 4, isInTouch: true,
 * }); // 1800
 */
export function computeShare(
    { rate, burst, windowMs, overage, slackTokens, members, isInTouch }: ShareOptions,
): number {
    const allowed = (rate * windowMs / 1000 + burst) * (1 + overage) + slackTokens;
    const part = (isInTouch ? 1 : outOfTouchFraction) / Math.max(1, members);
    return allowed * givenFraction * part;
}
