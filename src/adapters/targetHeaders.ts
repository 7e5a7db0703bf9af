/** Selects the headers that are forwarded between callers and targets. */
import type * as http from "node:http";
import type { RequestId } from "../ids";
import type { TargetCall } from "../requests";
import { hasKey } from "./keyCheck";

/** Request headers forwarded to plain services. All others are dropped, such as credentials and hop-by-hop headers. */
const forwardedRequestHeaders: readonly string[] = [
    "accept",
    "accept-language",
    "content-language",
    "content-type",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-unmodified-since",
    "range",
    "traceparent",
    "tracestate",
];

/** Answer headers not forwarded to the caller: hop-by-hop headers, cookies and headers that the router sets itself. */
const strippedAnswerHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "set-cookie",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-not-run",
    "x-request-id",
]);

function findCallerKey(headers: http.IncomingHttpHeaders): string | undefined {
    return headers.authorization?.replace(/^Bearer +/i, "").trim();
}

/** Builds the headers of a request to a target. Values that contain the caller's key are not forwarded. */
export function buildTargetHeaders(
    headers: http.IncomingHttpHeaders,
    request: RequestId,
    call: TargetCall,
): http.OutgoingHttpHeaders {
    const result: http.OutgoingHttpHeaders = {
        "x-request-id": request,
        "x-request-timeout-ms": String(call.timeoutMs),
    };
    if (call.engine) {
        result["content-type"] = "application/json";
        if (call.engine.blocks.length > 0) {
            result["x-prefix-blocks"] = call.engine.blocks.join(",");
        }
        return result;
    }
    const key = findCallerKey(headers);
    for (const name of forwardedRequestHeaders) {
        const value = headers[name];
        if (typeof value === "string" && !hasKey(value, key || undefined)) {
            result[name] = value;
        }
    }
    if (call.idempotencyKey !== undefined) {
        result["idempotency-key"] = call.idempotencyKey;
    }
    return result;
}

/** Builds the headers of a target's answer that are sent to the caller. */
export function buildAnswerHeaders(headers: http.IncomingHttpHeaders, request: RequestId): http.OutgoingHttpHeaders {
    // RFC 9110, section 7.6.1: the `Connection` header lists further hop-by-hop headers.
    const connectionHeaders = (headers.connection ?? "").split(",").map(name => name.trim().toLowerCase());
    const forwardedHeaders = Object.entries(headers).filter(([name]) =>
        !strippedAnswerHeaders.has(name) && !connectionHeaders.includes(name)
    );
    return { ...Object.fromEntries(forwardedHeaders), "x-request-id": request };
}
