/** Answers requests that Node's HTTP parser rejects. */
import { randomUUID } from "node:crypto";
import type * as http from "node:http";
import type { Duplex } from "node:stream";
import { formatRefusal, type RefusalCode, refusalKinds } from "../refusals";
import type { FailureReporter } from "../runner";
import { createListenerGuard } from "./listenerGuard";

/** Refusal codes by error code of the parser. For any other error the connection is closed without an answer. */
const parserRefusals: Readonly<Record<string, RefusalCode>> = {
    HPE_HEADER_OVERFLOW: "headers_too_large",
    ERR_HTTP_REQUEST_TIMEOUT: "bad_request",
    HPE_INVALID_METHOD: "bad_request",
    // From llhttp 9.3 (Node 20.20) on, control characters in the request target are rejected by the parser.
    HPE_INVALID_URL: "bad_request",
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
export function subscribeToClientErrors(server: http.Server, reportFailure: FailureReporter): void {
    const part = "clientErrors";
    const socketsInUse = new WeakSet<Duplex>();

    function handleRequest({ socket }: http.IncomingMessage, response: http.ServerResponse): void {
        const guard = createListenerGuard({ part, end: () => socket.destroy(), reportFailure });
        socketsInUse.add(socket);
        response.on("close", guard(() => socketsInUse.delete(socket)));
    }

    function handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
        const code = parserRefusals[error.code ?? ""];
        // A refusal must not be written into an answer in progress.
        if (code && socket.writable && !socketsInUse.has(socket)) {
            socket.end(formatAnswer(code));
            return;
        }
        socket.destroy();
    }

    server.on("request", handleRequest);
    server.on("checkContinue", handleRequest);
    server.on("clientError", handleClientError);
}
