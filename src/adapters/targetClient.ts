/** HTTP client for targets: sends requests, resumes streams and posts the outcomes as events. */
import * as http from "node:http";
import { decodeAnswer, encodeEngineBody, isAnswerOf } from "../codec/openai";
import type { Settings } from "../config/settings";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import type { RequestId } from "../ids";
import type { AttemptFailure, TargetCall } from "../requests";
import type { FailureReporter } from "../runner";
import { type AnsweredUploads, createAnsweredUploads } from "./answeredUploads";
import type { AnswerRoom } from "./answerRoom";
import { type BufferedAnswer, buildAnswerRecord, buildBufferedAnswer, type WholeResponse } from "./bufferedAnswer";
import type { CheckedEnd } from "./checkedEnds";
import { applyHeadLimit } from "./headLimit";
import { createKeepAliveAgent, parseAddress, singleUseAgent, subscribeToFirstWrite } from "./httpClient";
import { sendRefusal } from "./httpServer";
import { createListenerCheck, type ListenerState } from "./listenerCheck";
import { createListenerGuard, handleUnreportedFailure, type ListenerGuard } from "./listenerGuard";
import type { OpenRequest, OpenRequests } from "./openRequests";
import { createResponseBuffers } from "./responseBuffers";
import { endBodilessResponse, followResponseEnd, removeFraming } from "./responseFraming";
import { isValidHead } from "./responseHead";
import { createStreamRelay, type StreamRelay } from "./streamRelay";
import { buildTargetHeaders } from "./targetHeaders";
import { type ReadFault, readWholeResponse } from "./wholeResponse";

interface RunningAttempt {
    readonly attempt: number;
    /** Ends the attempt when one of its listeners fails. */
    readonly guard: ListenerGuard;
    request: http.ClientRequest | undefined;
    relay: StreamRelay | undefined;
    bufferedAnswer: BufferedAnswer | undefined;
}

export interface TargetClientOptions {
    readonly settings: Settings;
    readonly post: (event: Event) => void;
    readonly openRequests: OpenRequests;
    /** Room for large answers; the default is no bound. */
    readonly answers?: AnswerRoom;
    /** Uploads that targets have answered; the default is no bound in bytes. */
    readonly uploads?: AnsweredUploads;
    /** Called for each answer without framing whose end was checked. */
    readonly onEndChecked?: (end: CheckedEnd) => void;
    readonly reportFailure?: FailureReporter;
}

export interface TargetClient {
    send(effect: EffectOf<"sendRequest">): void;
    relay(effect: EffectOf<"relayAnswer">): void;
    resume(effect: EffectOf<"resumeStream">): void;
    cancel(effect: EffectOf<"cancelAttempt">): void;
    release(request: RequestId): void;
    close(): void;
}

/** Answers of the maximum size that all attempts together may hold; beyond that the largest one fails. */
const maxHeldAnswers = 4;

const notRunHeader = "x-not-run";
/** Statuses of an engine that did not run the request: unknown model, other weights, queue full. */
const notRunEngineStatuses: ReadonlySet<number> = new Set([404, 409, 429]);

function isRefusedBeforeRun(call: TargetCall, response: http.IncomingMessage): boolean {
    const isMarkedNotRun = response.statusCode === 503 && response.headers[notRunHeader] === "1";
    return isMarkedNotRun || (call.engine !== undefined && notRunEngineStatuses.has(response.statusCode ?? 0));
}

/** Failures of attempts, by the faults of reading their answers. */
const attemptFailures: { readonly [Fault in ReadFault]: AttemptFailure; } = {
    too_long: "answer_too_large",
    interrupted: "closed",
    target_ended: "closed",
    end_unconfirmed: "closed",
};

const isEventStream = (response: http.IncomingMessage): boolean =>
    response.statusCode === 200 && (response.headers["content-type"] ?? "").startsWith("text/event-stream");

