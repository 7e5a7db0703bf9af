/** Configuration and target registrations that the store holds, independent of their encoding. */
import type { AccountId, ConfigVersion, DataCentreId, KeyHash, ModelId, RouteId, TargetId } from "../ids";
import type { ServerVersion, ServiceId, WeightsVersion } from "./ids";

/**
 * Whether requests of a route may be retried: `repeatable` ones may run any number of times, `single` ones at most
 * once, and a `stream` at most once unless its route is resumable.
 */
export type RouteKind = "repeatable" | "single" | "stream";

export interface ForwardRoute {
    readonly id: RouteId;
    readonly kind: RouteKind;
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    readonly services: readonly { readonly service: ServiceId; readonly weight: number; }[];
    /** Maximum time for a request; the caller's own deadline may be shorter. */
    readonly timeoutMs: number;
    /** Target latency of a response, or of the first event of a stream. */
    readonly latencyObjectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of targets on which one request may run. */
    readonly maxTargets: number;
    /** Requests of this route need no API key. */
    readonly isOpen: boolean;
    /** Another target may resume a stream of this route after the last event that arrived. */
    readonly isResumable: boolean;
}

export interface EngineProperties {
    readonly models: readonly ModelId[];
    /** Tokens that fit into an engine's memory, shared by running requests and cached parts. */
    readonly memoryTokens: number;
    /** Maximum number of concurrent calls for one engine's cache events, over the whole fleet. */
    readonly maxFollowers: number;
}

export interface ForwardService {
    readonly id: ServiceId;
    /** Undefined for plain services. */
    readonly engine: EngineProperties | undefined;
}

/** A part store: a server that keeps cached parts of prompts for engines to fetch. */
export interface PartStore {
    readonly id: TargetId;
    readonly address: string;
    readonly dataCentre: DataCentreId;
    /** Maximum number of concurrent calls for its cache events, over the whole fleet. */
    readonly maxFollowers: number;
}

export interface ForwardAccount {
    readonly id: AccountId;
    readonly keys: readonly KeyHash[];
    /** Takes precedence over the route's priority; undefined counts as 0, the most urgent. */
    readonly priority: number | undefined;
    /** Requests of an isolated account share no cached parts with other accounts. */
    readonly isIsolated: boolean;
    /** Tokens per second over the whole fleet; 0 means no limit. */
    readonly rate: number;
    /** Tokens beyond the rate that may be used at once. */
    readonly burst: number;
    /** Tokens charged for a request without token counts. */
    readonly defaultRequestTokens: number;
}

export interface CallerLimits {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface ForwardDocument {
    readonly version: ConfigVersion;
    readonly routes: readonly ForwardRoute[];
    readonly services: ReadonlyMap<ServiceId, ForwardService>;
    readonly accounts: ReadonlyMap<AccountId, ForwardAccount>;
    readonly partStores: readonly PartStore[];
    /** False when the configuration has no accounts; requests then need no API key. */
    readonly needsKeys: boolean;
    readonly limits: CallerLimits;
}

/** Registration of a target, written by the target itself. */
export interface RegisteredTarget {
    /** Unique to one run of the target; a restart changes it. */
    readonly id: TargetId;
    /** Name of the target. Requests carry it, and another target at the same address refuses them. */
    readonly instance: string;
    readonly service: ServiceId;
    readonly address: string;
    readonly dataCentre: DataCentreId;
    readonly isLeaving: boolean;
    /** Requests that the target runs at once; undefined when its registration does not say. */
    readonly slots?: number;
    /** Version of the target's software. */
    readonly version: ServerVersion;
    /** Version of the weights of each model that the target holds. */
    readonly weights: ReadonlyMap<ModelId, WeightsVersion>;
}
