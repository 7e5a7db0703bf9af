/** HTTP server whose answers are sent piece by piece, and a clock that the test moves between the pieces. */
import * as http from "node:http";
import type { Socket } from "node:net";
import { vi } from "vitest";
import { OutgoingAgent } from "../../src/adapters/outgoingSocket";
import { closeServer, openServer, readBytes } from "../../standins/platformHttp";

export interface PacedRequest {
    readonly url: URL;
    readonly body: string;
    readonly response: http.ServerResponse;
}

export interface PacedServer {
    readonly address: string;
    /** Waits for the next request that nothing has taken yet. */
    waitForRequest(): Promise<PacedRequest>;
    /**
     * Sends the text in pieces of the given length. After each piece has been received, the clock moves on by `everyMs`.
     * Stops when the caller has closed the connection.
     */
    sendPieces(response: http.ServerResponse, text: string, options: PieceOptions): Promise<void>;
    close(): Promise<void>;
}

export interface PieceOptions {
    readonly pieceBytes: number;
    readonly everyMs: number;
}

/** Replaces timers and the monotonic clock, but leaves connections alone. */
export const startMovedClock = (): void => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"] });
};

/** Lets connections do their work until the condition holds. */
export async function waitForConnections(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Starts a server on loopback. */
export async function startPacedServer(): Promise<PacedServer> {
    const requests: PacedRequest[] = [];
    const clientSockets = new Set<Socket>();
    const createConnection = OutgoingAgent.prototype.createConnection;
    const spy = vi.spyOn(OutgoingAgent.prototype, "createConnection").mockImplementation(
        function(this: OutgoingAgent, options) {
            const socket = createConnection.call(this, options);
            clientSockets.add(socket);
            return socket;
        },
    );
    const server = http.createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://server");
        void readBytes(request).then(body => requests.push({ url, body: body.toString(), response }));
    });
    const address = await openServer(server);

    const countReceivedBytes = (port: number | undefined): number =>
        [...clientSockets].find(({ localPort }) => localPort === port)?.bytesRead ?? 0;

    return {
        address,
        waitForRequest: async () => {
            await waitForConnections(() => requests.length > 0);
            return requests.shift() as PacedRequest;
        },
        sendPieces: async (response, text, { pieceBytes, everyMs }) => {
            const { socket } = response;
            const port = socket?.remotePort;
            for (let offset = 0; offset < text.length && !response.destroyed; offset += pieceBytes) {
                response.write(text.slice(offset, offset + pieceBytes));
                await waitForConnections(() =>
                    response.destroyed
                    || (socket?.writableLength === 0 && countReceivedBytes(port) >= (socket.bytesWritten))
                );
                await vi.advanceTimersByTimeAsync(everyMs);
            }
        },
        close: async () => {
            spy.mockRestore();
            clientSockets.forEach(socket => socket.destroy());
            await closeServer(server);
        },
    };
}
