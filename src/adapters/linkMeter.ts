/** Measures for how long large answers occupy a link. Small answers that arrive over the same link wait behind them. */
import { computeTransferMs } from "../policy/callTiming";

/** Bytes from which on an answer is large. Answers to most calls have less than a kilobyte. */
const largeAnswerBytes = 64 * 1024;

export interface MeteredAnswer {
    /** Records a piece; the head counts as one of 0 bytes. */
    addBytes(bytes: number): void;
}

export interface LinkMeter {
    /** Begins an answer. */
    open(): MeteredAnswer;
    /** Milliseconds, in all, for which large answers were arriving, each at 1 Mbit/s or more. */
    getBusyMs(): number;
}

/**
 * Creates the meter of a link. An answer that is slower than the slowest rate counts only for the time that it would take
 * at that rate, so that a server cannot make calls wait by sending little.
 *
 * @example
 * const link = createLinkMeter();
 * const answer = link.open();
 * answer.addBytes(0);
 * answer.addBytes(100_000); // 100 ms later
 * link.getBusyMs(); // 100
 */
export function createLinkMeter(getNow: () => number = () => performance.now()): LinkMeter {
    let busyMs = 0;
    let busyUntil = 0;
    return {
        open: () => {
            let lastPieceAt: number | undefined;
            let receivedBytes = 0;
            let elapsedMs = 0;
            let countedMs = 0;
            return {
                addBytes: bytes => {
                    const now = getNow();
                    elapsedMs += now - Math.max(lastPieceAt ?? now, busyUntil);
                    lastPieceAt = now;
                    receivedBytes += bytes;
                    if (receivedBytes < largeAnswerBytes) {
                        return;
                    }
                    const uncountedMs = Math.min(elapsedMs, computeTransferMs(receivedBytes)) - countedMs;
                    busyMs += uncountedMs;
                    countedMs += uncountedMs;
                    busyUntil = now;
                },
            };
        },
        getBusyMs: () => busyMs,
    };
}
