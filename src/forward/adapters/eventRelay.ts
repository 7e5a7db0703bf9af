/** Relays the events of a stream to a caller; checks that their ids are consecutive and that the stream is complete. */
import type * as http from "node:http";
import type { ListenerGuard } from "../../adapters/listenerGuard";
import { createPieceCounter } from "../../adapters/pieceCounter";
import { createResponseEnd, type ResponseEnd } from "../../adapters/responseFraming";
import { createStreamProgress } from "../../adapters/streamProgress";
import { createEventSplitter, type HeldBytes, type StreamSegment } from "../../codec/eventSplitter";
import type { AttemptFault } from "../calls";

export interface EventRelayOptions {
    readonly source: http.IncomingMessage;
    /** End of the source; the default follows it from now on. */
    readonly end?: ResponseEnd;
    readonly caller: http.ServerResponse;
    /** Wraps the listeners of the relay; the default contains no errors. */
    readonly guard?: ListenerGuard;
    /** Id of the last event that the caller has; undefined when it has none. */
    readonly lastEventId: number | undefined;
    /** Finds out whether the target that ended a response without framing still runs; undefined if it does. */
    readonly findEndFault: () => Promise<AttemptFault | undefined>;
    /** Creates the store of an event that has not arrived whole; the default has no bound. */
    readonly openHeldBytes?: () => HeldBytes;
    /** Called before the first bytes are written to the caller, or before the end of an empty stream. */
    readonly onFirstWrite?: () => void;
    readonly onFirstEvent: () => void;
    readonly onFinished: () => void;
    readonly onFailed: (fault: AttemptFault) => void;
}

export interface EventRelay {
    start(): void;
    stop(): void;
    /** True once the target has ended its response; the relay finishes or fails without further data. */
    hasSourceEnded(): boolean;
    /** Id of the last event that the caller has; 0 when it has none. */
    getLastEventId(): number;
}

/** Maximum size of one event; a longer one fails the attempt. */
const maxEventBytes = 1024 * 1024;

const isBlankOrComment = (line: string): boolean => line.trim() === "" || line.startsWith(":");

/** True when the bytes after the last event hold whole comments and line ends only; otherwise the stream ended inside one. */
function isBlank(bytes: Buffer): boolean {
    const lines = bytes.toString("latin1").split("\n");
    return lines.pop()?.trim() === "" && lines.every(isBlankOrComment);
}

/** Creates the relay of one attempt. */
export function createEventRelay(options: EventRelayOptions): EventRelay {
    const { source, caller, findEndFault, onFirstEvent, onFinished, onFailed } = options;
    const { onFirstWrite = () => undefined } = options;
    const { end = createResponseEnd("GET", source), guard = listener => listener } = options;
    const { openHeldBytes } = options;
    const splitter = createEventSplitter(openHeldBytes ? { openHeldBytes } : {});
    const pieces = createPieceCounter();
    const progress = createStreamProgress();
    let { lastEventId } = options;
    let hasRelayedEvent = false;
    let isOver = false;
    let hasEnded = false;
    /** Bytes of one chunk that the caller gets in one write. */
    let unwritten: Buffer | undefined;
    /** Bytes after the last event, once the target has ended its response. */
    let remainder: Buffer = Buffer.alloc(0);
    let isWaitingForDrain = false;

    function endWithFault(fault: AttemptFault): void {
        if (!isOver) {
            writeToCaller();
            isOver = true;
            splitter.release();
            source.destroy();
            onFailed(fault);
        }
    }

    /** Writes what has been relayed of the chunk. */
    function writeToCaller(): void {
        const bytes = unwritten;
        unwritten = undefined;
        // The caller may have disconnected since the last tick; a write would raise an error.
        if (!bytes || caller.destroyed) {
            return;
        }
        if (!caller.write(bytes) && !isWaitingForDrain) {
            // Backpressure: pauses the target's socket, so that a slow caller slows only its own stream.
            isWaitingForDrain = true;
            source.pause();
            caller.once(
                "drain",
                guard(() => {
                    isWaitingForDrain = false;
                    source.resume();
                }),
            );
        }
    }

    function relayBytes(bytes: Buffer): void {
        const isNext = unwritten?.buffer === bytes.buffer
            && unwritten.byteOffset + unwritten.length === bytes.byteOffset;
        if (unwritten && isNext) {
            unwritten = Buffer.from(unwritten.buffer, unwritten.byteOffset, unwritten.length + bytes.length);
            return;
        }
        writeToCaller();
        unwritten = bytes;
    }

    function handleSegment({ bytes, id, isEvent }: StreamSegment): void {
        const isKnown = id !== undefined && lastEventId !== undefined && id <= lastEventId;
        if (isKnown) {
            progress.addUnusedEvent(bytes.length);
            return;
        }
        if (isEvent) {
            progress.addEvent();
        }
        else {
            progress.addComment(bytes.length);
        }
        if (id !== undefined && lastEventId !== undefined && id !== lastEventId + 1) {
            endWithFault("mismatched");
            return;
        }
        lastEventId = id ?? lastEventId;
        if (isEvent && !hasRelayedEvent) {
            hasRelayedEvent = true;
            onFirstWrite();
            onFirstEvent();
        }
        relayBytes(bytes);
    }

    function handleSourceEnd(): void {
        if (isOver) {
            return;
        }
        remainder = splitter.takeRemainder();
        // Without framing, a target that crashes before its first event ends its stream like one that has sent all. This
        // holds for a resumed stream as well: its caller may lack events.
        const isEmpty = end.framing === "connection" && !hasRelayedEvent;
        if (!end.isComplete() || isEmpty || !isBlank(remainder)) {
            endWithFault("cut_short");
            return;
        }
        hasEnded = true;
        if (end.framing !== "connection") {
            endCaller();
            return;
        }
        // The caller has all events already; only the end of its response waits.
        const handleEndFault = (fault: AttemptFault | undefined): void => {
            if (fault) {
                endWithFault(fault);
            }
            else if (!isOver) {
                endCaller();
            }
        };
        const handleError = (): void => {
            endWithFault("end_unconfirmed");
        };
        findEndFault().then(guard(handleEndFault), guard(handleError));
    }

    function endCaller(): void {
        if (!hasRelayedEvent) {
            onFirstWrite();
        }
        isOver = true;
        caller.end(remainder.length > 0 ? remainder : undefined);
        onFinished();
    }

    function isTooLong(): boolean {
        return splitter.hasOverflowed
            || splitter.heldLength > maxEventBytes
            || progress.isExceeded;
    }

    function handleData(chunk: Buffer): void {
        if (isOver) {
            return;
        }
        const isWithinPieces = pieces.add(chunk);
        for (const segment of splitter.add(chunk)) {
            if (!isOver) {
                handleSegment(segment);
            }
        }
        writeToCaller();
        if (!isWithinPieces || isTooLong()) {
            endWithFault("too_long");
        }
    }

    const handleBreak = guard(() => {
        if (!hasEnded) {
            endWithFault("cut_short");
        }
    });

    return {
        start: () => {
            source.on("data", guard(handleData));
            source.on("end", guard(handleSourceEnd));
            source.on("error", handleBreak);
            source.on("close", handleBreak);
            if (source.destroyed) {
                endWithFault("cut_short");
            }
        },
        stop: () => {
            isOver = true;
            splitter.release();
            source.destroy();
        },
        hasSourceEnded: () => hasEnded,
        getLastEventId: () => lastEventId ?? 0,
    };
}
