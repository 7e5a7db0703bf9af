/** How answers end on the wire. */
import type * as http from "node:http";

/** True when the answer says where it ends. One that does not ends with its connection. */
export const hasFraming = ({ headers }: http.IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/**
 * True when an answer that ended may be whole. Node's parser takes a reset for the end of an answer without a length.
 * A target that crashes closes its connection in the same way as one that has finished, so such an answer must be
 * relayed without a length, too.
 */
export function isWholeAnswer(answer: http.IncomingMessage): boolean {
    return answer.complete && (hasFraming(answer) || !answer.socket.errored);
}

/** Makes the answer to a caller end with its connection. */
export function removeFraming(response: http.ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}
