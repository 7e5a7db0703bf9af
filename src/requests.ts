/** Requests of callers, calls to targets and failures of attempts, independent of the wire format. */
import type { KeyHash, Millis, RequestId } from "./ids";

export type Endpoint = "chat" | "completions" | "service";

/** Request as received by the server for callers. The body stays in the adapter. */
export interface RequestArrival {
    readonly request: RequestId;
    readonly keyHash: KeyHash | undefined;
    readonly endpoint: Endpoint;
    /** Route named by the caller: the `model` field, or the service name in the path. */
    readonly routeName: string;
    readonly method: string;
    /** Path after the service name, including the query; empty for model requests. */
    readonly path: string;
    readonly stream: boolean;
    /** Prompt bytes in the order in which the engine processes them; empty for services. */
    readonly prompt: Uint8Array;
    readonly maxTokens: number | undefined;
    readonly priority: number | undefined;
    readonly bodyBytes: number;
    /** Hexadecimal SHA-256 of method or endpoint, path and body; empty for completions without an Idempotency-Key. */
    readonly bodyHash: string;
    readonly idempotencyKey: string | undefined;
    readonly timeoutMs: number | undefined;
    readonly arrivedAt: Millis;
}

/** Token counts reported by the engine. */
export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** Prompt tokens that were read from the engine's cache. */
    readonly cachedTokens: number;
}

/** Stored answer that can be replayed. */
export interface AnswerRecord {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

export type AttemptFailure =
    /** No connection was made. */
    | "connect"
    /** The connection closed or timed out before the answer was complete; for a stream, before it began. */
    | "closed"
    /** The stream ended early, had a gap in its event ids, carried an invalid or error event, or timed out. */
    | "broken_stream"
    /** The answer is not a complete answer to this request. */
    | "mismatched_answer"
    /** The engine cannot continue the stream. */
    | "not_resumable"
    | "answer_too_large"
    /** The answer cannot be relayed, or handling it failed. */
    | "malformed_answer";

/** Parameters of one call to a target. */
export interface TargetCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly endpoint: Endpoint;
    readonly stream: boolean;
    /** Time left until the deadline of the request. */
    readonly timeoutMs: number;
    /** Values that replace those in the caller's body; absent for services. */
    readonly engine?: {
        readonly model: string;
        readonly maxTokens: number;
        readonly cacheSalt: string;
        readonly priority: number;
        readonly blocks: readonly string[];
    };
    /** Opens a new connection: reusing an idle one that was closed meanwhile would leave the outcome unknown. */
    readonly needsNewConnection: boolean;
    /** Forwarded to services so that they can detect repeated calls. */
    readonly idempotencyKey?: string;
}
