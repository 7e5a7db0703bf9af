/** Refuses requests that Node's parser rejects before they become requests. */
import { randomUUID } from "node:crypto";
import type * as http from "node:http";
import type { Duplex } from "node:stream";
import { formatRefusal, type RefusalCode, refusalKinds } from "../refusals";

/** Refusals for error codes of the parser; any other error of a connection gets no answer. */
const parserRefusals: Readonly<Record<string, RefusalCode>> = {
    HPE_HEADER_OVERFLOW: "headers_too_large",
    ERR_HTTP_REQUEST_TIMEOUT: "bad_request",
    HPE_INVALID_METHOD: "bad_request",
    HPE_INVALID_HEADER_TOKEN: "bad_request",
    HPE_INVALID_CONTENT_LENGTH: "bad_request",
    HPE_UNEXPECTED_CONTENT_LENGTH: "bad_request",
};

function formatAnswer(code: RefusalCode): string {
    const { status } = refusalKinds[code];
    const request = randomUUID();
    const body = JSON.stringify(formatRefusal({ code, verdict: "not_run" }, request));
    return [
        `HTTP/1.1 ${status} Refused`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `x-request-id: ${request}`,
        "connection: close",
        "",
        body,
    ].join("\r\n");
}

/** Subscribes to parser errors of a server. */
export function subscribeToClientErrors(server: http.Server): void {
    const busy = new WeakSet<Duplex>();
    server.on("request", (request, response) => {
        busy.add(request.socket);
        response.on("close", () => busy.delete(request.socket));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const code = parserRefusals[error.code ?? ""];
        // An answer that is under way must not be mixed with a refusal.
        if (code && socket.writable && !busy.has(socket)) {
            socket.end(formatAnswer(code));
            return;
        }
        socket.destroy();
    });
}
