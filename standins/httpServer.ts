/** HTTP server for stand-ins with a lookup table of handlers by method and path. */
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

export interface StandinCall {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly url: URL;
    readonly body: string;
}

export type StandinHandler = (call: StandinCall) => void | Promise<void>;

export interface StandinServer {
    /** IP:PORT. */
    readonly address: string;
    /** Stops listening and closes every connection immediately, as a crash does. */
    stop(): Promise<void>;
    closeConnections(): void;
}

export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

async function readText(request: http.IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** Starts a server on loopback. Handlers are looked up by `METHOD /path`, then by `*`. */
export async function startStandinServer(
    { handlers, host = "127.0.0.1", port = 0 }: {
        readonly handlers: Readonly<Record<string, StandinHandler>>;
        readonly host?: string;
        readonly port?: number;
    },
): Promise<StandinServer> {
    const sockets = new Set<Socket>();
    const server = http.createServer((request, response) => {
        void (async () => {
            const url = new URL(request.url ?? "/", "http://127.0.0.1");
            const handler = handlers[`${request.method} ${url.pathname}`] ?? handlers["*"];
            if (!handler) {
                sendJson(response, 404, { error: { message: "No such path." } });
                return;
            }
            await handler({ request, response, url, body: await readText(request) });
        })().catch(() => response.destroy());
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const closeConnections = (): void => {
        for (const socket of sockets) {
            socket.destroy();
        }
    };
    return {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        closeConnections,
        stop: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                closeConnections();
            }),
    };
}
