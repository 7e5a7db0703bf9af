/** Shares: which part of an account's rate one process of the fleet may use without asking the others. */

export interface ShareOptions {
    /** Tokens a second over the fleet. */
    readonly rate: number;
    readonly burst: number;
    /** Tokens allowed beyond rate and burst in one window, over the fleet. */
    readonly slackTokens: number;
    readonly members: number;
    /** False while the store does not answer; others may then count this process as gone. */
    readonly isInTouch: boolean;
}

export interface Share {
    readonly rate: number;
    /** Most tokens that can be saved up. */
    readonly capacity: number;
}

/** Part of the slack that is given out as burst. The rest covers large requests and changes of the fleet. */
const slackFraction = 0.4;
/** Part of its share that a process uses while it is out of touch. */
const outOfTouchFraction = 0.5;

/**
 * Computes the share of one process.
 *
 * @example
 * computeShare({ rate: 1000, burst: 1000, slackTokens: 0, members: 4, isInTouch: true }).rate; // 250
 */
export function computeShare({ rate, burst, slackTokens, members, isInTouch }: ShareOptions): Share {
    const part = (isInTouch ? 1 : outOfTouchFraction) / Math.max(1, members);
    return { rate: rate * part, capacity: (burst + slackFraction * slackTokens) * part };
}
