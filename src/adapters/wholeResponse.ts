/** Reads a response of a target to its end, in both modes. */
import type * as http from "node:http";
import { type AnswerRoom, maxSmallAnswerBytes } from "./answerRoom";
import { createBodyCollector } from "./bodyCollector";
import type { ListenerState } from "./listenerCheck";
import type { ListenerGuard } from "./listenerGuard";
import type { ResponseBuffers } from "./responseBuffers";
import type { ResponseEnd } from "./responseFraming";

export type ReadFault =
    /** It is longer, or in more pieces, than allowed, or was discarded to make room for others. */
    | "too_long"
    /** Its connection ended before it was complete. */
    | "interrupted"
    /** Its target ended the connection and does not listen any more. */
    | "target_ended"
    /** Its target ended the connection, and whether it still listens is not known. */
    | "end_unconfirmed";

/** Faults of a response without framing, by what its target does after it ended. */
export const endFaults: { readonly [State in ListenerState]: "target_ended" | "end_unconfirmed" | undefined; } = {
    listening: undefined,
    refused: "target_ended",
    unknown: "end_unconfirmed",
};

/** Room for an answer that does not announce its length. */
const unannouncedBytes = 4 * 1024 * 1024;

export interface WholeResponseOptions {
    readonly response: http.IncomingMessage;
    readonly end: ResponseEnd;
    readonly guard: ListenerGuard;
    readonly buffers: ResponseBuffers;
    /** Response to the caller, and the room that a large answer needs; the default is no bound. */
    readonly room?: { readonly answers: AnswerRoom; readonly caller: http.ServerResponse; } | undefined;
    /**
     * Checks whether the target of a response that its connection ended still listens: the system of a target that
     * crashes closes its connections in the orderly way, too. Undefined when the end is certain in another way.
     */
    readonly checkEnd: (() => Promise<ListenerState>) | undefined;
    readonly onWhole: (body: Buffer) => void;
    /** May be called more than once; the first fault counts. */
    readonly onFailed: (fault: ReadFault) => void;
}

/**
 * Reads the body of a response. Either `onWhole` or `onFailed` is called.
 *
 * @example
 * readWholeResponse({ response, end, guard, buffers, checkEnd: undefined, onWhole: relayBody, onFailed: postFailure });
 */
export function readWholeResponse(options: WholeResponseOptions): void {
    const { response, end, guard, buffers, room, checkEnd, onWhole, onFailed } = options;
    const handleTooLong = guard(() => {
        onFailed("too_long");
        response.destroy();
    });
    const collector = createBodyCollector(buffers, { onDiscarded: handleTooLong });
    let hasEnded = false;
    let hasAskedForRoom = false;
    let receivedBytes = 0;
    /** Stops reading until there is room, so that the target waits. */
    const acquireRoom = (bytes: number): void => {
        if (!room || hasAskedForRoom || bytes <= maxSmallAnswerBytes) {
            return;
        }
        hasAskedForRoom = true;
        const handleGranted = guard(() => response.resume());
        if (!room.answers.acquire({ bytes, caller: room.caller, onGranted: handleGranted })) {
            response.pause();
        }
    };
    const handleData = (chunk: Buffer): void => {
        receivedBytes += chunk.length;
        if (!response.destroyed && !collector.add(chunk)) {
            handleTooLong();
            return;
        }
        if (receivedBytes > maxSmallAnswerBytes) {
            acquireRoom(unannouncedBytes);
        }
    };
    const handleEnd = (): void => {
        if (!end.isComplete()) {
            return;
        }
        hasEnded = true;
        const body = collector.take();
        if (end.framing !== "connection" || !checkEnd) {
            onWhole(body);
            return;
        }
        const handleListenerState = (state: ListenerState): void => {
            const fault = endFaults[state];
            if (fault) {
                onFailed(fault);
            }
            else {
                onWhole(body);
            }
        };
        const handleCheckError = (): void => {
            onFailed("end_unconfirmed");
        };
        checkEnd().then(guard(handleListenerState), guard(handleCheckError));
    };
    const handleError = (): void => {
        onFailed("interrupted");
    };
    const handleClose = (): void => {
        collector.release();
        // A response can be parsed to its end and destroyed before its last bytes are read.
        if (!hasEnded) {
            onFailed("interrupted");
        }
    };
    response.on("data", guard(handleData));
    response.on("end", guard(handleEnd));
    response.on("error", guard(handleError));
    response.on("close", guard(handleClose));
    acquireRoom(Number(response.headers["content-length"] ?? 0));
}
