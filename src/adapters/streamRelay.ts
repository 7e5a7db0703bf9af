/** Relays the stream of an engine to a caller. Checks that its events are in order, complete and for this request. */
import type * as http from "node:http";
import { createEventSplitter, type StreamSegment } from "../codec/eventSplitter";
import { decodeAnswer, type DecodedAnswer, doneMarker, isAnswerOf } from "../codec/openai";
import { decodeEvent, encodeEvent, type ServerSentEvent } from "../codec/sse";
import type { Event } from "../events";
import type { AttemptFailure, Usage } from "../requests";
import type { ListenerGuard } from "./listenerGuard";
import type { OpenRequest } from "./openRequests";
import { createPieceCounter } from "./pieceCounter";
import type { ResponseBuffers } from "./responseBuffers";
import { createStreamProgress } from "./streamProgress";

/** Progress is reported after this many generated tokens, so that they are settled while the stream is running. */
const minProgressTokens = 32;
/** Maximum length of a single event. */
const maxEventLength = 4 * 1024 * 1024;

export interface StreamRelayOptions {
    readonly openRequest: OpenRequest;
    readonly attempt: number;
    /** Wraps the listeners of the relay. */
    readonly guard: ListenerGuard;
    /** Hold events that have not arrived whole. */
    readonly buffers: ResponseBuffers;
    readonly post: (event: Event) => void;
}

export interface StreamRelay {
    /** Sets the engine's response to read: the original one, or that of a resumed stream. */
    connect(response: http.IncomingMessage): void;
    /** Starts to send events to the caller. Until then the response is not read. */
    startRelay(): void;
    /** Closes the response of the engine and posts no further event. */
    stop(): void;
    getLastEventId(): number;
    /** True while the engine's response waits for a slow caller, so that its silence means nothing. */
    isPaused(): boolean;
}

type EventCheck = "relay" | "drop" | "gap";

