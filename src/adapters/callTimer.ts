/** Ends a call whose answer does not come, or stops coming. */
import { computeCallDeadline } from "../policy/callTiming";
import type { LinkMeter } from "./linkMeter";

export interface CallTimerOptions {
    readonly timeoutMs: number;
    /** The default is `timeoutMs`. */
    readonly silenceMs?: number;
    readonly body?: string;
    readonly link?: LinkMeter;
    readonly onTimeout: () => void;
}

export interface CallTimer {
    /** Records a piece of the answer; the head counts as one of 0 bytes. */
    addBytes(bytes: number): void;
    end(): void;
}

/**
 * Starts the time limit of a call. The limit is checked when it may have passed, instead of being set anew by each piece.
 *
 * @example
 * const timer = startCallTimer({ timeoutMs: 900, onTimeout: () => request.destroy() });
 * timer.addBytes(0);
 */
export function startCallTimer(
    { timeoutMs, silenceMs = timeoutMs, body = "", link, onTimeout }: CallTimerOptions,
): CallTimer {
    const timing = { timeoutMs, silenceMs, sentBytes: Buffer.byteLength(body) };
    const sentAt = performance.now();
    const busyMsBefore = link?.getBusyMs() ?? 0;
    const answer = link?.open();
    /** Set when the head arrives. From then on the answer itself may occupy the link. */
    let busyMsBeforeHead: number | undefined;
    let lastReceivedAt: number | undefined;
    let receivedBytes = 0;

    const measureBusyMs = (): number => (link?.getBusyMs() ?? 0) - busyMsBefore;

    function checkDeadline(): void {
        const linkBusyMs = busyMsBeforeHead ?? measureBusyMs();
        const deadline = computeCallDeadline(timing, { sentAt, lastReceivedAt, receivedBytes, linkBusyMs });
        const leftMs = deadline - performance.now();
        if (leftMs <= 0) {
            onTimeout();
            return;
        }
        timer = setTimeout(checkDeadline, leftMs);
    }

    let timer = setTimeout(checkDeadline, timeoutMs);
    return {
        addBytes: bytes => {
            const isHead = lastReceivedAt === undefined;
            lastReceivedAt = performance.now();
            receivedBytes += bytes;
            answer?.addBytes(bytes);
            if (isHead) {
                busyMsBeforeHead = measureBusyMs();
                clearTimeout(timer);
                timer = setTimeout(checkDeadline, silenceMs);
            }
        },
        end: () => {
            clearTimeout(timer);
        },
    };
}
