/** Refusals: one table of all reasons why a request gets no full answer. */
import type { Verdict } from "./verdict";

interface RefusalKind {
    /** HTTP status of the answer. */
    readonly status: number;
    readonly message: string;
}

/** Refusal codes. Messages are for people; programs use the code. */
export const refusalKinds = {
    bad_request: { status: 400, message: "The request could not be understood." },
    body_too_large: { status: 413, message: "The request body is larger than this server accepts." },
    headers_too_large: { status: 431, message: "The request headers are larger than this server accepts." },
    key_missing: { status: 401, message: "Send your key in the Authorization header as a bearer token." },
    key_unknown: { status: 401, message: "This key is not known or has been withdrawn." },
    route_unknown: { status: 404, message: "There is no such route for this client account." },
    configuration_missing: { status: 503, message: "This server has no configuration yet. Try another entry address." },
    configuration_stale: {
        status: 503,
        message: "This server is cut off and cannot confirm that keys are still valid. Try another entry address.",
    },
    draining: { status: 503, message: "This server is shutting down. Use another entry address." },
    rate_limited: { status: 429, message: "The client account has used up its token rate." },
    too_large_for_burst: { status: 413, message: "The request needs more tokens than the client account's burst." },
    overloaded: { status: 503, message: "Too many requests are waiting." },
    prompt_quarantined: {
        status: 503,
        message: "Engines crash under a part of this prompt. It is refused for a time.",
    },
    no_target: { status: 503, message: "No target can take this request now." },
    internal_error: { status: 500, message: "This server failed while it handled the request." },
    deadline_exceeded: { status: 504, message: "The deadline of the request passed." },
    target_failed: { status: 502, message: "The target failed before it gave a full answer." },
    stream_interrupted: { status: 502, message: "The stream broke off and could not be resumed." },
    key_withdrawn: { status: 401, message: "The key was withdrawn while the request ran." },
    caller_gone: { status: 499, message: "The caller closed the connection." },
    idempotency_key_missing: { status: 400, message: "This route needs an Idempotency-Key header." },
    idempotency_key_expired: { status: 422, message: "The Idempotency-Key is too old to be checked." },
    idempotency_key_in_future: { status: 422, message: "The time in the Idempotency-Key lies too far in the future." },
    idempotency_key_reused: { status: 422, message: "The Idempotency-Key was used with another request body." },
    idempotency_in_progress: { status: 409, message: "A request with this Idempotency-Key is in progress." },
    idempotency_finished: {
        status: 409,
        message: "A request with this Idempotency-Key has run; its answer was not kept.",
    },
    idempotency_outcome_unknown: {
        status: 409,
        message: "A request with this Idempotency-Key ended without an answer; it may have run.",
    },
    idempotency_refused: {
        status: 409,
        message: "The target refused the request with this Idempotency-Key before running it. Use a new key.",
    },
    store_unavailable: {
        status: 503,
        message: "The request may run only once and the store that ensures this cannot be reached.",
    },
} as const satisfies Record<string, RefusalKind>;

export type RefusalCode = keyof typeof refusalKinds;

/** A refusal as it is sent to the caller. */
export interface Refusal {
    readonly code: RefusalCode;
    readonly verdict: Verdict;
    /** More specific message that replaces the one in the table. */
    readonly detail?: string;
    /** Seconds after which a retry may succeed. */
    readonly retryAfterSeconds?: number;
}

/** JSON body of a refusal. */
export interface RefusalBody {
    readonly error: {
        readonly code: RefusalCode;
        readonly message: string;
        readonly verdict: Verdict;
        readonly request_id: string;
    };
}

/**
 * Formats a refusal as the JSON body of the answer to the caller.
 *
 * @example
 * formatRefusal({ code: "key_missing", verdict: "not_run" }, "r1").error.code; // "key_missing"
 */
export function formatRefusal(refusal: Refusal, requestId: string): RefusalBody {
    const message = refusal.detail ?? refusalKinds[refusal.code].message;
    return { error: { code: refusal.code, message, verdict: refusal.verdict, request_id: requestId } };
}
