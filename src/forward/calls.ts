/** Requests and answers of the forwarding mode, independent of the names on the wire. */
import type { IncomingHttpHeaders } from "node:http";
import type { KeyHash, Millis, ModelId, RequestId, TargetId } from "../ids";
import type { CachedPartKey, CacheSalt, PartId, WeightsVersion } from "./ids";

/** One part of a prompt with its length in tokens. */
export interface PromptPart {
    readonly id: PartId;
    readonly tokens: number;
}

/** What the headers of a request say. */
export interface RequestFacts {
    /** Id that the caller gave this attempt; undefined when it gave none. */
    readonly attemptId: string | undefined;
    readonly key: string | undefined;
    readonly model: ModelId | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** False when the request names no token counts. */
    readonly hasTokens: boolean;
    readonly parts: readonly PromptPart[];
    /** Time that the caller will wait. */
    readonly waitMs: number | undefined;
    /** Number of the last event that the caller has from an earlier attempt. */
    readonly lastEventId: number | undefined;
}

/** A request as the front server read it; its body and headers stay with the adapter. */
export interface ForwardArrival extends Omit<RequestFacts, "key"> {
    readonly request: RequestId;
    readonly keyHash: KeyHash | undefined;
    readonly host: string;
    /** Path with its query. */
    readonly path: string;
    readonly method: string;
    readonly bodyBytes: number;
    readonly arrivedAt: Millis;
}

/** How a request is sent to a target. */
export interface ForwardCall {
    readonly target: TargetId;
    readonly address: string;
    readonly instance: string;
    readonly account: string | undefined;
    /** Time left for the target. */
    readonly waitMs: number;
    /** Silence within an answer after which the attempt fails; undefined when it may last until the deadline. */
    readonly silentMs: number | undefined;
    /** Events up to this number have been relayed; the target goes on after it. */
    readonly resumeAfter: number | undefined;
    /** Present for engines. */
    readonly engine?: {
        readonly salt: CacheSalt;
        readonly version: WeightsVersion;
        /** 0 is the most urgent. */
        readonly priority: number;
        /** Address from which the engine fetches parts that it lacks. */
        readonly fetchFrom: string | undefined;
        /** Address to which the engine copies the parts that it read. */
        readonly copyTo: string | undefined;
    };
}

/** What the head of an answer says. */
export interface AnswerFacts {
    readonly attemptId: string | undefined;
    /** The target vouches for the answer. */
    readonly isSigned: boolean;
    /** The target says that it did not run the request and will not. */
    readonly isNotRun: boolean;
    /** Another target than the one meant, or other weights than expected. */
    readonly isMisdirected: boolean;
    readonly weights: WeightsVersion | undefined;
}

/** Names of headers, as the platform's adapter provides them. */
export interface HeaderCodec {
    decodeRequest(headers: IncomingHttpHeaders): RequestFacts;
    /** Headers of a request to a target, from those of the caller. Keys and headers of one connection are left out. */
    encodeRequest(rawHeaders: readonly string[], call: ForwardCall): string[];
    decodeAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
    /** Headers of an answer to the caller, without those of one connection and without a length. */
    encodeAnswer(rawHeaders: readonly string[]): string[];
    /** Header value that tells a caller when to come back. */
    encodeRetryAfter(seconds: number): string;
}

export type AttemptFault =
    /** No connection was made; nothing was sent. */
    | "connect"
    /** The connection closed before the answer began. */
    | "closed"
    /** Nothing came for too long. */
    | "silent"
    /** This process ended the call so that the stream goes on elsewhere. */
    | "moved"
    /** The answer ended early. */
    | "cut_short"
    /** The answer belongs to another request, or is no answer. */
    | "mismatched"
    /** A success that the target does not vouch for. */
    | "unsigned";

/** Order to an engine to take new weights. */
export interface WeightsOrder {
    readonly model: ModelId;
    readonly version: WeightsVersion;
    readonly holder: string;
    readonly fencing: number;
    /** Number of orders that the engine has accepted; it refuses the order when the number differs. */
    readonly expectedOrders: number;
}

export type WeightsOrderOutcome =
    /** The engine carries it out. */
    | "started"
    /** The engine holds that version already. */
    | "done"
    /** Another order is in progress, or the count of orders differs. */
    | "conflict"
    /** The engine has seen a higher fencing number. */
    | "outdated"
    | "misdirected"
    | "refused"
    /** It may be carried out, also later. */
    | "unknown";

/** State of an engine as it reports it, some hundred milliseconds old. */
export interface EngineReport {
    readonly weights: ReadonlyMap<ModelId, WeightsVersion>;
    readonly isBusy: boolean;
    readonly acceptedOrders: number;
}

/** Changes of what an engine or a store of parts holds. */
export interface PartsReport {
    /** Changes when the target restarts. */
    readonly epoch: number;
    /** Number from which the next report goes on. */
    readonly next: number;
    /** Events are missing between the last report and this one. */
    readonly hasGap: boolean;
    readonly changes: readonly {
        readonly part: CachedPartKey;
        /** Tokens of the part that are stored now; 0 when it was dropped. */
        readonly tokens: number;
    }[];
}
