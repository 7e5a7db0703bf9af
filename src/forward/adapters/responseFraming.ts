/** Message framing: how the end of an HTTP response is marked. */
import type * as http from "node:http";

/** True when the response has a length or is chunked; otherwise the close of its connection ends it. */
export const hasFraming = ({ headers }: http.IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/**
 * True when a response that ended may be complete. Node's parser takes a connection reset for the end of a response
 * without framing. A target that crashes closes its connection in the same way as one that has finished, so such a
 * response must be relayed without framing, too.
 */
export function isCompleteResponse(response: http.IncomingMessage): boolean {
    return response.complete && (hasFraming(response) || !response.socket.errored);
}

/** Makes the close of the connection mark the end of the response to a caller. */
export function removeFraming(response: http.ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}