/** Creates the relay of one attempt. It is kept when the stream is resumed on another response of the same engine. */
export function createStreamRelay({ openRequest, attempt, guard, buffers, post }: StreamRelayOptions): StreamRelay {
    const { id: request, response: caller } = openRequest;
    let upstream: http.IncomingMessage | undefined;
    let lastEventId = 0;
    let usage: Usage | undefined;
    let isFinished = false;
    let hasFirstToken = false;
    let reportedTokens = 0;
    let isEnded = false;
    let isRelaying = false;
    let isWaitingForDrain = false;

    function closeWithFailure(failure: AttemptFailure): void {
        if (isEnded || !upstream) {
            return;
        }
        const failedResponse = upstream;
        upstream = undefined;
        failedResponse.destroy();
        post({ kind: "attemptFailed", request, attempt, failure, lastEventId });
    }

    /**
     * Checks the id of an event against the last relayed one. Ids are consecutive from 1; an engine that does not
     * number its events sends no ids.
     */
    function checkEventId(id: string | undefined): EventCheck {
        if (id === undefined) {
            return lastEventId === 0 ? "relay" : "gap";
        }
        const number = Number(id);
        if (number <= lastEventId) {
            return "drop";
        }
        return number === lastEventId + 1 ? "relay" : "gap";
    }

    function recordAnswer(answer: DecodedAnswer): void {
        usage = answer.usage ?? usage;
        isFinished ||= answer.isFinished;
        if (answer.hasChoices && !hasFirstToken) {
            hasFirstToken = true;
            post({ kind: "attemptFirstToken", request, attempt, ...(answer.usage ? { usage: answer.usage } : {}) });
        }
        const generatedTokens = usage?.completionTokens ?? 0;
        if (generatedTokens - reportedTokens >= minProgressTokens) {
            post({ kind: "attemptProgressed", request, attempt, tokens: generatedTokens - reportedTokens });
            reportedTokens = generatedTokens;
        }
    }

    function encodeForCaller(event: ServerSentEvent, answer: DecodedAnswer): string | undefined {
        const wantsUsage = openRequest.completion?.includeUsage ?? false;
        if (!answer.hasChoices && !wantsUsage) {
            return undefined;
        }
        const { usage: _usage, ...rest } = answer.body;
        const body = {
            ...rest,
            model: openRequest.routeName,
            ...(wantsUsage ? { usage: answer.body["usage"] ?? null } : {}),
        };
        return encodeEvent({ id: event.id, event: undefined, data: JSON.stringify(body) });
    }

    function writeToCaller(text: string): void {
        const source = upstream;
        if (!caller.write(text) && source && !isWaitingForDrain) {
            // Backpressure: the engine's socket is paused, so that a slow caller delays only its own stream.
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

    function handleDone(event: ServerSentEvent): void {
        if (!isFinished) {
            closeWithFailure("broken_stream");
            return;
        }
        isEnded = true;
        upstream = undefined;
        caller.end(encodeEvent(event));
        post({ kind: "attemptFinished", request, attempt, ...(usage ? { usage } : {}) });
    }

    /** Handles an event; returns false when it is not for the caller. */
    function handleEvent(event: ServerSentEvent): boolean {
        if (event.event === "error") {
            closeWithFailure("broken_stream");
            return true;
        }
        const answer = event.data === doneMarker ? undefined : decodeAnswer(event.data);
        if (answer && !isAnswerOf(answer.id, request)) {
            return false;
        }
        const check = checkEventId(event.id);
        if (check === "drop") {
            return false;
        }
        if (check === "gap" || (!answer && event.data !== doneMarker)) {
            closeWithFailure("broken_stream");
            return true;
        }
        if (event.id !== undefined) {
            lastEventId = Number(event.id);
        }
        if (!answer) {
            handleDone(event);
            return true;
        }
        recordAnswer(answer);
        const text = encodeForCaller(event, answer);
        if (text !== undefined) {
            writeToCaller(text);
        }
        return true;
    }

    function readUpstream(source: http.IncomingMessage): void {
        const splitter = createEventSplitter({ openHeldBytes: () => buffers.open() });
        // The response closes when it has ended, and when the relay gives it up.
        source.on("close", guard(splitter.release));
        const pieces = createPieceCounter();
        const progress = createStreamProgress();
        const handleSegment = (segment: StreamSegment): void => {
            const event = segment.isEvent ? decodeEvent(segment) : undefined;
            if (!event) {
                progress.addComment(segment.bytes.length);
            }
            else if (handleEvent(event)) {
                progress.addEvent();
            }
            else {
                progress.addUnusedEvent(segment.bytes.length);
            }
        };
        const isTooLong = (): boolean =>
            splitter.hasOverflowed || splitter.heldLength > maxEventLength || progress.isExceeded;
        const handleData = (chunk: Buffer): void => {
            if (source !== upstream) {
                return;
            }
            const isWithinPieces = pieces.add(chunk);
            for (const segment of splitter.add(chunk)) {
                if (source === upstream) {
                    handleSegment(segment);
                }
            }
            if (source === upstream && (!isWithinPieces || isTooLong())) {
                closeWithFailure("broken_stream");
            }
        };
        const handleEnd = guard(() => {
            if (source === upstream) {
                closeWithFailure("broken_stream");
            }
        });
        source.on("data", guard(handleData));
        source.on("end", handleEnd);
        source.on("error", handleEnd);
        source.on("close", handleEnd);
        if (source.destroyed) {
            handleEnd();
        }
    }

    return {
        connect: response => {
            upstream = response;
            if (isRelaying) {
                readUpstream(response);
            }
        },
        startRelay: () => {
            if (isRelaying || !upstream) {
                return;
            }
            isRelaying = true;
            caller.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                "x-request-id": request,
            });
            caller.flushHeaders();
            readUpstream(upstream);
        },
        stop: () => {
            isEnded = true;
            upstream?.destroy();
            upstream = undefined;
        },
        getLastEventId: () => lastEventId,
        isPaused: () => upstream?.isPaused() ?? false,
    };
}
