/** Bounds the large answers that a process holds whole, from their first byte until their callers have taken them. */
import type * as http from "node:http";
import type { FailureReporter } from "../runner";
import { createListenerGuard } from "./listenerGuard";

export interface AnswerRoom {
    /**
     * Asks for room for an answer of a target. Returns true if there is room at once; otherwise `onGranted` is called
     * later, and until then the answer must not be read. The room is released when the caller's response closes.
     */
    acquire(answer: AnswerRequest): boolean;
}

export interface AnswerRequest {
    readonly bytes: number;
    readonly caller: http.ServerResponse;
    readonly onGranted: () => void;
}

/** Answers up to this size need no room: the bound of connections is one for them as well. */
export const maxSmallAnswerBytes = 64 * 1024;

/** Interval at which callers are looked for that keep others waiting. */
const checkMs = 250;
/** Time without progress after which a caller that keeps others waiting loses its answer. */
const staleMs = 1000;

export interface AnswerRoomOptions {
    readonly maxTotalBytes: number;
    readonly reportFailure?: FailureReporter;
}

/**
 * Creates the room of a process. One answer is granted whatever its size; the others wait, so that their targets wait,
 * too. While an answer waits, callers without progress for a second are closed.
 *
 * @example
 * const hasRoom = createAnswerRoom({ maxTotalBytes }).acquire({ bytes, caller, onGranted: () => source.resume() });
 */
export function createAnswerRoom({ maxTotalBytes, reportFailure }: AnswerRoomOptions): AnswerRoom {
    const granted = new Map<http.ServerResponse, AnswerRequest>();
    const waiting = new Map<http.ServerResponse, AnswerRequest>();
    const watched = new WeakSet<http.ServerResponse>();
    const guard = createListenerGuard({ part: "answerRoom", end: () => undefined, reportFailure });
    let grantedBytes = 0;
    let isChecking = false;

    function hasRoomFor({ bytes }: AnswerRequest): boolean {
        return granted.size === 0 || grantedBytes + bytes <= maxTotalBytes;
    }

    function addGranted(answer: AnswerRequest): void {
        granted.set(answer.caller, answer);
        grantedBytes += answer.bytes;
    }

    function release(caller: http.ServerResponse): void {
        waiting.delete(caller);
        grantedBytes -= granted.get(caller)?.bytes ?? 0;
        granted.delete(caller);
        for (const next of waiting.values()) {
            if (!hasRoomFor(next)) {
                return;
            }
            waiting.delete(next.caller);
            addGranted(next);
            guard(next.onGranted)();
        }
    }

    function subscribeToClose(caller: http.ServerResponse): void {
        const handleClose = (): void => {
            release(caller);
        };
        caller.once("close", guard(handleClose));
    }

    /** Shortens the time without progress for callers that have their whole answer to take. */
    function updateTimeouts(): void {
        for (const caller of granted.keys()) {
            if (caller.writableEnded && !watched.has(caller)) {
                watched.add(caller);
                caller.socket?.setTimeout(staleMs);
            }
        }
    }

    function scheduleCheck(): void {
        if (isChecking || waiting.size === 0) {
            return;
        }
        isChecking = true;
        setTimeout(() => {
            isChecking = false;
            guard(updateTimeouts)();
            scheduleCheck();
        }, checkMs).unref();
    }

    return {
        acquire: answer => {
            const { caller } = answer;
            // A second attempt of a request uses the room of the first one.
            const isHeld = granted.has(caller);
            if (!isHeld && !waiting.has(caller)) {
                subscribeToClose(caller);
            }
            if (isHeld) {
                return true;
            }
            if (waiting.size === 0 && hasRoomFor(answer)) {
                addGranted(answer);
                return true;
            }
            waiting.set(caller, answer);
            scheduleCheck();
            return false;
        },
    };
}
