/** Connections on which this process sends requests, and the agent that opens them. */
import * as http from "node:http";
import * as net from "node:net";

/**
 * True for the error of a write to a peer that had ended its side of the connection before it closed it. The system
 * reports a reset without such an end with another code.
 *
 * @example
 * socket.on("error", error => isOrderlyClose(error)); // false for ECONNRESET
 */
export const isOrderlyClose = (error: NodeJS.ErrnoException | null | undefined): boolean => error?.code === "EPIPE";

/**
 * Socket that tells a reset from an orderly end while a request is still being written. Node reports a reset that
 * arrives together with the last bytes as the end of the connection. The write that is pending then fails in the same
 * turn of the event loop, but the HTTP client has closed the socket by that time.
 */
export class OutgoingSocket extends net.Socket {
    constructor(options?: net.SocketConstructorOpts) {
        super(options);
        // The HTTP client stops listening when a response ends, also while its request is still being written. An error
        // without a listener would end the process.
        this.on("error", () => undefined);
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (chunk !== null || this.writableLength === 0) {
            return super.push(chunk, encoding);
        }
        setImmediate(() => {
            if (!this.destroyed) {
                super.push(null);
            }
        });
        return false;
    }

    override _write(chunk: unknown, encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
        this.#ignoreOrderlyClose(callback, handleWritten => {
            super._write(chunk, encoding, handleWritten);
        });
    }

    override _writev(
        chunks: { chunk: unknown; encoding: BufferEncoding; }[],
        callback: (error?: Error | null) => void,
    ): void {
        this.#ignoreOrderlyClose(callback, handleWritten => {
            super._writev?.(chunks, handleWritten);
        });
    }

    /**
     * A peer may answer, end the connection in the orderly way and close it without having read the request. Its answer
     * is complete, so the failure of the pending write must not discard it; the end of the connection follows. A write
     * that fails at once keeps its error, as nothing of it can have been answered.
     */
    #ignoreOrderlyClose(
        callback: (error?: Error | null) => void,
        write: (handleWritten: (error?: NodeJS.ErrnoException | null) => void) => void,
    ): void {
        let isPending = false;
        write(error => {
            callback(isPending && isOrderlyClose(error) ? undefined : error);
        });
        isPending = true;
    }
}

/**
 * Agent whose connections are outgoing sockets; the base of all agents of a process.
 *
 * @example
 * const agent = new OutgoingAgent({ keepAlive: true, timeout: 30_000 }); // milliseconds
 */
export class OutgoingAgent extends http.Agent {
    override createConnection(options: net.NetConnectOpts): net.Socket {
        const socket = new OutgoingSocket(options);
        if (options.timeout !== undefined) {
            socket.setTimeout(options.timeout);
        }
        return socket.connect(options);
    }
}
