/** How answers end on the wire. */
import type * as http from "node:http";

/**
 * True when an answer that ended is whole. One without a length ends with its connection, and Node's parser takes a
 * reset for such an end.
 */
export function isWholeAnswer(answer: http.IncomingMessage): boolean {
    const { headers, socket, complete } = answer;
    const hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return complete && (hasLength || !socket.errored);
}
