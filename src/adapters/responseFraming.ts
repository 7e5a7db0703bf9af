/** Message framing: how the end of an HTTP response is marked (RFC 9112, section 6.3). */
import type * as http from "node:http";
import type { Socket } from "node:net";
import { isOrderlyClose } from "./outgoingSocket";

/** What marks the end of a response. */
export type ResponseFraming =
    /** The end of its head; it has no body by definition. */
    | "head"
    | "length"
    | "chunks"
    /** The close of its connection. */
    | "connection";

const noContentStatus = 204;
const bodilessStatuses: ReadonlySet<number> = new Set([noContentStatus, 304]);

const chunkedCoding = "chunked";
/** Codings of a body that is sent as it is: the obsolete name for it, and an empty entry of the list. */
const plainCodings: ReadonlySet<string> = new Set(["identity", ""]);

/** Lists the codings that `Transfer-Encoding` names, in the order in which they were applied. */
function listTransferCodings({ headers }: http.IncomingMessage): readonly string[] {
    return headers["transfer-encoding"]?.split(",").map(coding => coding.trim().toLowerCase()) ?? [];
}

/**
 * Finds what marks the end of a response to a request with this method.
 *
 * @example
 * findFraming("GET", response); // "head" for a 204, whatever its headers say
 */
export function findFraming(method: string, response: http.IncomingMessage): ResponseFraming {
    const { statusCode = 0, headers } = response;
    if (method === "HEAD" || bodilessStatuses.has(statusCode)) {
        return "head";
    }
    const codings = listTransferCodings(response);
    if (codings.length > 0) {
        return codings.at(-1) === chunkedCoding ? "chunks" : "connection";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
}

/**
 * True when the parser removes all transfer codings of a response. It decodes chunks if they are the last coding; what
 * it leaves would reach the caller without the header that names it.
 *
 * @example
 * isDecodable("GET", response); // false for `Transfer-Encoding: gzip, chunked`
 */
export function isDecodable(method: string, response: http.IncomingMessage): boolean {
    const codings = listTransferCodings(response);
    return findFraming(method, response) === "head"
        || codings.every((coding, index) =>
            coding === chunkedCoding || (plainCodings.has(coding) && codings[index - 1] !== chunkedCoding)
        );
}

type CompletenessCheck = (response: http.IncomingMessage, socket: Socket) => boolean;

const completenessChecks: { readonly [Framing in ResponseFraming]: CompletenessCheck; } = {
    head: () => true,
    length: ({ complete }) => complete,
    chunks: ({ complete }) => complete,
    // Node's parser takes a connection reset for the end of a response without framing.
    connection: ({ complete }, { errored }) => complete && (!errored || isOrderlyClose(errored)),
};

export interface ResponseEnd {
    readonly framing: ResponseFraming;
    /** True when the response, which has ended, may be complete. */
    isComplete(): boolean;
}

/**
 * Describes the end of a response whose head has arrived. The socket is kept here: Node clears `response.socket` when it
 * hands the connection of a response back to the agent, which is before the "end" event.
 *
 * A target that crashes closes its connection in the same way as one that has finished, so a response with the framing
 * "connection" must be relayed without framing, too.
 */
export function createResponseEnd(method: string, response: http.IncomingMessage): ResponseEnd {
    const { socket } = response;
    const framing = findFraming(method, response);
    return { framing, isComplete: () => completenessChecks[framing](response, socket) };
}

/** Writes no bytes: nothing is sent, and the write fails if the connection was reset. */
function checkForReset(socket: Socket): void {
    if (socket.writable) {
        socket.write(Buffer.alloc(0));
    }
}

/**
 * Finds out whether the connection of a response ends before the response is complete. The parser reads to the end of the
 * connection when it does not recognize the coding, such as chunks with a tab after their name; the body is then coded.
 */
function recordEarlyEnd(response: http.IncomingMessage): () => boolean {
    const { socket } = response;
    let hasEndedEarly = false;
    const handleEnd = (): void => {
        hasEndedEarly = !response.complete;
    };
    const removeHandlers = (): void => {
        socket.off("end", handleEnd);
        socket.off("error", handleEnd);
    };
    socket.prependOnceListener("end", handleEnd);
    socket.prependOnceListener("error", handleEnd);
    response.once("close", removeHandlers);
    return () => hasEndedEarly;
}

/**
 * Follows a response from its head to its end. A reset that arrives together with the last bytes is reported by Node as
 * the end of the connection, so the connection is checked before its "end" event reaches the response.
 *
 * @example
 * const end = followResponseEnd("GET", response);
 * response.on("end", () => end.isComplete()); // false when the response was cut off
 */
export function followResponseEnd(method: string, response: http.IncomingMessage): ResponseEnd {
    const { socket } = response;
    const end = createResponseEnd(method, response);
    if (end.framing === "connection") {
        socket.prependOnceListener("end", checkForReset.bind(undefined, socket));
    }
    if (end.framing === "chunks") {
        const hasEndedEarly = recordEarlyEnd(response);
        return { framing: end.framing, isComplete: () => end.isComplete() && !hasEndedEarly() };
    }
    return end;
}

/**
 * Reads a response whose head is its end, so that its connection can be used again. The head of a 204 may announce a
 * body all the same; the parser would wait for its bytes, so the connection is closed.
 */
export function endBodilessResponse(response: http.IncomingMessage): void {
    const { statusCode, headers } = response;
    const hasNoLength = headers["content-length"] === undefined || headers["content-length"] === "0";
    if (statusCode === noContentStatus && (!hasNoLength || headers["transfer-encoding"] !== undefined)) {
        response.destroy();
        return;
    }
    response.resume();
}

/** Makes the close of the connection mark the end of the response to a caller. */
export function removeFraming(response: http.ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}

type LengthHeader = (source: http.IncomingMessage, bodyBytes: number) => number | undefined;

/** Value of `Content-Length` in the response to the caller, for a body that was read whole. */
const lengthHeaders: { readonly [Framing in ResponseFraming]: LengthHeader; } = {
    // The answer to HEAD names the length of the body that GET would return; RFC 9110 forbids a length with a 204.
    head: ({ statusCode = 0, headers }) => {
        const length = Number(headers["content-length"]);
        return bodilessStatuses.has(statusCode) || !Number.isSafeInteger(length) ? undefined : length;
    },
    length: (_source, bodyBytes) => bodyBytes,
    chunks: (_source, bodyBytes) => bodyBytes,
    connection: () => undefined,
};

/**
 * Computes the `Content-Length` with which a response that was read whole is relayed; undefined for none.
 *
 * @example
 * computeContentLength("connection", response, 5); // undefined: the close of the connection marks its end
 */
export const computeContentLength = (
    framing: ResponseFraming,
    source: http.IncomingMessage,
    bodyBytes: number,
): number | undefined => lengthHeaders[framing](source, bodyBytes);
