/** HTTP server for callers: posts requests as events and writes refusals and answers. */
import { createHash, randomUUID } from "node:crypto";
import type * as http from "node:http";
import { decodeCompletion } from "../codec/openai";
import { encodeEvent } from "../codec/sse";
import type { Settings } from "../config/settings";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import { type CallId, type KeyHash, type RequestId, toCallId, toKeyHash, toRequestId } from "../ids";
import { formatRefusal, type Refusal } from "../refusals";
import type { Endpoint } from "../requests";
import type { Clock, FailureReporter } from "../runner";
import type { ClientBounds } from "./clientBounds";
import { createHttpServer, readBoundedBody, sendJson, sendRefusal, startListening } from "./httpServer";
import { hasKey } from "./keyCheck";
import { createListenerGuard } from "./listenerGuard";
import type { OpenRequests } from "./openRequests";
import { createOpenResponses } from "./openResponses";
import { isSendable, parseRequestTarget } from "./requestTarget";

export interface CallerServerOptions {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly post: (event: Event) => void;
    readonly openRequests: OpenRequests;
    /** True when the process can admit requests; reported by `/readyz`. */
    readonly isReady: () => boolean;
    readonly getMetrics: () => Promise<string>;
    readonly clients: ClientBounds;
    readonly reportFailure?: FailureReporter;
}

export interface CallerServer {
    readonly server: http.Server;
    start(): Promise<void>;
    refuse(effect: EffectOf<"refuseRequest">): void;
    interrupt(effect: EffectOf<"interruptAnswer">): void;
    replay(effect: EffectOf<"replayAnswer">): void;
    answer(effect: EffectOf<"answerCaller">): void;
    closeListener(): void;
    stop(): void;
}

const bearerPattern = /^Bearer +(\S+)$/i;
const maxTimeoutMs = 24 * 3600 * 1000;

const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Computes the hash that distinguishes a repeated call from a different one with the same Idempotency-Key. */
const hashBody = (method: string, path: string, body: Buffer): string =>
    createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");

/** Reads the caller's key in clear. It is kept only while the request is being read. */
function readKey(request: http.IncomingMessage): string | undefined {
    return bearerPattern.exec(request.headers.authorization ?? "")?.[1];
}

const hashKey = (
    key: string | undefined,
): KeyHash | undefined => (key === undefined ? undefined : toKeyHash(hashText(key)));

function readTimeoutHeader(request: http.IncomingMessage, name: string): number | undefined {
    const value = Number(request.headers[name]);
    return Number.isInteger(value) && value > 0 && value <= maxTimeoutMs ? value : undefined;
}

function readTextHeader(request: http.IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" && value.length > 0 && value.length <= 255 ? value : undefined;
}

interface ServicePath {
    readonly name: string;
    readonly path: string;
}

function parseServicePath(url: string): ServicePath | undefined {
    const match = /^\/services\/([A-Za-z0-9._-]{1,64})(\/[^#]*|\?[^#]*)?$/.exec(url);
    return match?.[1] === undefined ? undefined : { name: match[1], path: match[2] ?? "/" };
}

function writeRefusal(response: http.ServerResponse, requestId: string, refusal: Refusal): void {
    const headers: http.OutgoingHttpHeaders = { "x-request-id": requestId };
    if (refusal.retryAfterSeconds !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfterSeconds)));
    }
    if (refusal.code === "draining" || refusal.code === "body_too_large") {
        headers["connection"] = "close";
    }
    sendRefusal(response, requestId, refusal, headers);
}

