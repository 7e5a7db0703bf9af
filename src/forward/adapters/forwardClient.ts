/** Sends requests to targets, buffers plain responses and relays event streams. */
import * as http from "node:http";
import { type AnsweredUploads, createAnsweredUploads } from "../../adapters/answeredUploads";
import type { AnswerRoom } from "../../adapters/answerRoom";
import type { CheckedEnd } from "../../adapters/checkedEnds";
import { applyHeadLimit } from "../../adapters/headLimit";
import { isConnectionRefused, parseAddress, subscribeToFirstWrite } from "../../adapters/httpClient";
import { createListenerCheck, type ListenerCheck, type ListenerState } from "../../adapters/listenerCheck";
import { createListenerGuard, handleUnreportedFailure, type ListenerGuard } from "../../adapters/listenerGuard";
import { createResponseBuffers } from "../../adapters/responseBuffers";
import { endBodilessResponse, followResponseEnd } from "../../adapters/responseFraming";
import { isValidHead } from "../../adapters/responseHead";
import { endFaults, type ReadFault, readWholeResponse } from "../../adapters/wholeResponse";
import type { RequestId, TargetId } from "../../ids";
import type { FailureReporter } from "../../runner";
import type { AttemptFault, ForwardCall, HeaderCodec, ResponseHeaderFields } from "../calls";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import { createEventRelay, type EventRelay } from "./eventRelay";
import type { OpenForwardRequest, OpenForwardRequests } from "./openForwardRequests";
import { type BufferedResponse, createResponseWriter } from "./responseWriter";
import { createTargetAgents } from "./targetAgents";

/** An attempt fails when its target accepts no connection within this time. */
const connectTimeoutMs = 400;
/** Maximum size of a plain response, which is buffered whole; a longer one fails the attempt. */
const maxResponseBytes = 16 * 1024 * 1024;
/** Maximum size of all plain responses that are being read. */
const maxBufferedBytes = 32 * 1024 * 1024;
/** Informational responses (status 1xx) that a target may send before its response. */
const maxInformationalResponses = 16;

export interface ForwardClientOptions {
    readonly codec: HeaderCodec;
    readonly post: (event: ForwardEvent) => void;
    readonly openRequests: OpenForwardRequests;
    /** Room for large answers; the default is no bound. */
    readonly answers?: AnswerRoom;
    /** Uploads that targets have answered; the default is no bound in bytes. */
    readonly uploads?: AnsweredUploads;
    /** True when responses must carry `Connection: close`. */
    readonly isClosing: () => boolean;
    /** Finds out whether a target still runs that has ended a response without framing. */
    readonly checkListener?: ListenerCheck;
    /** Called for each response without framing whose end was checked. */
    readonly onEndChecked?: (end: CheckedEnd) => void;
    readonly reportFailure?: FailureReporter;
}

export interface ForwardClient {
    send(effect: ForwardEffectOf<"sendRequest">): void;
    relay(effect: ForwardEffectOf<"relayAnswer">): void;
    cancel(effect: ForwardEffectOf<"cancelAttempt">): void;
    move(effect: ForwardEffectOf<"moveAttempt">): void;
    release(request: RequestId): void;
    closeTarget(target: TargetId): void;
    close(): void;
}

interface RunningAttempt {
    readonly attempt: number;
    readonly request: http.ClientRequest;
    /** Ends the attempt when one of its listeners fails. */
    readonly guard: ListenerGuard;
    bufferedResponse: BufferedResponse | undefined;
    stream: EventRelay | undefined;
    isOver: boolean;
}

const bodylessMethods = new Set(["GET", "HEAD", "OPTIONS"]);

const isEventStream = (targetResponse: http.IncomingMessage): boolean =>
    targetResponse.statusCode === 200 && (targetResponse.headers["content-type"] ?? "").startsWith("text/event-stream");

/** Faults of attempts, by those of reading their responses. */
const attemptFaults: { readonly [Fault in ReadFault]: AttemptFault; } = {
    too_long: "too_long",
    interrupted: "cut_short",
    target_ended: "target_ended",
    end_unconfirmed: "end_unconfirmed",
};

/** Responses with these statuses count for their bodies; those of others do without a check of their end. */
const isSuccess = ({ statusCode = 0 }: http.IncomingMessage): boolean => statusCode < 300;

/**
 * True when the connection can be used for another request: a second copy of the response could not be taken for the
 * answer to it, and the response is not itself the answer to another attempt, after which the own answer still comes.
 */
const isKeepable = ({ attemptId, isMisdirected, isNotRun }: ResponseHeaderFields, ownAttemptId: string): boolean =>
    attemptId === ownAttemptId && !isNotRun && !isMisdirected;

