/** Targets and callers that decide which bytes they write, and see how a connection ends. */
import * as net from "node:net";
import { parseAddress } from "../../src/adapters/httpClient";
import { waitUntil } from "./platformFleet";

/** Request head as a target received it. */
export interface RawRequest {
    readonly method: string;
    readonly path: string;
    /** Value of a header; empty when the request does not carry it. */
    readonly getHeader: (name: string) => string;
}

export interface RawTarget {
    readonly address: string;
    readonly requests: RawRequest[];
    /** Number of connections that the target has accepted. */
    readonly connectionCount: number;
    close(): void;
}

function parseHead(text: string): RawRequest {
    const [requestLine = "", ...lines] = text.split("\r\n");
    const [method = "", path = ""] = requestLine.split(" ");
    const headers = new Map(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    return { method, path, getHeader: name => headers.get(name) ?? "" };
}

export interface RawTargetOptions {
    /**
     * Calls `answer` when the head of a request has arrived. The target reads no body that arrives later than its head,
     * and no further request on such a connection.
     */
    readonly answersEarly?: boolean;
}

/** Starts a target that calls `answer` for each request, once its body has arrived. */
export async function startRawTarget(
    answer: (socket: net.Socket, request: RawRequest) => void,
    { answersEarly = false }: RawTargetOptions = {},
): Promise<RawTarget> {
    const sockets = new Set<net.Socket>();
    const requests: RawRequest[] = [];
    let connectionCount = 0;
    const server = net.createServer({ noDelay: true }, socket => {
        connectionCount += 1;
        sockets.add(socket);
        let text = "";
        let hasStoppedReading = false;
        socket.setEncoding("latin1");
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", (chunk: string) => {
            if (hasStoppedReading) {
                return;
            }
            text += chunk;
            for (let headEnd = text.indexOf("\r\n\r\n"); headEnd >= 0; headEnd = text.indexOf("\r\n\r\n")) {
                const request = parseHead(text.slice(0, headEnd));
                const bodyEnd = headEnd + 4 + Number(request.getHeader("content-length"));
                hasStoppedReading = answersEarly && text.length < bodyEnd;
                if (hasStoppedReading) {
                    socket.pause();
                }
                else if (text.length < bodyEnd) {
                    return;
                }
                text = text.slice(bodyEnd);
                requests.push(request);
                answer(socket, request);
            }
        });
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return {
        address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        requests,
        get connectionCount() {
            return connectionCount;
        },
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** How a connection ended, as its caller sees it. */
export type ConnectionEnd = "open" | "orderly" | "reset";

export interface RawCaller {
    /** All bytes that the caller has received. */
    readonly text: string;
    readonly end: ConnectionEnd;
    write(text: string): void;
    /** Stops reading until `resume`. */
    pause(): void;
    resume(): void;
    waitForEnd(): Promise<ConnectionEnd>;
    waitForText(pattern: RegExp): Promise<void>;
    close(): void;
}

/** Opens a connection and reads its bytes as they come. */
export function openRawCaller(
    address: string,
    { onConnected = () => undefined }: { readonly onConnected?: () => void; } = {},
): RawCaller {
    const socket = net.connect(parseAddress(address));
    let text = "";
    let end: ConnectionEnd = "open";
    socket.on("connect", onConnected);
    socket.setEncoding("latin1");
    socket.on("data", (chunk: string) => {
        text += chunk;
    });
    socket.on("error", () => {
        end = "reset";
    });
    // Node reports an end when the last bytes and a reset are read together. Writing nothing then fails after a reset.
    socket.prependOnceListener("end", () => {
        socket.write(Buffer.alloc(0), error => {
            end = error ? "reset" : "orderly";
        });
    });
    return {
        get text() {
            return text;
        },
        get end() {
            return end;
        },
        write: bytes => {
            socket.write(bytes);
        },
        pause: () => {
            socket.pause();
        },
        resume: () => {
            socket.resume();
        },
        waitForEnd: async () => {
            await waitUntil(() => end !== "open", 10_000);
            return end;
        },
        waitForText: pattern => waitUntil(() => pattern.test(text), 10_000),
        close: () => {
            socket.destroy();
        },
    };
}

/** End of a body in chunks. */
export const lastChunk = /\r\n0\r\n\r\n$/;

/** Removes the framing of chunks, if any. The body may lack its end. */
export function decodeChunks(body: string): string {
    const header = /^([0-9a-f]+)\r\n/;
    let text = "";
    let rest = body;
    for (let found = header.exec(rest); found; found = header.exec(rest)) {
        const start = found[0].length;
        const length = Number.parseInt(found[1] ?? "", 16);
        text += rest.slice(start, start + length);
        rest = rest.slice(start + length + 2);
    }
    return text + rest;
}
