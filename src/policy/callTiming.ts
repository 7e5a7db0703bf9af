/** Time limits of calls. They follow from what has arrived, since the length of an answer is not known in advance. */

/** Slowest transfer that a call is kept for, 1 Mbit/s. */
const minBytesPerMs = 125;

/** Time that bytes take at the slowest rate. */
export const computeTransferMs = (bytes: number): number => bytes / minBytesPerMs;

export interface CallTiming {
    /** Time until the answer begins, for a call without a body. */
    readonly timeoutMs: number;
    /** Longest pause between two pieces of the answer. */
    readonly silenceMs: number;
    /** Length of the body that the call sends. */
    readonly sentBytes: number;
}

export interface CallState {
    /** Milliseconds on any clock, the same for all times of the call. */
    readonly sentAt: number;
    /** Time of the last piece of the answer, its head included; undefined before its head. */
    readonly lastReceivedAt: number | undefined;
    readonly receivedBytes: number;
    /** Time since the call was sent for which other answers have occupied the link. */
    readonly linkBusyMs: number;
}

/**
 * Computes the time at which a call fails unless more of its answer has arrived. Each byte extends the limit by the time
 * that it takes at the slowest rate, so that an answer of bounded length ends in bounded time.
 *
 * @example
 * const timing = { timeoutMs: 900, silenceMs: 900, sentBytes: 0 };
 * computeCallDeadline(timing, { sentAt: 0, lastReceivedAt: undefined, receivedBytes: 0, linkBusyMs: 0 }); // 900
 * computeCallDeadline(timing, { sentAt: 0, lastReceivedAt: 850, receivedBytes: 100_000, linkBusyMs: 0 }); // 1700
 */
export function computeCallDeadline(
    { timeoutMs, silenceMs, sentBytes }: CallTiming,
    { sentAt, lastReceivedAt, receivedBytes, linkBusyMs }: CallState,
): number {
    const limitAt = sentAt + timeoutMs + linkBusyMs + computeTransferMs(sentBytes + receivedBytes);
    return lastReceivedAt === undefined ? limitAt : Math.min(limitAt, lastReceivedAt + silenceMs);
}
