/** HTTP helpers of the platform's stand-ins. */
import type * as http from "node:http";
import type { AddressInfo } from "node:net";

/** Listens on a port of the loopback address, by default a free one, and returns IP:PORT. */
export function openServer(server: http.Server, port = 0): Promise<string> {
    return new Promise(resolve => {
        server.listen(port, "127.0.0.1", () => {
            resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        });
    });
}

export function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => {
            resolve();
        });
        server.closeAllConnections();
    });
}

export async function readBytes(request: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** Reads a JSON body; returns undefined when the body is empty. */
export async function readJson(request: http.IncomingMessage): Promise<unknown> {
    const text = (await readBytes(request)).toString();
    return text === "" ? undefined : JSON.parse(text);
}

export function sendAnswer(
    response: http.ServerResponse,
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
): void {
    if (!response.destroyed) {
        response.writeHead(status, { "content-type": "application/json", ...headers });
        response.end(JSON.stringify(body));
    }
}
