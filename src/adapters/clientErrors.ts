/** Answers requests that Node's HTTP parser rejects. */
import { randomUUID } from "node:crypto";
import type * as http from "node:http";
import type { Duplex } from "node:stream";
import { formatRefusal, type RefusalCode, refusalKinds } from "../refusals";

/** Refusal codes by error code of the parser. For any other error the connection is closed without an answer. */
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
    const requestId = randomUUID();
    const body = JSON.stringify(formatRefusal({ code, verdict: "not_run" }, requestId));
    return [
        `HTTP/1.1 ${status} Refused`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `x-request-id: ${requestId}`,
        "connection: close",
        "",
        body,
    ].join("\r\n");
}

/** Answers parser errors on the connections of a server. */
export function subscribeToClientErrors(server: http.Server): void {
    const socketsInUse = new WeakSet<Duplex>();
    server.on("request", (request, response) => {
        socketsInUse.add(request.socket);
        response.on("close", () => socketsInUse.delete(request.socket));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const code = parserRefusals[error.code ?? ""];
        // A refusal must not be written into an answer in progress.
        if (code && socket.writable && !socketsInUse.has(socket)) {
            socket.end(formatAnswer(code));
            return;
        }
        socket.destroy();
    });
}
