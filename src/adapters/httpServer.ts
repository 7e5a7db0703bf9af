/** HTTP servers whose unexpected errors end only the request or the connection during which they occur. */
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import type { ListenerKind } from "../policy/clientLimits";
import { formatRefusal, type Refusal, refusalKinds } from "../refusals";
import type { FailureReporter } from "../runner";
import { createBodyCollector } from "./bodyCollector";
import { type ClientBounds, createClientBounds } from "./clientBounds";
import { subscribeToClientErrors } from "./clientErrors";
import { parseAddress } from "./httpClient";
import { createListenerGuard, handleUnreportedFailure } from "./listenerGuard";
import { BodyDiscardedError, type BodyRoom } from "./requestBodies";
import { createResponseBuffers } from "./responseBuffers";

/** Interval at which Node closes connections whose heads or requests take too long; its default is 30 s. */
const connectionsCheckingInterval = 1000;

/**
 * Bytes of a refused body that are still read. A connection that is closed while bytes of its client are unread is reset,
 * and the client may lose the answer.
 */
const maxUnusedBytes = 256 * 1024;

export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void | Promise<void>;

export interface HttpServerOptions extends http.ServerOptions {
    /** Name of the server, for log lines and counts. */
    readonly part: string;
    /** Handles one request. What it throws, or rejects with, ends that request. */
    readonly handle: RequestHandler;
    /** The default throws the error again, so that a test sees it. */
    readonly reportFailure?: FailureReporter | undefined;
    /** Limits that apply to the connections; the default is those of callers. */
    readonly listener?: ListenerKind;
    /** Bounds of the process; the default are bounds of this server alone. */
    readonly clients?: ClientBounds;
}

/**
 * Reads a body of at most `maxBytes`; undefined when it is longer, or in too many pieces. With `openRoom`, rejects when
 * there is no room for the body beside those of other requests.
 */
export async function readBody(
    request: http.IncomingMessage,
    maxBytes: number,
    openRoom?: (onDiscarded: () => void) => BodyRoom,
): Promise<Buffer | undefined> {
    const body = createBodyCollector(createResponseBuffers({ maxBytes, maxTotalBytes: Number.POSITIVE_INFINITY }));
    const room = openRoom?.(body.release);
    let isTooLong = false;
    let unusedBytes = 0;
    await new Promise<void>((resolve, reject) => {
        const guard = createListenerGuard({
            part: "readBody",
            end: reject,
            reportFailure: ({ error }) => {
                reject(error);
            },
        });
        const handleData = (piece: Buffer): void => {
            if (isTooLong) {
                unusedBytes += piece.length;
            }
            else {
                room?.add(piece.length);
                isTooLong = !body.add(piece);
            }
            if (unusedBytes > maxUnusedBytes) {
                resolve();
            }
        };
        // Pieces are counted as they arrive: a stream that is read in another way joins those that it has buffered.
        request.on("data", guard(handleData));
        request.on("end", guard(resolve));
        request.on("error", guard(reject));
        request.on(
            "close",
            guard(() => {
                reject(new Error("The connection was closed."));
            }),
        );
        if (request.destroyed) {
            reject(new Error("The connection was closed."));
        }
    });
    room?.endReading();
    return isTooLong ? undefined : body.take();
}

/** Reads a body of at most `maxBytes` beside those that the process holds already; see `readBody`. */
export const readBoundedBody = (
    { bodies }: ClientBounds,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    maxBytes: number,
): Promise<Buffer | undefined> =>
    readBody(request, maxBytes, onDiscarded => bodies.open({ request, response, maxBytes, onDiscarded }));

/** Sends a JSON answer, unless the response has already started or is closed. */
export function sendJson(
    response: http.ServerResponse,
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    response.end(text);
}

/** Sends a refusal, unless the response has already started or is closed. */
export function sendRefusal(
    response: http.ServerResponse,
    requestId: string,
    refusal: Refusal,
    headers: http.OutgoingHttpHeaders = {},
): void {
    sendJson(response, refusalKinds[refusal.code].status, formatRefusal(refusal, requestId), headers);
}

/** True when the caller closed the connection before its request was read whole, which no one has to examine. */
export const isIncomplete = (request: http.IncomingMessage): boolean => request.destroyed && !request.complete;

/** Refuses a request whose body was discarded; the rest of it is not read. */
function refuseDiscarded(response: http.ServerResponse): void {
    const id = randomUUID();
    const refusal: Refusal = { code: "overloaded", verdict: "not_run" };
    sendRefusal(response, id, refusal, { "connection": "close", "retry-after": "1", "x-request-id": id });
}

/** Node's own check answers before earlier requests of the connection, and without a bound on their number. */
function refuseWithoutHost({ httpVersion, headers }: http.IncomingMessage, response: http.ServerResponse): boolean {
    if (httpVersion !== "1.1" || headers.host !== undefined) {
        return false;
    }
    response.writeHead(400, { connection: "close" });
    response.end();
    return true;
}

/** Ends a request whose handler failed: with an answer, or by closing the connection of an answer that has begun. */
function endFailedRequest(response: http.ServerResponse): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    sendRefusal(response, randomUUID(), { code: "internal_error", verdict: "may_have_run" });
}

/**
 * Creates a server that does not listen yet.
 *
 * @example
 * const server = createHttpServer({ part: "readiness", handle: (_request, response) => response.end() });
 * await startListening(server, "127.0.0.1:8080");
 */
export function createHttpServer(
    {
        part,
        handle,
        reportFailure = handleUnreportedFailure,
        listener = "callers",
        clients = createClientBounds({ reportFailure }),
        ...serverOptions
    }: HttpServerOptions,
): http.Server {
    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        try {
            if (!refuseWithoutHost(request, response)) {
                await handle(request, response);
            }
        }
        catch (error) {
            if (error instanceof BodyDiscardedError) {
                refuseDiscarded(response);
                return;
            }
            if (isIncomplete(request)) {
                response.destroy();
                return;
            }
            endFailedRequest(response);
            reportFailure({ part, error, fields: { method: request.method } });
        }
    }
    const server = http.createServer({
        requestTimeout: clients.limits.requestMs,
        connectionsCheckingInterval,
        ...serverOptions,
        requireHostHeader: false,
    });
    clients.followServer(server, listener, (request, response) => {
        void handleRequest(request, response);
    });
    subscribeToClientErrors(server, reportFailure);
    // A connection that cannot be accepted, such as for want of a descriptor, is lost; the server goes on.
    const handleError = (error: Error): void => {
        reportFailure({ part, error });
    };
    const handleListening = (): void => {
        server.on("error", handleError);
    };
    server.once("listening", handleListening);
    return server;
}

/** Starts a server on IP:PORT. */
export function startListening(server: http.Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
