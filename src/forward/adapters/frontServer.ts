/** HTTP server for callers: buffers requests, posts them as events and writes refusals. */
import { createHash, randomUUID } from "node:crypto";
import type * as http from "node:http";
import type { ClientBounds } from "../../adapters/clientBounds";
import {
    createHttpServer,
    isIncomplete,
    readBoundedBody,
    sendRefusal,
    startListening,
} from "../../adapters/httpServer";
import { createListenerGuard } from "../../adapters/listenerGuard";
import { createOpenResponses, isEndedByConnection } from "../../adapters/openResponses";
import { isSendable } from "../../adapters/requestTarget";
import { type RequestId, toKeyHash, toRequestId } from "../../ids";
import type { Refusal } from "../../refusals";
import type { Clock, FailureReporter } from "../../runner";
import type { HeaderCodec } from "../calls";
import type { CallerLimits } from "../document";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import type { OpenForwardRequest, OpenForwardRequests } from "./openForwardRequests";

/** Header size above which Node's parser refuses a request; the configured limit is lower. */
const maxParsedHeaderBytes = 64 * 1024;
/** Maximum body size until a configuration sets the limit. */
const initialMaxBodyBytes = 4 * 1024 * 1024;
/**
 * Added to the configured idle timeout, so that the server does not close a connection on which a caller has just sent
 * a request.
 */
const keepAliveMarginMs = 1000;

export interface FrontServerOptions {
    /** IP:PORT. */
    readonly address: string;
    readonly codec: HeaderCodec;
    readonly clock: Clock;
    readonly post: (event: ForwardEvent) => void;
    readonly openRequests: OpenForwardRequests;
    readonly clients: ClientBounds;
    /** Called for a request that could not be read whole. */
    readonly onIncompleteRequest: (reason: string) => void;
    /** Called for a response that ends early. */
    readonly onInterruptedResponse: (response: InterruptedResponse) => void;
    readonly reportFailure?: FailureReporter;
}

/** How a response that ends early was sent until then. */
export interface InterruptedResponse {
    readonly request: RequestId;
    /** What marks the end of the response to its caller: its last chunk, or the close of its connection. */
    readonly framing: "chunks" | "connection";
    /** Bytes that the caller's connection has not taken yet. */
    readonly pendingBytes: number;
}

export interface FrontServer {
    start(): Promise<void>;
    refuse(effect: ForwardEffectOf<"refuseRequest">): void;
    interrupt(effect: ForwardEffectOf<"interruptAnswer">): void;
    applyLimits(limits: CallerLimits): void;
    /** Adds `Connection: close` to all further responses. */
    startClosing(): void;
    isClosing(): boolean;
    /** Takes no further connections. */
    closeListener(): void;
    /** Ends all responses; the process ends. */
    stop(): void;
}

function writeRefusal(
    codec: HeaderCodec,
    response: http.ServerResponse,
    id: string,
    refusal: Refusal,
    isClosing: boolean,
): void {
    const headers: http.OutgoingHttpHeaders = {};
    if (refusal.retryAfterSeconds !== undefined) {
        headers["retry-after"] = codec.encodeRetryAfter(refusal.retryAfterSeconds);
    }
    if (isClosing || refusal.code === "body_too_large") {
        headers["connection"] = "close";
    }
    sendRefusal(response, id, refusal, headers);
}

/** Host without its port, in lower case. */
const parseHost = (request: http.IncomingMessage): string =>
    (request.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();

/** Creates the server for callers. */
export function createFrontServer(options: FrontServerOptions): FrontServer {
    const { address, codec, clock, post, openRequests, onIncompleteRequest, onInterruptedResponse } = options;
    const { clients, reportFailure } = options;
    const part = "frontServer";
    const openResponses = createOpenResponses({ reportFailure });
    let currentMaxBodyBytes = initialMaxBodyBytes;
    let isClosing = false;

    /** Creates the id of the request in this process: the caller's id, made unique if that one is in use. */
    function createUniqueRequestId(attemptId: string | undefined): RequestId {
        const id = toRequestId(attemptId ?? randomUUID());
        return openRequests.has(id) ? toRequestId(`${id}~${randomUUID()}`) : id;
    }

    function subscribeToClose({ id, response }: OpenForwardRequest): void {
        const guard = createListenerGuard({
            part,
            fields: { request: id },
            end: () => response.destroy(),
            reportFailure,
        });
        const handleClose = (): void => {
            post({ kind: response.writableFinished ? "answerDelivered" : "callerDisconnected", request: id });
        };
        // The caller closed the connection during a write; the "close" event follows and reports it.
        response.on("error", guard(() => response.destroy()));
        response.on("close", guard(handleClose));
    }

    /** Reads the body of a request; undefined when it is longer than the limit. */
    function readRequestBody(
        request: http.IncomingMessage,
        response: http.ServerResponse,
    ): Promise<Buffer | undefined> {
        return readBoundedBody(clients, request, response, currentMaxBodyBytes).catch((error: unknown) => {
            if (isIncomplete(request)) {
                onIncompleteRequest(error instanceof Error ? error.message : String(error));
            }
            throw error;
        });
    }

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const arrivedAt = clock.getNow();
        const { key, isWellFormed, ...headerFields } = codec.decodeRequest(request.headers);
        const body = await readRequestBody(request, response);
        const id = createUniqueRequestId(headerFields.attemptId);
        if (!body) {
            writeRefusal(codec, response, id, { code: "body_too_large", verdict: "not_run" }, isClosing);
            return;
        }
        if (!isWellFormed || !isSendable(request.url ?? "/")) {
            writeRefusal(codec, response, id, { code: "bad_request", verdict: "not_run" }, isClosing);
            return;
        }
        if (response.destroyed) {
            return;
        }
        const openRequest: OpenForwardRequest = {
            id,
            attemptId: headerFields.attemptId ?? id,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            rawHeaders: request.rawHeaders,
            body,
            response,
        };
        openRequests.add(openRequest);
        openResponses.add(response);
        subscribeToClose(openRequest);
        post({
            kind: "requestArrived",
            arrival: {
                ...headerFields,
                request: id,
                keyHash: key === undefined
                    ? undefined
                    : toKeyHash(createHash("sha256").update(key).digest("hex")),
                host: parseHost(request),
                path: openRequest.path,
                method: openRequest.method,
                bodyBytes: body.length,
                arrivedAt,
            },
        });
    }

    const server = createHttpServer({
        part,
        listener: "callers",
        handle: handleRequest,
        clients,
        reportFailure,
        maxHeaderSize: maxParsedHeaderBytes,
    });

    function closeListener(): void {
        server.close();
        server.closeIdleConnections();
    }

    return {
        start: () => startListening(server, address),
        refuse: ({ request, refusal }) => {
            const openRequest = openRequests.get(request);
            if (openRequest) {
                writeRefusal(codec, openRequest.response, openRequest.attemptId, refusal, isClosing);
            }
        },
        interrupt: ({ request }) => {
            const response = openRequests.get(request)?.response;
            if (response && !response.destroyed) {
                onInterruptedResponse({
                    request,
                    framing: isEndedByConnection(response) ? "connection" : "chunks",
                    pendingBytes: response.writableLength,
                });
                openResponses.endIncomplete(response);
            }
        },
        applyLimits: limits => {
            currentMaxBodyBytes = limits.maxBodyBytes;
            server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
            server.headersTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs + keepAliveMarginMs;
        },
        startClosing: () => {
            isClosing = true;
        },
        isClosing: () => isClosing,
        closeListener,
        stop: () => {
            closeListener();
            openResponses.endAll();
        },
    };
}
