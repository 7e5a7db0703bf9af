/** Stand-in for a target of the forward mode: a plain service or a model server, with faults. */
import * as http from "node:http";
import type * as net from "node:net";
import { closeServer, openServer, readBytes, readJson, sendAnswer } from "./platformHttp";

const headerNames = {
    attempt: "x-marjoramvane-attempt-id",
    signature: "x-marjoramvane-response-signature",
    notRun: "x-marjoramvane-not-executed",
    instance: "x-marjoramvane-target-instance",
    version: "x-marjoramvane-expect-version",
    parts: "x-marjoramvane-prompt-prefix",
    limit: "server-limit",
    weights: "x-marjoramvane-weight-versions",
} as const;

/** Record of one request that the server received. */
export interface ReceivedRequest {
    readonly attempt: string;
    readonly method: string;
    readonly path: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False when the server refused the request without running it. */
    readonly hasRun: boolean;
    /** True once the connection closed before the answer was complete. */
    isCancelled: boolean;
}

/** How the server treats requests until the behaviour is changed. */
export type ServerBehaviour =
    | "answer"
    /** Answers 503 with the header for requests that were not executed. */
    | "shed"
    /** Answers 500 after running. */
    | "error"
    /** Never answers. */
    | "hang"
    /** Runs the request and closes the connection without an answer. */
    | "lose"
    /** Closes the connection after two events of a stream, or in the middle of a plain answer. */
    | "cut"
    /** Answers without Content-Length and resets the connection in the middle of the answer. */
    | "unframedReset"
    /** Runs the request and answers 204 without a length, on a connection that is kept. */
    | "noContent"
    /** Sends streams without a length or chunks, and breaks them off after two events. */
    | "unframedCut"
    /** Sends streams without a length or chunks, slowly and to their end. */
    | "unframed"
    /** Answers 200 without the signature header. */
    | "unsigned"
    /** Sends a second answer on the connection after the correct one. */
    | "extra"
    /**
     * Refuses the first request like `shed`, keeps the connection, and writes that refusal once more before it runs and
     * answers the next request on the connection.
     */
    | "staleRefusal"
    /** Refuses like `shed`, but without reading the body, and closes the connection. */
    | "early";

export interface PlatformServer {
    readonly address: string;
    readonly instance: string;
    readonly receivedRequests: ReceivedRequest[];
    behaviour: ServerBehaviour;
    /** Version of the loaded weights; orders change it. */
    version: number;
    /**
     * Delay before an order is checked, applied and answered. A sender that times out sooner gets no answer; the order
     * is still applied, unless another one was applied first and the order's `expected` number is outdated.
     */
    orderDelayMs: number;
    /** The server ends when it begins to answer a prompt with this part; undefined for none. */
    crashingPart: string | undefined;
    /** Limit in requests a second that the server names in its answers; undefined for none. */
    requestLimit: number | undefined;
    /** Number of times that the server ended because of a part. */
    readonly crashCount: number;
    /** Orders that were applied. */
    readonly orders: { readonly holder: string; readonly fencingToken: number; readonly version: number; }[];
    /** Builds the registration that the server writes to the store. */
    buildRegistration(state?: "ready" | "draining"): Record<string, unknown>;
    close(): Promise<void>;
}

export interface PlatformServerOptions {
    readonly instance: string;
    readonly service: string;
    /** Name of the model; absent for a plain service. */
    readonly model?: string;
    /** Version of the server's software. */
    readonly softwareVersion?: string;
    /** Number of events in a stream. */
    readonly events?: number;
    /** Time between the events of a stream. */
    readonly eventMs?: number;
    readonly answerText?: string;
    /** Called when the server listens again, as a new run, after a crash. */
    readonly onRestart?: (server: PlatformServer) => void;
}

/** Time between the events of a slow stream. */
const slowEventMs = 60;
/** Time until the server listens again after a crash. */
const restartMs = 400;

