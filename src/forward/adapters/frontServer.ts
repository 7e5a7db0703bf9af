/** HTTP server for callers: reads requests whole, posts them as events, writes refusals. */
import { createHash, randomUUID } from "node:crypto";
import * as http from "node:http";
import { readBody } from "../../adapters/callerServer";
import { subscribeToClientErrors } from "../../adapters/clientErrors";
import { parseAddress } from "../../adapters/httpClient";
import { type RequestId, toKeyHash, toRequestId } from "../../ids";
import { formatRefusal, type Refusal, refusalKinds } from "../../refusals";
import type { Clock } from "../../runner";
import type { HeaderCodec } from "../calls";
import type { CallerLimits } from "../document";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import type { OpenForward, OpenForwards } from "./openForwards";

/** Headers larger than this are refused by the parser; the limit of the configuration lies below it. */
const parserHeaderBytes = 64 * 1024;
/** Bodies accepted before a configuration says how large they may be. */
const initialBodyBytes = 4 * 1024 * 1024;
/** The server waits a little longer than callers may stay idle, so that their last request is not cut. */
const idleMarginMs = 1000;

export interface FrontServerOptions {
    /** IP:PORT. */
    readonly address: string;
    readonly codec: HeaderCodec;
    readonly clock: Clock;
    readonly post: (event: ForwardEvent) => void;
    readonly openForwards: OpenForwards;
    /** Called for a request that ended before it was read whole. */
    readonly onUnread: (reason: string) => void;
}

export interface FrontServer {
    start(): Promise<void>;
    refuse(effect: ForwardEffectOf<"refuseRequest">): void;
    interrupt(effect: ForwardEffectOf<"interruptAnswer">): void;
    applyLimits(limits: CallerLimits): void;
    /** From now on callers are told to close their connections. */
    startClosing(): void;
    isClosing(): boolean;
    close(): void;
}

/** Starts a server on IP:PORT. */
export function openListener(server: http.Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

function writeRefusal(
    codec: HeaderCodec,
    response: http.ServerResponse,
    id: string,
    refusal: Refusal,
    isClosing: boolean,
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = JSON.stringify(formatRefusal(refusal, id));
    const headers: http.OutgoingHttpHeaders = {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    };
    if (refusal.retryAfterSeconds !== undefined) {
        headers["retry-after"] = codec.encodeRetryAfter(refusal.retryAfterSeconds);
    }
    if (isClosing || refusal.code === "body_too_large") {
        headers["connection"] = "close";
    }
    response.writeHead(refusalKinds[refusal.code].status, headers);
    response.end(body);
}

/** Host without its port, in lower case. */
const parseHost = (request: http.IncomingMessage): string =>
    (request.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();

/** Creates the server for callers. */
export function createFrontServer(options: FrontServerOptions): FrontServer {
    const { address, codec, clock, post, openForwards, onUnread } = options;
    let maxBodyBytes = initialBodyBytes;
    let isClosing = false;

    /** Id of the request in this process: the caller's id, unless that one is in use. */
    function createRequestId(attemptId: string | undefined): RequestId {
        const id = toRequestId(attemptId ?? randomUUID());
        return openForwards.has(id) ? toRequestId(`${id}~${randomUUID()}`) : id;
    }

    function subscribeToEnd(open: OpenForward): void {
        const { id, response } = open;
        response.on("error", () => {
            // A write crossed the end of the connection; "close" follows and reports it.
            response.destroy();
        });
        response.on("close", () => {
            post(
                response.writableFinished
                    ? { kind: "answerDelivered", request: id }
                    : { kind: "callerGone", request: id },
            );
        });
    }

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const arrivedAt = clock.getNow();
        const { key, ...facts } = codec.decodeRequest(request.headers);
        const body = await readBody(request, maxBodyBytes);
        const id = createRequestId(facts.attemptId);
        if (!body) {
            writeRefusal(codec, response, id, { code: "body_too_large", verdict: "not_run" }, isClosing);
            return;
        }
        if (response.destroyed) {
            return;
        }
        const open: OpenForward = {
            id,
            attemptId: facts.attemptId ?? id,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            rawHeaders: request.rawHeaders,
            body,
            response,
        };
        openForwards.add(open);
        subscribeToEnd(open);
        post({
            kind: "requestArrived",
            arrival: {
                ...facts,
                request: id,
                keyHash: key === undefined
                    ? undefined
                    : toKeyHash(createHash("sha256").update(key).digest("hex")),
                host: parseHost(request),
                path: open.path,
                method: open.method,
                bodyBytes: body.length,
                arrivedAt,
            },
        });
    }

    const server = http.createServer({ maxHeaderSize: parserHeaderBytes }, (request, response) => {
        handleRequest(request, response).catch((error: unknown) => {
            // The caller closed the connection while its request was read.
            onUnread(error instanceof Error ? error.message : String(error));
            response.destroy();
        });
    });
    subscribeToClientErrors(server);

    return {
        start: () => openListener(server, address),
        refuse: ({ request, refusal }) => {
            const open = openForwards.get(request);
            if (open) {
                writeRefusal(codec, open.response, open.attemptId, refusal, isClosing);
            }
        },
        interrupt: ({ request }) => {
            openForwards.get(request)?.response.destroy();
        },
        applyLimits: limits => {
            maxBodyBytes = limits.bodyBytes;
            server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
            server.headersTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs + idleMarginMs;
        },
        startClosing: () => {
            isClosing = true;
        },
        isClosing: () => isClosing,
        close: () => {
            server.close();
            server.closeIdleConnections();
        },
    };
}