/** Creates the client for targets. */
export function createTargetClient(
    {
        settings,
        post,
        openRequests,
        answers,
        uploads = createAnsweredUploads(),
        onEndChecked = () => undefined,
        reportFailure = handleUnreportedFailure,
    }: TargetClientOptions,
): TargetClient {
    const agent = createKeepAliveAgent({ maxSockets: 1024 });
    const attempts = new Map<RequestId, RunningAttempt>();
    const { idleMs, connectMs } = settings.timeouts;
    const { answerBytes } = settings.limits;
    const buffers = createResponseBuffers({ maxBytes: answerBytes, maxTotalBytes: maxHeldAnswers * answerBytes });
    const checkListener = createListenerCheck({ timeoutMs: connectMs });

    function postFailure(id: RequestId, runningAttempt: RunningAttempt, failure: AttemptFailure): void {
        if (attempts.get(id) === runningAttempt && runningAttempt.request) {
            runningAttempt.request = undefined;
            const lastEventId = runningAttempt.relay?.getLastEventId() ?? 0;
            post({ kind: "attemptFailed", request: id, attempt: runningAttempt.attempt, failure, lastEventId });
        }
    }

    function readBufferedAnswer(
        openRequest: OpenRequest,
        runningAttempt: RunningAttempt,
        call: TargetCall,
        response: http.IncomingMessage,
    ): void {
        const { id } = openRequest;
        const end = followResponseEnd(call.method, response);
        const handleWhole = (body: Buffer): void => {
            if (attempts.get(id) === runningAttempt && runningAttempt.request) {
                handleBufferedAnswer(openRequest, runningAttempt, call, { response, framing: end.framing, body });
            }
        };
        if (end.framing === "head") {
            // Closing the connection of a response that announces a body raises an error, which ends nothing.
            response.on("error", () => undefined);
            handleWhole(Buffer.alloc(0));
            endBodilessResponse(response);
            return;
        }
        const checkEnd = async (): Promise<ListenerState> => {
            const startedAt = performance.now();
            const state = await checkListener(call.address);
            const waitedMs = Math.round(performance.now() - startedAt);
            onEndChecked({ request: id, target: call.address, state, waitedMs });
            return state;
        };
        readWholeResponse({
            response,
            end,
            guard: runningAttempt.guard,
            buffers,
            room: answers && { answers, caller: openRequest.response },
            // An engine's answer is decoded, which fails when a part of it is missing.
            checkEnd: call.engine ? undefined : checkEnd,
            onWhole: handleWhole,
            onFailed: fault => {
                postFailure(id, runningAttempt, attemptFailures[fault]);
            },
        });
    }

    function handleBufferedAnswer(
        openRequest: OpenRequest,
        runningAttempt: RunningAttempt,
        call: TargetCall,
        whole: WholeResponse,
    ): void {
        const { response, body } = whole;
        const status = response.statusCode ?? 0;
        const answer = call.engine && status === 200 ? decodeAnswer(body.toString("utf8")) : undefined;
        if (
            call.engine && status === 200 && (!answer || !isAnswerOf(answer.id, openRequest.id) || !answer.isFinished)
        ) {
            postFailure(openRequest.id, runningAttempt, "mismatched_answer");
            return;
        }
        const record = call.engine ? undefined : buildAnswerRecord(whole);
        const bufferedAnswer = buildBufferedAnswer(openRequest, whole, answer);
        // Posted first: if it fails, the attempt is still open and can be reported as failed.
        post({
            kind: "attemptAnswered",
            request: openRequest.id,
            attempt: runningAttempt.attempt,
            status,
            isRefusedBeforeRun: isRefusedBeforeRun(call, response),
            buffered: { ...(answer?.usage ? { usage: answer.usage } : {}), ...(record ? { record } : {}) },
        });
        runningAttempt.request = undefined;
        runningAttempt.bufferedAnswer = bufferedAnswer;
    }

    function handleResponse(
        openRequest: OpenRequest,
        runningAttempt: RunningAttempt,
        call: TargetCall,
        response: http.IncomingMessage,
    ): void {
        if (!call.engine || !isEventStream(response)) {
            readBufferedAnswer(openRequest, runningAttempt, call, response);
            return;
        }
        const { attempt, guard } = runningAttempt;
        runningAttempt.relay = createStreamRelay({ openRequest, attempt, guard, buffers, post });
        runningAttempt.relay.connect(response);
        post({
            kind: "attemptAnswered",
            request: openRequest.id,
            attempt: runningAttempt.attempt,
            status: 200,
            isRefusedBeforeRun: false,
        });
    }

    function openConnection(
        id: RequestId,
        runningAttempt: RunningAttempt,
        options: http.RequestOptions,
        failureAfterConnect: AttemptFailure,
    ): http.ClientRequest {
        const { guard } = runningAttempt;
        const request = http.request(options);
        let isConnected = false;
        const connectTimer = setTimeout(() => {
            request.destroy();
        }, connectMs);

        function handleFirstWrite(): void {
            isConnected = true;
            clearTimeout(connectTimer);
            request.setTimeout(idleMs);
            request.on("timeout", guard(handleSilence));
            post({ kind: "attemptWriteStarted", request: id, attempt: runningAttempt.attempt });
        }

        function handleSilence(): void {
            if (!runningAttempt.relay?.isPaused()) {
                request.destroy();
            }
        }

        function handleError(): void {
            clearTimeout(connectTimer);
            // Once the answer is a stream, its relay reports the failure.
            if (!runningAttempt.relay || failureAfterConnect !== "closed") {
                postFailure(id, runningAttempt, isConnected ? failureAfterConnect : "connect");
            }
        }

        applyHeadLimit(request, { guard, onTooLong: () => request.destroy() });
        subscribeToFirstWrite(request, guard(handleFirstWrite));
        request.on("error", guard(handleError));
        runningAttempt.request = request;
        return request;
    }

    function send({ request: id, attempt, call }: EffectOf<"sendRequest">): void {
        const openRequest = openRequests.get(id);
        if (!openRequest) {
            return;
        }
        const guard = createListenerGuard({
            part: "targetClient",
            fields: { request: id, attempt, address: call.address },
            end: () => {
                const { request: failedRequest } = runningAttempt;
                postFailure(id, runningAttempt, "malformed_answer");
                failedRequest?.destroy();
            },
            reportFailure,
        });
        const runningAttempt: RunningAttempt = {
            attempt,
            guard,
            request: undefined,
            relay: undefined,
            bufferedAnswer: undefined,
        };
        attempts.set(id, runningAttempt);
        const body = call.engine && openRequest.completion
            ? Buffer.from(encodeEngineBody(openRequest.completion.body, call.engine, call.stream))
            : openRequest.body;
        const hasBody = body.length > 0 || !["GET", "HEAD", "OPTIONS"].includes(call.method);
        const request = openConnection(id, runningAttempt, {
            ...parseAddress(call.address),
            method: call.method,
            path: call.path,
            headers: {
                ...buildTargetHeaders(openRequest.headers, id, call),
                ...(hasBody ? { "content-length": body.length } : {}),
                ...(call.needsNewConnection ? { connection: "close" } : {}),
            },
            agent: call.needsNewConnection ? singleUseAgent : agent,
        }, "closed");
        uploads.follow(request, { bodyBytes: body.length, timeLeftMs: call.timeoutMs, target: call.address });
        const handleHead = (response: http.IncomingMessage): void => {
            if (attempts.get(id) !== runningAttempt) {
                response.destroy();
                return;
            }
            if (!isValidHead(call.method, response)) {
                postFailure(id, runningAttempt, "malformed_answer");
                request.destroy();
                return;
            }
            handleResponse(openRequest, runningAttempt, call, response);
        };
        request.on("response", guard(handleHead));
        request.end(hasBody ? body : undefined);
    }

    function resume({ request: id, attempt, address, lastEventId }: EffectOf<"resumeStream">): void {
        const runningAttempt = attempts.get(id);
        const relay = runningAttempt?.relay;
        if (!runningAttempt || !relay || runningAttempt.attempt !== attempt) {
            return;
        }
        const request = openConnection(id, runningAttempt, {
            ...parseAddress(address),
            method: "GET",
            path: `/v1/streams/${id}`,
            headers: { "last-event-id": String(lastEventId), "x-request-id": id },
            agent,
        }, "not_resumable");
        const handleHead = (response: http.IncomingMessage): void => {
            if (attempts.get(id) !== runningAttempt || !isEventStream(response)) {
                response.destroy();
                postFailure(id, runningAttempt, "not_resumable");
                return;
            }
            relay.connect(response);
        };
        request.on("response", runningAttempt.guard(handleHead));
        request.end();
    }

    function closeAttempt(id: RequestId): void {
        const runningAttempt = attempts.get(id);
        attempts.delete(id);
        runningAttempt?.relay?.stop();
        runningAttempt?.request?.destroy();
    }

    function relayBufferedAnswer(
        id: RequestId,
        caller: http.ServerResponse,
        { status, headers, body, framing }: BufferedAnswer,
    ): void {
        try {
            if (framing === "connection") {
                removeFraming(caller);
            }
            caller.writeHead(status, headers);
        }
        catch (error) {
            // The system has closed the request already, so it is answered here.
            reportFailure({ part: "targetClient", error, fields: { request: id } });
            sendRefusal(caller, id, { code: "target_failed", verdict: "may_have_run" }, { "x-request-id": id });
            return;
        }
        caller.end(body);
    }

    return {
        send: effect => {
            const { request, attempt, call } = effect;
            try {
                send(effect);
            }
            catch (error) {
                reportFailure({ part: "targetClient", error, fields: { request, attempt, address: call.address } });
                post({ kind: "attemptFailed", request, attempt, failure: "connect", lastEventId: 0 });
            }
        },
        resume,
        relay: ({ request: id, attempt }) => {
            const runningAttempt = attempts.get(id);
            const caller = openRequests.get(id)?.response;
            if (!runningAttempt || runningAttempt.attempt !== attempt || !caller) {
                return;
            }
            const { bufferedAnswer, relay: streamRelay, guard } = runningAttempt;
            if (bufferedAnswer && !caller.headersSent) {
                relayBufferedAnswer(id, caller, bufferedAnswer);
            }
            if (streamRelay) {
                guard(streamRelay.startRelay)();
            }
        },
        cancel: ({ request }) => {
            closeAttempt(request);
        },
        release: id => {
            const runningAttempt = attempts.get(id);
            attempts.delete(id);
            runningAttempt?.relay?.stop();
        },
        close: () => {
            for (const id of [...attempts.keys()]) {
                closeAttempt(id);
            }
            agent.destroy();
        },
    };
}