interface OrderBody {
    readonly version: number;
    readonly holder: string;
    readonly "fencing-token": number;
    /** Number of orders that the sender expects the server to have accepted so far. */
    readonly expected?: number;
}

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a server on a free port of the loopback address. */
export async function startPlatformServer(options: PlatformServerOptions): Promise<PlatformServer> {
    const { instance, service, model, softwareVersion = "v1", events = 4, eventMs = 5, answerText = "done" } = options;
    const receivedRequests: ReceivedRequest[] = [];
    let isClosed = false;
    const orders: PlatformServer["orders"] = [];
    let epoch = Date.now();
    let crashCount = 0;
    let socketWithRefusal: net.Socket | undefined;

    function buildHeaders(request: http.IncomingMessage): http.OutgoingHttpHeaders {
        return {
            [headerNames.attempt]: request.headers[headerNames.attempt] ?? "",
            [headerNames.signature]: `${instance}.${request.headers[headerNames.attempt] ?? ""}`,
            ...(model === undefined ? {} : { [headerNames.weights]: server.version }),
            ...(server.requestLimit === undefined ? {} : { [headerNames.limit]: server.requestLimit }),
        };
    }

    function findRefusal(request: http.IncomingMessage): number | undefined {
        const expectedInstance = request.headers[headerNames.instance];
        const expectedVersion = request.headers[headerNames.version];
        if (
            (expectedInstance !== undefined && expectedInstance !== instance)
            || (expectedVersion ?? `${server.version}`) !== `${server.version}`
        ) {
            return 421;
        }
        if (server.behaviour === "staleRefusal" && !socketWithRefusal) {
            socketWithRefusal = request.socket;
            return 503;
        }
        return server.behaviour === "shed" || server.behaviour === "early" ? 503 : undefined;
    }

    /** Connections of streams without framing that have begun. */
    const unframedStreams = new Set<net.Socket>();

    /** Ends all connections and listens on the same port again after a while. */
    async function endRun(): Promise<void> {
        crashCount += 1;
        // An orderly close is the proper end of a stream without framing, so that nobody could tell that it broke off.
        for (const socket of unframedStreams) {
            socket.resetAndDestroy();
        }
        await closeServer(listener);
        await wait(restartMs);
        if (isClosed) {
            return;
        }
        epoch = Date.now();
        await openServer(listener, Number(address.split(":")[1]));
        options.onRestart?.(server);
    }

    async function sendStream(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const isUnframed = ["unframedCut", "unframed"].includes(server.behaviour);
        const pauseMs = server.behaviour === "unframed" ? slowEventMs : eventMs;
        if (isUnframed) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            request.socket.once("close", () => unframedStreams.delete(request.socket));
        }
        response.writeHead(200, { ...buildHeaders(request), "content-type": "text/event-stream" });
        const parts = String(request.headers[headerNames.parts] ?? "").split(",").map(part => part.split(":")[0]);
        if (server.crashingPart !== undefined && parts.includes(server.crashingPart)) {
            response.flushHeaders();
            void endRun();
            return;
        }
        const firstEventId = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = firstEventId; id <= events && !response.destroyed; id += 1) {
            if (server.behaviour === "cut" && id === firstEventId + 2) {
                response.write(`id: ${id}\nda`);
                // The bytes of the event may be lost, and an orderly close would then be the proper end of the stream.
                if (isUnframed) {
                    request.socket.resetAndDestroy();
                }
                response.destroy();
                return;
            }
            response.write(`id: ${id}\ndata: ${instance} ${id}\n\n`);
            if (isUnframed) {
                unframedStreams.add(request.socket);
            }
            await wait(pauseMs);
            if (server.behaviour === "unframedCut" && id === firstEventId + 1) {
                request.socket.resetAndDestroy();
                return;
            }
        }
        response.end();
    }

    function sendPlain(request: http.IncomingMessage, response: http.ServerResponse): void {
        const headers = buildHeaders(request);
        const answerHandlers: Readonly<Record<ServerBehaviour, () => void>> = {
            answer: () => {
                response.writeHead(200, { ...headers, "content-length": answerText.length });
                response.end(answerText);
            },
            shed: () => undefined,
            early: () => undefined,
            staleRefusal: () => {
                answerHandlers.answer();
            },
            hang: () => undefined,
            error: () => {
                response.writeHead(500, { ...headers, "content-length": 5 });
                response.end("error");
            },
            lose: () => {
                request.socket.destroy();
            },
            cut: () => {
                response.writeHead(200, { ...headers, "content-length": answerText.length + 10 });
                response.write(answerText);
                setTimeout(() => request.socket.destroy(), eventMs);
            },
            unframedReset: () => {
                const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`);
                request.socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}Connection: close\r\n\r\n${answerText}`);
                setTimeout(() => request.socket.resetAndDestroy(), eventMs);
            },
            noContent: () => {
                response.writeHead(204, headers);
                response.end();
            },
            unframedCut: () => {
                answerHandlers.unframedReset();
            },
            unframed: () => {
                answerHandlers.answer();
            },
            unsigned: () => {
                response.writeHead(200, { [headerNames.attempt]: headers[headerNames.attempt], "content-length": 2 });
                response.end("no");
            },
            extra: () => {
                response.writeHead(200, { ...headers, "content-length": answerText.length });
                response.end(answerText);
                const extraResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
                setTimeout(() => request.socket.write(extraResponse), eventMs);
            },
        };
        answerHandlers[server.behaviour]();
    }

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const refusal = findRefusal(request);
        const receivedRequest: ReceivedRequest = {
            attempt: String(request.headers[headerNames.attempt] ?? ""),
            method: request.method ?? "",
            path: request.url ?? "",
            headers: request.headers,
            body: server.behaviour === "early" ? "" : (await readBytes(request)).toString(),
            hasRun: refusal === undefined,
            isCancelled: false,
        };
        receivedRequests.push(receivedRequest);
        response.on("close", () => {
            receivedRequest.isCancelled = !response.writableFinished;
        });
        if (refusal !== undefined) {
            const closing = server.behaviour === "early" ? { connection: "close" } : {};
            response.writeHead(refusal, { ...closing, [headerNames.notRun]: "1", "content-length": 0 });
            response.end();
            return;
        }
        if (model !== undefined && ["answer", "cut", "unframedCut", "unframed"].includes(server.behaviour)) {
            await sendStream(request, response);
            return;
        }
        if (server.behaviour === "staleRefusal" && request.socket === socketWithRefusal) {
            request.socket.write(`HTTP/1.1 503 Busy\r\n${headerNames.notRun}: 1\r\nContent-Length: 0\r\n\r\n`);
        }
        sendPlain(request, response);
    }

    async function handleOrder(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const order = await readJson(request) as OrderBody;
        const { orderDelayMs } = server;
        if (orderDelayMs > 0) {
            await wait(orderDelayMs);
        }
        if (order.expected !== undefined && order.expected !== orders.length) {
            sendAnswer(response, 409, {});
            return;
        }
        orders.push({ holder: order.holder, fencingToken: order["fencing-token"], version: order.version });
        server.version = order.version;
        sendAnswer(response, 202, {});
    }

    const controlHandlers: Readonly<
        Record<string, (request: http.IncomingMessage, response: http.ServerResponse) => unknown>
    > = {
        "/-/report": (_request, response) => {
            const models = [{ name: model, version: server.version, adapters: [] }];
            sendAnswer(response, 200, { stage: "unified", models, busy: false, seq: orders.length });
        },
        "/-/order": handleOrder,
        "/-/kv-events": (_request, response) => {
            setTimeout(() => {
                sendAnswer(response, 200, { epoch, next: 0, lost: false, events: [] });
            }, 200);
        },
    };

    const listener = http.createServer((request, response) => {
        const path = (request.url ?? "").split("?")[0] ?? "";
        void (controlHandlers[path] ?? handleRequest)(request, response);
    });
    const address = await openServer(listener);
    const server: PlatformServer = {
        address,
        instance,
        receivedRequests,
        behaviour: "answer",
        version: 1,
        orderDelayMs: 0,
        crashingPart: undefined,
        requestLimit: undefined,
        get crashCount() {
            return crashCount;
        },
        orders,
        buildRegistration: (state = "ready") => ({
            service,
            address,
            zone: "zone-a",
            version: softwareVersion,
            slots: 8,
            state,
            "cold-left-ms": 0,
            stage: "unified",
            ...(model === undefined ? {} : { models: [{ name: model, version: server.version, adapters: [] }] }),
            seq: 1,
            born: epoch,
        }),
        close: () => {
            isClosed = true;
            return closeServer(listener);
        },
    };
    return server;
}
