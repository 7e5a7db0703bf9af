/** Requests and responses of the forwarding mode, independent of the names on the wire. */
import type { IncomingHttpHeaders } from "node:http";
import type { KeyHash, Millis, ModelId, RequestId, TargetId } from "../ids";
import type { CachedPartKey, CacheSalt, PartId, WeightsVersion } from "./ids";

/** One part of a prompt with its length in tokens. */
export interface PromptPart {
    readonly id: PartId;
    readonly tokens: number;
}

/** Decoded headers of a caller's request. */
export interface RequestHeaderFields {
    /** False when a header that decides what the request costs its account cannot be understood. */
    readonly isWellFormed: boolean;
    /** Id that the caller gave this attempt; undefined when it gave none. */
    readonly attemptId: string | undefined;
    /** API key. */
    readonly key: string | undefined;
    readonly model: ModelId | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** False when the header with the token counts is absent; both counts are 0 then. */
    readonly hasTokenCounts: boolean;
    /** Parts of the prompt, in order. */
    readonly parts: readonly PromptPart[];
    /** Time until the caller's deadline. */
    readonly callerTimeoutMs: number | undefined;
    /** Id of the last stream event that the caller received in an earlier attempt. */
    readonly lastEventId: number | undefined;
}

/** A request that the front server has read whole. The adapter keeps its body and raw headers. */
export interface ForwardArrival extends Omit<RequestHeaderFields, "key" | "isWellFormed"> {
    readonly request: RequestId;
    readonly keyHash: KeyHash | undefined;
    readonly host: string;
    /** Path with its query. */
    readonly path: string;
    readonly method: string;
    readonly bodyBytes: number;
    readonly arrivedAt: Millis;
}

/** One attempt to send a request to a target. */
export interface ForwardCall {
    readonly target: TargetId;
    readonly address: string;
    /** Registered name of the target; a target refuses requests that carry another name. */
    readonly instance: string;
    readonly account: string | undefined;
    /** Time until the deadline of the request. */
    readonly timeLeftMs: number;
    /** Idle time within a response after which another target is considered; undefined to wait until the deadline. */
    readonly idleTimeoutMs: number | undefined;
    /** Id of the last event that the caller has; the target resumes the stream with the next one. */
    readonly resumeAfterEventId: number | undefined;
    /** Present for engines. */
    readonly engine?: {
        readonly salt: CacheSalt;
        /** Version of the weights that the engine must have; undefined when it is not known. */
        readonly version: WeightsVersion | undefined;
        /** 0 is the most urgent. */
        readonly priority: number;
        /** Address from which the engine fetches cached parts that it lacks. */
        readonly fetchFrom: string | undefined;
        /** Address to which the engine copies the parts of the prompt once it has computed them. */
        readonly copyTo: string | undefined;
    };
}

/** Decoded status and headers of a target's response. */
export interface ResponseHeaderFields {
    readonly attemptId: string | undefined;
    /** The response carries the target's signature header; its value is not checked. */
    readonly isSigned: boolean;
    /** The target reports that it has not run the request and will not run it. */
    readonly isNotRun: boolean;
    /** The request reached another target than the one meant, or one with other weights than expected. */
    readonly isMisdirected: boolean;
    /** Version of the weights that the target reports with its response. */
    readonly weightsVersion: WeightsVersion | undefined;
    /** Requests a second that the target takes from the whole fleet; undefined when it names no limit. */
    readonly requestsPerSecond: number | undefined;
    /** The target says that it leaves. */
    readonly isLeaving: boolean;
    /** Milliseconds for which the target wants nothing from this process; undefined when it does not say. */
    readonly retryAfterMs: number | undefined;
}

/** Decodes and encodes the platform's headers. */
export interface HeaderCodec {
    decodeRequest(headers: IncomingHttpHeaders): RequestHeaderFields;
    /** Builds the headers of a request to a target from the caller's, without its key and hop-by-hop headers. */
    encodeRequest(rawHeaders: readonly string[], call: ForwardCall): string[];
    decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseHeaderFields;
    /** Builds the headers of the response to the caller, without hop-by-hop headers and `Content-Length`. */
    encodeResponse(rawHeaders: readonly string[]): string[];
    /** Formats the value of the `Retry-After` header. */
    encodeRetryAfter(seconds: number): string;
}

export type AttemptFault =
    /** No connection was established; nothing was sent. */
    | "connect"
    /** The host refused the connection, since no process listens at the address; nothing was sent. */
    | "connection_refused"
    /** The connection closed before the response began. */
    | "closed"
    /** No data arrived within the idle timeout, and another target takes the request. */
    | "silent"
    /** This process ended the attempt to resume the stream on another target. */
    | "moved"
    /** The response ended before it was complete. */
    | "cut_short"
    /** A response without framing ended, and no process listens at the target's address any more. */
    | "target_ended"
    /** A response without framing ended, and nothing shows whether its target still runs. */
    | "end_unconfirmed"
    /** The response has more informational responses, bytes, or bytes in one event than this process accepts. */
    | "too_long"
    /** The response cannot be relayed, or handling it failed. */
    | "malformed"
    /** The request could not be written; nothing was sent. */
    | "not_sent"
    /** The response carries the id of another attempt, or the ids of its events are not consecutive. */
    | "mismatched"
    /** A response with a 2xx status lacks the target's signature header. */
    | "unsigned";

/** Order to an engine to load a version of a model's weights. */
export interface WeightsOrder {
    readonly model: ModelId;
    readonly version: WeightsVersion;
    /** VM of the rollout leader (`marjoramvane/duties/weights`), which sends the order. */
    readonly holder: string;
    /** Fencing token of the rollout leadership. */
    readonly fencingToken: number;
    /** Number of orders that the engine reported as accepted; it refuses the order if the number has changed. */
    readonly expectedOrderCount: number;
}

export type WeightsOrderOutcome =
    /** The engine has begun to load the version. */
    | "started"
    /** The engine already has the version loaded. */
    | "done"
    /** Another order is in progress, the number of accepted orders differs, or the order was not sent. */
    | "conflict"
    /** The engine has seen a higher fencing token. */
    | "outdated"
    /** Another target answered at the address. */
    | "misdirected"
    | "refused"
    /** No response arrived; the engine may still carry the order out. */
    | "unknown";

/** State that an engine reports; it lags behind by a few hundred milliseconds. */
export interface EngineReport {
    readonly weights: ReadonlyMap<ModelId, WeightsVersion>;
    /** No order is sent to a busy engine. */
    readonly isBusy: boolean;
    /** Number of orders that the engine has accepted. */
    readonly acceptedOrderCount: number;
}

/** Cache events of an engine or a part store: parts that it stored and dropped. */
export interface PartsReport {
    /** Changes when the target restarts. */
    readonly epoch: number;
    /** Event number to request the next report from. */
    readonly nextEventNumber: number;
    /** Events between the last report and this one were lost. */
    readonly hasGap: boolean;
    readonly changes: readonly {
        readonly part: CachedPartKey;
        /** Tokens of the part that are stored after the event; 0 when it was dropped. */
        readonly tokens: number;
    }[];
}
