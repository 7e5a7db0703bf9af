/** Relays the events of a stream to a caller; checks that they are consecutive and whole. */
import type * as http from "node:http";
import type { AttemptFault } from "../calls";
import { createEventCutter, type RawEvent } from "../codec/eventStream";
import { hasFraming, isWholeAnswer } from "./answerEnd";

export interface EventRelayOptions {
    readonly source: http.IncomingMessage;
    readonly caller: http.ServerResponse;
    /** Number of the last event that the caller has; undefined when it has none. */
    readonly lastEventId: number | undefined;
    readonly onFirstEvent: () => void;
    readonly onFinished: () => void;
    readonly onFailed: (fault: AttemptFault) => void;
}

export interface EventRelay {
    start(): void;
    stop(): void;
    /** Number of the last event that the caller has; 0 when it has none. */
    getLastEventId(): number;
}

/** Creates the relay of one attempt. */
export function createEventRelay(options: EventRelayOptions): EventRelay {
    const { source, caller, onFirstEvent, onFinished, onFailed } = options;
    const cutter = createEventCutter();
    let { lastEventId } = options;
    let hasFirst = false;
    let isOver = false;

    function closeFailed(fault: AttemptFault): void {
        if (!isOver) {
            isOver = true;
            source.destroy();
            onFailed(fault);
        }
    }

    function writeToCaller(bytes: Buffer): void {
        // The caller may have left since the last tick; a write would raise an error.
        if (caller.destroyed) {
            return;
        }
        if (!caller.write(bytes)) {
            // Pausing the target's socket makes a slow reader slow only its own stream.
            source.pause();
            caller.once("drain", () => source.resume());
        }
    }

    function handleEvent({ bytes, id }: RawEvent): void {
        if (id !== undefined && lastEventId !== undefined && id <= lastEventId) {
            return;
        }
        if (id !== undefined && lastEventId !== undefined && id !== lastEventId + 1) {
            closeFailed("mismatched");
            return;
        }
        lastEventId = id ?? lastEventId;
        if (!hasFirst) {
            hasFirst = true;
            onFirstEvent();
        }
        writeToCaller(bytes);
    }

    function closeFinished(): void {
        if (isOver) {
            return;
        }
        // A caller that was promised an explicit end must not get one for a source that has none.
        if (!isWholeAnswer(source) || (caller.useChunkedEncodingByDefault && !hasFraming(source))) {
            closeFailed("cut_short");
            return;
        }
        isOver = true;
        const rest = cutter.getRest();
        caller.end(rest.length > 0 ? rest : undefined);
        onFinished();
    }

    return {
        start: () => {
            source.on("data", (chunk: Buffer) => {
                for (const event of cutter.add(chunk)) {
                    if (!isOver) {
                        handleEvent(event);
                    }
                }
            });
            source.on("end", closeFinished);
            source.on("error", () => {
                closeFailed("cut_short");
            });
            source.on("close", () => {
                closeFailed("cut_short");
            });
            if (source.destroyed) {
                closeFailed("cut_short");
            }
        },
        stop: () => {
            isOver = true;
            source.destroy();
        },
        getLastEventId: () => lastEventId ?? 0,
    };
}
