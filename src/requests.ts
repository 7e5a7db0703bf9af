/** What callers ask for and how attempts end, independent of the wire format. */
import type { KeyHash, Millis, RequestId } from "./ids";

export type Endpoint = "chat" | "completions" | "service";

/** A request as the caller's server read it; the body stays with the adapter. */
export interface RequestArrival {
    readonly request: RequestId;
    readonly keyHash: KeyHash | undefined;
    readonly endpoint: Endpoint;
    /** Route that the caller named: the `model` field, or the service name of the path. */
    readonly routeName: string;
    readonly method: string;
    /** Path below the service name, with its query; empty for model requests. */
    readonly path: string;
    readonly stream: boolean;
    /** Bytes of the prompt in the order in which the engine reads them; empty for services. */
    readonly prompt: Uint8Array;
    readonly maxTokens: number | undefined;
    readonly priority: number | undefined;
    readonly bodyBytes: number;
    /** SHA-256 of method, path and body in hexadecimal. */
    readonly bodyHash: string;
    readonly idempotencyKey: string | undefined;
    readonly timeoutMs: number | undefined;
    readonly arrivedAt: Millis;
}

/** Token counts as the engine reports them. */
export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** Part of the prompt that was read from the engine's cache. */
    readonly cachedTokens: number;
}

/** An answer that can be replayed. */
export interface AnswerRecord {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

export type AttemptFailure =
    /** No connection was made. */
    | "connect"
    /** The connection closed or fell silent before the answer began. */
    | "closed"
    /** The stream ended early, had a gap, or fell silent. */
    | "broken_stream"
    /** The answer named another request. */
    | "mismatched_answer"
    /** The engine cannot continue the stream. */
    | "not_resumable"
    | "answer_too_large";

/** How a request is sent to a target. */
export interface TargetCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly endpoint: Endpoint;
    readonly stream: boolean;
    /** Time left until the deadline of the request. */
    readonly timeoutMs: number;
    /** Values that replace those of the caller's body; absent for services. */
    readonly engine?: {
        readonly model: string;
        readonly maxTokens: number;
        readonly cacheSalt: string;
        readonly priority: number;
        readonly blocks: readonly string[];
    };
    /** Opens a connection of its own, so that a closed idle connection cannot leave the outcome unknown. */
    readonly freshConnection: boolean;
    /** Sent to services so that they can recognise a repeated call. */
    readonly idempotencyKey?: string;
}
