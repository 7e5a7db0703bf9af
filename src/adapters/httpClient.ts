/** HTTP client on Node's `http` for calls with short answers. */
import * as http from "node:http";
import type { Socket } from "node:net";
import { createBodyCollector } from "./bodyCollector";
import { startCallTimer } from "./callTimer";
import { applyHeadLimit } from "./headLimit";
import type { LinkMeter } from "./linkMeter";
import { createListenerGuard } from "./listenerGuard";
import { OutgoingAgent } from "./outgoingSocket";
import { createResponseBuffers } from "./responseBuffers";
import { followResponseEnd } from "./responseFraming";
import { isValidHead } from "./responseHead";

export interface HttpCall {
    readonly method: string;
    /** IP:PORT. */
    readonly address: string;
    readonly path: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    /** Time until the answer begins. It grows with the length of the body and with what of the answer has arrived. */
    readonly timeoutMs: number;
    /** Longest pause between two pieces of the answer; the default is `timeoutMs`. */
    readonly silenceMs?: number;
    /** Meter of the link that large answers of this server occupy; their time does not count against other calls. */
    readonly link?: LinkMeter;
    /** The default keeps connections for 5 s, as the agent of Node does. */
    readonly agent?: http.Agent;
    /** Maximum length of the answer. */
    readonly maxBytes?: number;
    /** Ends the call, and with it the transfer of its answer. */
    readonly signal?: AbortSignal;
    /** Called with the bytes of the answer that have arrived, at each piece. */
    readonly onReceived?: (receivedBytes: number) => void;
}

/** Maximum size of one answer, whatever its call allows, and of all answers that this process is reading. */
const maxAnswerBytes = 16 * 1024 * 1024;
const maxTotalAnswerBytes = 32 * 1024 * 1024;
/** Servers write answers to calls in blocks; the mean length of their pieces. */
const minMeanBytes = 64;
const callBuffers = createResponseBuffers({ maxBytes: maxAnswerBytes, maxTotalBytes: maxTotalAnswerBytes });

export interface HttpAnswer {
    readonly status: number;
    readonly text: string;
    readonly headers: http.IncomingHttpHeaders;
    /** Length of the body. */
    readonly receivedBytes: number;
    /** Milliseconds from the head of the answer to its end. */
    readonly receivedMs: number;
}

export interface CallProgress {
    /** True when the request may have reached the server. */
    readonly mayHaveBeenSent: boolean;
    /** Bytes of the answer's body that had arrived. */
    readonly receivedBytes: number;
}

class AnswerTooLongError extends Error {
    constructor() {
        super("The answer is longer, or in more pieces, than the limit.");
    }
}

/** Error of an HTTP call, with how far the call had come. */
export class HttpCallError extends Error implements CallProgress {
    readonly mayHaveBeenSent: boolean;
    readonly receivedBytes: number;
    /** True when the answer was longer than allowed; the same call would fail again. */
    readonly isTooLong: boolean;
    /** True when no process listens at the address. */
    readonly isConnectionRefused: boolean;

    constructor(cause: Error, { mayHaveBeenSent, receivedBytes }: CallProgress) {
        super(cause.message);
        this.name = "HttpCallError";
        this.mayHaveBeenSent = mayHaveBeenSent;
        this.receivedBytes = receivedBytes;
        this.isTooLong = cause instanceof AnswerTooLongError;
        this.isConnectionRefused = isConnectionRefused(cause);
    }
}

/** True when the host refused a connection, since no process listens at the address. */
export const isConnectionRefused = (error: NodeJS.ErrnoException): boolean => error.code === "ECONNREFUSED";

/** Splits IP:PORT into the options of Node's `http`. */
export function parseAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}

/** Calls the handler once, when the first byte of a request is about to be written to a connected socket. */
export function subscribeToFirstWrite(request: http.ClientRequest, handler: () => void): void {
    const handleSocket = (socket: Socket): void => {
        if (socket.connecting) {
            socket.once("connect", handler);
        }
        else {
            handler();
        }
    };
    request.once("socket", handleSocket);
}

const defaultAgent = new OutgoingAgent({ keepAlive: true, scheduling: "lifo", timeout: 5000 });

/** Sends a request and reads the whole answer. */
export function sendHttpCall(call: HttpCall): Promise<HttpAnswer> {
    const { method, address, path, headers = {}, body, maxBytes = maxAnswerBytes } = call;
    const { agent = defaultAgent, signal } = call;
    return new Promise((resolve, reject) => {
        let mayHaveBeenSent = false;
        let receivedBytes = 0;
        const request = http.request({
            ...parseAddress(address),
            method,
            path,
            headers: body === undefined ? headers : { "content-length": Buffer.byteLength(body), ...headers },
            agent,
            ...(signal ? { signal } : {}),
        });
        const handleTimeout = (): void => {
            request.destroy(new Error("The call timed out."));
        };
        const timer = startCallTimer({ ...call, onTimeout: handleTimeout });
        const handleError = (error: Error): void => {
            timer.end();
            reject(new HttpCallError(error, { mayHaveBeenSent, receivedBytes }));
        };
        subscribeToFirstWrite(request, () => {
            mayHaveBeenSent = true;
        });
        // The caller of this function gets what a listener throws, and reports it.
        const guard = createListenerGuard({
            part: "httpClient",
            end: () => request.destroy(),
            reportFailure: ({ error }) => {
                handleError(error instanceof Error ? error : new Error(String(error)));
            },
        });
        const handleHead = (response: http.IncomingMessage): void => {
            if (!isValidHead(method, response)) {
                request.destroy(new Error("The head of the answer is malformed."));
                return;
            }
            const handleTooLong = (): void => {
                request.destroy(new AnswerTooLongError());
            };
            if (Number(response.headers["content-length"]) > maxBytes) {
                handleTooLong();
                return;
            }
            const body = createBodyCollector(callBuffers, { onDiscarded: guard(handleTooLong), minMeanBytes });
            const end = followResponseEnd(method, response);
            const headAt = performance.now();
            timer.addBytes(0);
            const handleData = (chunk: Buffer): void => {
                receivedBytes += chunk.length;
                timer.addBytes(chunk.length);
                if (!request.destroyed && (receivedBytes > maxBytes || !body.add(chunk))) {
                    handleTooLong();
                    return;
                }
                call.onReceived?.(receivedBytes);
            };
            const handleEnd = (): void => {
                timer.end();
                if (end.isComplete()) {
                    const { statusCode: status = 0, headers } = response;
                    const text = body.take().toString("utf8");
                    resolve({ status, text, headers, receivedBytes, receivedMs: performance.now() - headAt });
                }
                else {
                    handleError(new Error("The connection closed before the answer was complete."));
                }
            };
            response.on("data", guard(handleData));
            response.on("error", handleError);
            response.on("end", guard(handleEnd));
            response.on("close", body.release);
        };
        const handleHeadTooLong = (): void => {
            request.destroy(new Error("The head of the answer is longer than the limit."));
        };
        applyHeadLimit(request, { guard, onTooLong: handleHeadTooLong });
        request.on("error", handleError);
        request.on("response", guard(handleHead));
        request.end(body);
    });
}

/** Creates an agent that keeps a bounded number of idle connections. */
export function createKeepAliveAgent({ maxSockets = 64 }: { readonly maxSockets?: number; } = {}): http.Agent {
    return new OutgoingAgent({ keepAlive: true, maxSockets, maxFreeSockets: 16, timeout: 30_000 });
}

/** Agent that opens a connection for each request. */
export const singleUseAgent: http.Agent = new OutgoingAgent();
