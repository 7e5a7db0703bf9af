/** Passes what a connection receives to the parser in small slices, so that reading can stop between two requests. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** The shortest valid requests have 18 bytes, so that a slice holds at most 28 of them. */
const minSliceBytes = 512;
/** Slices of a body whose length is not announced, which may end in each of them. */
const chunkedSliceBytes = 1024;
/** Slices of a long body; each costs a call of the parser. */
const maxSliceBytes = 8 * 1024;

/** Computes the length of the next slice; `reading` is the request whose body has not arrived whole. */
function computeSliceBytes(reading: IncomingMessage | undefined): number {
    if (!reading) {
        return minSliceBytes;
    }
    const length = reading.headers["content-length"];
    return length === undefined
        ? chunkedSliceBytes
        : Math.min(maxSliceBytes, Math.max(minSliceBytes, Number(length)));
}

export interface SlicedReadsOptions {
    /** Returns the request whose body is read; undefined between requests. */
    readonly getReading: () => IncomingMessage | undefined;
    /** True while requests wait: the paused stream is not resumed then. */
    readonly isBlocked: () => boolean;
}

/**
 * Slices the reads of a connection of Node's HTTP server. A read has up to 64 KiB, and the parser reports all requests in
 * it before anything can stop it: more than 3,000. A paused stream keeps slices that come after the pause.
 *
 * @example
 * server.on("connection", socket => subscribeToSlices(socket, { getReading, isBlocked }));
 */
export function subscribeToSlices(socket: Socket, { getReading, isBlocked }: SlicedReadsOptions): void {
    const push = socket.push.bind(socket);
    socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
        if (!Buffer.isBuffer(chunk)) {
            return push(chunk, encoding);
        }
        let wantsMore = true;
        for (let offset = 0; offset < chunk.length && !socket.destroyed;) {
            const end = offset + computeSliceBytes(getReading());
            wantsMore = push(chunk.subarray(offset, end));
            offset = end;
        }
        return wantsMore;
    };
    // Node's parser resumes the stream after each request, and when an answer has been taken.
    const resume = socket.resume.bind(socket);
    socket.resume = () => isBlocked() ? socket : resume();
    // With a listener for data, Node's parser reads from the stream instead of from the system's handle.
    socket.on("data", () => undefined);
}