/** Creates the client for all targets of a process. */
export function createForwardClient(options: ForwardClientOptions): ForwardClient {
    const { codec, post, openRequests, answers, isClosing, reportFailure = handleUnreportedFailure } = options;
    const { checkListener = createListenerCheck(), onEndChecked = () => undefined } = options;
    const { uploads = createAnsweredUploads() } = options;
    const agents = createTargetAgents();
    const attempts = new Map<RequestId, RunningAttempt>();
    const responseWriter = createResponseWriter({ codec, isClosing, reportFailure });
    const responseBuffers = createResponseBuffers({ maxBytes: maxResponseBytes, maxTotalBytes: maxBufferedBytes });

    function postFailure(id: RequestId, running: RunningAttempt, fault: AttemptFault): void {
        if (!running.isOver && attempts.get(id) === running) {
            running.isOver = true;
            const lastEventId = running.stream?.getLastEventId() ?? 0;
            post({ kind: "attemptFailed", request: id, attempt: running.attempt, fault, lastEventId });
        }
    }

    function postResponse(
        id: RequestId,
        running: RunningAttempt,
        targetResponse: http.IncomingMessage,
        isOpenStream: boolean,
    ): void {
        const status = targetResponse.statusCode ?? 0;
        post({
            kind: "attemptAnswered",
            request: id,
            attempt: running.attempt,
            status,
            headerFields: codec.decodeResponse(status, targetResponse.headers),
            isOpenStream,
        });
    }

    function recordBufferedResponse(id: RequestId, running: RunningAttempt, response: BufferedResponse): void {
        if (!running.isOver && attempts.get(id) === running) {
            // Posted first: if it fails, the attempt is still open and can be reported as failed.
            postResponse(id, running, response.targetResponse, false);
            running.isOver = true;
            running.bufferedResponse = response;
        }
    }

    /** Finds out whether the target still runs that has ended a response without framing. */
    async function checkEnd(id: RequestId, { target, address }: ForwardCall): Promise<ListenerState> {
        const startedAt = performance.now();
        const state = await checkListener(address);
        onEndChecked({ request: id, target, state, waitedMs: Math.round(performance.now() - startedAt) });
        return state;
    }

    function handleResponse(
        openRequest: OpenForwardRequest,
        running: RunningAttempt,
        call: ForwardCall,
        targetResponse: http.IncomingMessage,
    ): void {
        const { id, method } = openRequest;
        const end = followResponseEnd(method, targetResponse);
        if (end.framing === "head") {
            // Closing the connection of a response that announces a body raises an error, which ends nothing.
            targetResponse.on("error", () => undefined);
            recordBufferedResponse(id, running, { targetResponse, framing: "head", body: Buffer.alloc(0) });
            endBodilessResponse(targetResponse);
            return;
        }
        if (!isEventStream(targetResponse)) {
            readWholeResponse({
                response: targetResponse,
                end,
                guard: running.guard,
                buffers: responseBuffers,
                room: answers && { answers, caller: openRequest.response },
                checkEnd: isSuccess(targetResponse) ? () => checkEnd(id, call) : undefined,
                onWhole: body => {
                    recordBufferedResponse(id, running, { targetResponse, framing: end.framing, body });
                },
                onFailed: fault => {
                    postFailure(id, running, attemptFaults[fault]);
                },
            });
            return;
        }
        const relay = createEventRelay({
            source: targetResponse,
            end,
            guard: running.guard,
            caller: openRequest.response,
            lastEventId: call.resumeAfterEventId,
            findEndFault: async () => endFaults[await checkEnd(id, call)],
            openHeldBytes: () =>
                responseBuffers.open(running.guard(() => {
                    postFailure(id, running, "too_long");
                    targetResponse.destroy();
                })),
            // Until the first event an answer with a true verdict is possible, so the head waits for it.
            onFirstWrite: () => {
                // The end of a stream is checked, so it can be told to the caller in chunks, however the target frames it.
                // Then the caller can also tell when this process is killed.
                if (!openRequest.response.headersSent) {
                    responseWriter.writeHead(openRequest, { targetResponse, framing: "chunks" }, []);
                }
            },
            onFirstEvent: () => {
                post({ kind: "attemptFirstEvent", request: id, attempt: running.attempt });
            },
            onFinished: () => {
                running.isOver = true;
                post({ kind: "attemptFinished", request: id, attempt: running.attempt });
            },
            onFailed: fault => {
                postFailure(id, running, fault);
            },
        });
        running.stream = relay;
        postResponse(id, running, targetResponse, true);
    }

    function startAttempt(openRequest: OpenForwardRequest, attempt: number, call: ForwardCall): RunningAttempt {
        const { id, body, method, path } = openRequest;
        const hasBody = body.length > 0 || !bodylessMethods.has(method);
        const headers = codec.encodeRequest(openRequest.rawHeaders, call);
        const request = http.request({
            ...parseAddress(call.address),
            method,
            path,
            headers: (hasBody ? [...headers, "Content-Length", String(body.length)] : headers) as never,
            agent: agents.get(call.target),
            setHost: false,
        });
        uploads.follow(request, { bodyBytes: body.length, timeLeftMs: call.timeLeftMs, target: call.target });
        const guard = createListenerGuard({
            part: "forwardClient",
            fields: { request: id, attempt, target: call.target },
            end: () => {
                postFailure(id, running, "malformed");
                request.destroy();
            },
            reportFailure,
        });
        const running: RunningAttempt = {
            attempt,
            request,
            guard,
            bufferedResponse: undefined,
            stream: undefined,
            isOver: false,
        };
        let mayHaveBeenSent = false;
        let informationalResponses = 0;
        const connectTimer = setTimeout(() => {
            request.destroy();
        }, connectTimeoutMs);

        function handleFirstWrite(): void {
            mayHaveBeenSent = true;
            clearTimeout(connectTimer);
            post({ kind: "attemptWriteStarted", request: id, attempt });
            request.socket?.setNoDelay(true);
        }

        function handleError(error: NodeJS.ErrnoException): void {
            clearTimeout(connectTimer);
            const connectFault = isConnectionRefused(error) ? "connection_refused" : "connect";
            postFailure(id, running, mayHaveBeenSent ? "closed" : connectFault);
        }

        function handleInformation(): void {
            informationalResponses += 1;
            if (informationalResponses > maxInformationalResponses) {
                handleTooLong();
            }
        }

        function handleSilence(targetResponse: http.IncomingMessage): void {
            // A response that is paused for a slow caller is not read, so that its target cannot be heard.
            if (running.isOver || targetResponse.isPaused()) {
                return;
            }
            post({ kind: "attemptSilent", request: id, attempt });
            const handleContinuation = (): void => {
                if (!running.isOver) {
                    post({ kind: "attemptContinued", request: id, attempt });
                }
            };
            targetResponse.once("data", guard(handleContinuation));
        }

        function handleHead(targetResponse: http.IncomingMessage): void {
            // A faulty target may write the response once more. Only the id of an answered attempt tells such a copy from
            // the answer to the next request, so the connection is kept only after a response that is no refusal (which
            // may be followed by the same attempt) and names its attempt.
            const headerFields = codec.decodeResponse(targetResponse.statusCode ?? 0, targetResponse.headers);
            if (!isKeepable(headerFields, openRequest.attemptId)) {
                request.shouldKeepAlive = false;
            }
            if (attempts.get(id) !== running) {
                targetResponse.destroy();
                return;
            }
            if (!isValidHead(openRequest.method, targetResponse)) {
                postFailure(id, running, "malformed");
                request.destroy();
                return;
            }
            if (call.idleTimeoutMs !== undefined) {
                request.on(
                    "timeout",
                    guard(() => {
                        handleSilence(targetResponse);
                    }),
                );
                request.setTimeout(call.idleTimeoutMs);
            }
            handleResponse(openRequest, running, call, targetResponse);
        }

        function handleTooLong(): void {
            postFailure(id, running, "too_long");
            request.destroy();
        }

        applyHeadLimit(request, { guard, onTooLong: handleTooLong });
        subscribeToFirstWrite(request, guard(handleFirstWrite));
        request.on("error", guard(handleError));
        request.on("information", guard(handleInformation));
        request.on("response", guard(handleHead));
        request.end(hasBody ? body : undefined);
        return running;
    }

    function closeAttempt(id: RequestId): void {
        const running = attempts.get(id);
        attempts.delete(id);
        if (running && !running.bufferedResponse) {
            running.isOver = true;
            running.stream?.stop();
            running.request.destroy();
        }
    }

    return {
        send: ({ request: id, attempt, call }) => {
            const openRequest = openRequests.get(id);
            if (!openRequest) {
                return;
            }
            try {
                attempts.set(id, startAttempt(openRequest, attempt, call));
            }
            catch (error) {
                reportFailure({ part: "forwardClient", error, fields: { request: id, attempt, target: call.target } });
                post({ kind: "attemptFailed", request: id, attempt, fault: "not_sent", lastEventId: 0 });
            }
        },
        relay: ({ request: id, attempt }) => {
            const running = attempts.get(id);
            const openRequest = openRequests.get(id);
            if (!running || running.attempt !== attempt || !openRequest || openRequest.response.destroyed) {
                return;
            }
            const { bufferedResponse, stream, guard } = running;
            if (bufferedResponse && !openRequest.response.headersSent) {
                responseWriter.relay(openRequest, bufferedResponse);
            }
            else if (stream) {
                guard(stream.start)();
            }
        },
        cancel: ({ request }) => {
            closeAttempt(request);
        },
        move: ({ request: id, attempt, fault }) => {
            const running = attempts.get(id);
            if (running?.attempt === attempt && !running.isOver && !running.stream?.hasSourceEnded()) {
                postFailure(id, running, fault);
                running.stream?.stop();
                running.request.destroy();
            }
        },
        release: id => {
            const running = attempts.get(id);
            if (running?.isOver) {
                attempts.delete(id);
            }
            else {
                closeAttempt(id);
            }
        },
        closeTarget: agents.close,
        close: () => {
            for (const id of [...attempts.keys()]) {
                closeAttempt(id);
            }
            agents.closeAll();
        },
    };
}