/** Creates the server for callers. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    const { settings, clock, post, openRequests, isReady, getMetrics, clients, reportFailure } = options;
    const part = "callerServer";
    const openResponses = createOpenResponses({ reportFailure });
    const pendingCalls = new Map<CallId, http.ServerResponse>();

    function openCall(response: http.ServerResponse): CallId {
        const call = toCallId(randomUUID());
        const guard = createListenerGuard({ part, end: () => response.destroy(), reportFailure });
        pendingCalls.set(call, response);
        response.on("close", guard(() => pendingCalls.delete(call)));
        return call;
    }

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const url = request.url ?? "/";
        const service = parseServicePath(url);
        if (!isSendable(url)) {
            const detail = "The path contains a character that cannot be sent on.";
            writeRefusal(response, randomUUID(), { code: "bad_request", verdict: "not_run", detail });
            return;
        }
        if (service) {
            await handleService(request, response, service);
            return;
        }
        const handler = fixedRoutes[`${request.method} ${parseRequestTarget(url).path}`];
        if (handler) {
            await handler(request, response);
            return;
        }
        writeRefusal(response, randomUUID(), {
            code: "route_unknown",
            verdict: "not_run",
            detail: "There is no such path.",
        });
    }

    const fixedRoutes: Readonly<
        Record<string, (request: http.IncomingMessage, response: http.ServerResponse) => void | Promise<void>>
    > = {
        "POST /v1/chat/completions": (request, response) => handleCompletion(request, response, "chat"),
        "POST /v1/completions": (request, response) => handleCompletion(request, response, "completions"),
        "GET /v1/models": (request, response) => {
            post({ kind: "modelsRequested", call: openCall(response), keyHash: hashKey(readKey(request)) });
        },
        "GET /v1/entries": (request, response) => {
            post({ kind: "entriesRequested", call: openCall(response), keyHash: hashKey(readKey(request)) });
        },
        "GET /healthz": (_request, response) => {
            sendJson(response, 200, { status: "alive" });
        },
        "GET /readyz": (_request, response) => {
            const ready = isReady();
            sendJson(response, ready ? 200 : 503, { ready });
        },
        "GET /metrics": async (_request, response) => {
            response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
            response.end(await getMetrics());
        },
    };

    async function handleCompletion(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        endpoint: Exclude<Endpoint, "service">,
    ): Promise<void> {
        const id = toRequestId(randomUUID());
        const arrivedAt = clock.getNow();
        const body = await readBoundedBody(clients, request, response, settings.limits.bodyBytes);
        const key = readKey(request);
        if (!body) {
            writeRefusal(response, id, { code: "body_too_large", verdict: "not_run" });
            return;
        }
        const decoded = decodeCompletion(endpoint, body);
        if (decoded.err || hasKey(body, key)) {
            const detail = decoded.err ? decoded.val : "The body must not contain the key.";
            writeRefusal(response, id, { code: "bad_request", verdict: "not_run", detail });
            return;
        }
        const completion = decoded.val;
        const idempotencyKey = readTextHeader(request, "idempotency-key");
        addOpenRequest({
            id,
            response,
            request,
            body,
            completion,
            routeName: completion.model,
            isStream: completion.stream,
        });
        post({
            kind: "requestArrived",
            arrival: {
                request: id,
                keyHash: hashKey(key),
                endpoint,
                routeName: completion.model,
                method: "POST",
                path: "",
                stream: completion.stream,
                prompt: completion.prompt,
                maxTokens: completion.maxTokens,
                priority: completion.priority,
                bodyBytes: body.length,
                bodyHash: idempotencyKey === undefined ? "" : hashBody(endpoint, "", body),
                idempotencyKey,
                timeoutMs: readTimeoutHeader(request, "x-request-timeout-ms"),
                arrivedAt,
            },
        });
    }

    async function handleService(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        service: ServicePath,
    ): Promise<void> {
        const id = toRequestId(randomUUID());
        const arrivedAt = clock.getNow();
        const method = request.method ?? "GET";
        const body = await readBoundedBody(clients, request, response, settings.limits.bodyBytes);
        const key = readKey(request);
        if (!body) {
            writeRefusal(response, id, { code: "body_too_large", verdict: "not_run" });
            return;
        }
        const idempotencyKey = readTextHeader(request, "idempotency-key");
        if ([body, service.path, idempotencyKey ?? ""].some(part => hasKey(part, key))) {
            const detail = "The body, the path and the Idempotency-Key must not contain the key.";
            writeRefusal(response, id, { code: "bad_request", verdict: "not_run", detail });
            return;
        }
        addOpenRequest({
            id,
            response,
            request,
            body,
            completion: undefined,
            routeName: service.name,
            isStream: false,
        });
        post({
            kind: "requestArrived",
            arrival: {
                request: id,
                keyHash: hashKey(key),
                endpoint: "service",
                routeName: service.name,
                method,
                path: service.path,
                stream: false,
                prompt: new Uint8Array(),
                maxTokens: undefined,
                priority: undefined,
                bodyBytes: body.length,
                bodyHash: hashBody(method, service.path, body),
                idempotencyKey,
                timeoutMs: readTimeoutHeader(request, "x-request-timeout-ms"),
                arrivedAt,
            },
        });
    }

    function addOpenRequest(
        added: Omit<Parameters<OpenRequests["add"]>[0], "headers"> & { readonly request: http.IncomingMessage; },
    ): void {
        const { request, ...rest } = added;
        const { response, id } = rest;
        const guard = createListenerGuard({
            part,
            fields: { request: id },
            end: () => response.destroy(),
            reportFailure,
        });
        const handleClose = (): void => {
            const kind = response.writableFinished ? "answerDelivered" : "callerDisconnected";
            post({ kind, request: id });
        };
        openRequests.add({ ...rest, headers: request.headers });
        openResponses.add(response);
        response.on("close", guard(handleClose));
    }

    function getResponse(id: RequestId): http.ServerResponse | undefined {
        return openRequests.get(id)?.response;
    }

    const server = createHttpServer({
        part,
        listener: "callers",
        handle: handleRequest,
        clients,
        reportFailure,
        maxHeaderSize: settings.limits.headerBytes,
        headersTimeout: 10_000,
        requestTimeout: settings.timeouts.requestMs,
        keepAliveTimeout: 30_000,
    });

    return {
        server,
        start: () => startListening(server, settings.listen.callers),
        refuse: ({ request, refusal }) => {
            const response = getResponse(request);
            if (response) {
                writeRefusal(response, request, refusal);
            }
        },
        interrupt: ({ request, refusal }) => {
            const openRequest = openRequests.get(request);
            if (openRequest?.isStream) {
                const body = JSON.stringify(formatRefusal(refusal, request));
                openRequest.response.end(encodeEvent({ id: undefined, event: "error", data: body }));
            }
            else if (openRequest) {
                openResponses.endIncomplete(openRequest.response);
            }
        },
        replay: ({ request, answer }) => {
            const response = getResponse(request);
            if (response && !response.headersSent) {
                response.writeHead(answer.status, {
                    "content-type": answer.contentType,
                    "x-request-id": request,
                    "idempotent-replayed": "true",
                });
                response.end(answer.body);
            }
        },
        answer: ({ call, status, body }) => {
            const response = pendingCalls.get(call);
            if (response) {
                sendJson(response, status, body, { "x-request-id": call });
            }
        },
        closeListener: () => {
            server.close();
            server.closeIdleConnections();
        },
        stop: () => {
            server.close();
            openResponses.endAll();
            server.closeAllConnections();
        },
    };
}
