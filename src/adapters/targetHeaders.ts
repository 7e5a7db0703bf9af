/** Headers between callers and targets: what is passed on, and what never is. */
import type * as http from "node:http";
import type { RequestId } from "../ids";
import type { TargetCall } from "../requests";
import { hasKey } from "./keyCheck";

/** Caller's headers that reach a plain service. Everything else is dropped, credentials and hop-by-hop headers included. */
const passedToTarget: readonly string[] = [
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

/** Headers of an answer that are not passed on to the caller: hop-by-hop ones and those that are set anew. */
const droppedFromAnswer: ReadonlySet<string> = new Set([
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

function findKey(headers: http.IncomingHttpHeaders): string | undefined {
    return headers.authorization?.replace(/^Bearer +/i, "").trim();
}

/** Headers of a request to a target. No value that contains the caller's key is passed on. */
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
    const key = findKey(headers);
    for (const name of passedToTarget) {
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

/** Headers of a target's answer that the caller gets. */
export function buildAnswerHeaders(headers: http.IncomingHttpHeaders, request: RequestId): http.OutgoingHttpHeaders {
    // RFC 9110, section 7.6.1: `Connection` names further headers that are for this hop only.
    const named = (headers.connection ?? "").split(",").map(name => name.trim().toLowerCase());
    const passed = Object.entries(headers).filter(([name]) => !droppedFromAnswer.has(name) && !named.includes(name));
    return { ...Object.fromEntries(passed), "x-request-id": request };
}
