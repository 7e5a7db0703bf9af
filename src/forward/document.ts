/** What operators and targets publish in the store, independent of its encoding. */
import type { AccountId, ConfigVersion, DataCentreId, KeyHash, ModelId, RouteId, TargetId } from "../ids";
import type { ServiceId, WeightsVersion } from "./ids";

/**
 * What may be repeated: `repeatable` requests may run any number of times, `single` ones at most once. A `stream`
 * is single unless its route says that it can be resumed.
 */
export type RouteKind = "repeatable" | "single" | "stream";

export interface ForwardRoute {
    readonly id: RouteId;
    readonly kind: RouteKind;
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    readonly services: readonly { readonly service: ServiceId; readonly weight: number; }[];
    /** Longest time that the operator wants a request kept waiting. */
    readonly timeoutMs: number;
    /** Time within which an answer, or the first event of a stream, is on time. */
    readonly objectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Targets on which one request may run. */
    readonly maxTargets: number;
    /** Open routes need no key. */
    readonly isOpen: boolean;
    /** A stream of this route may go on at another target after the last event that arrived. */
    readonly isResumable: boolean;
}

export interface EngineFacts {
    readonly models: readonly ModelId[];
    /** Tokens that fit into an engine's memory. */
    readonly memoryTokens: number;
    /** Processes that may follow one engine's cache events at the same time. */
    readonly maxFollowers: number;
}

export interface ForwardService {
    readonly id: ServiceId;
    /** Present for services of engines. */
    readonly engine: EngineFacts | undefined;
}

/** A store of cached parts beside the engines. */
export interface PartStore {
    readonly id: TargetId;
    readonly address: string;
    readonly dataCentre: DataCentreId;
    readonly maxFollowers: number;
}

export interface ForwardAccount {
    readonly id: AccountId;
    readonly keys: readonly KeyHash[];
    /** Goes before the priority of the route when it is present. */
    readonly priority: number | undefined;
    /** An isolated account shares no cached part with others. */
    readonly isIsolated: boolean;
    /** Tokens a second over the whole fleet; 0 means no limit. */
    readonly rate: number;
    readonly burst: number;
    /** Tokens charged for a request that names none. */
    readonly plainTokens: number;
}

export interface CallerLimits {
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The configuration of one version. */
export interface ForwardDocument {
    readonly version: ConfigVersion;
    readonly routes: readonly ForwardRoute[];
    readonly services: ReadonlyMap<ServiceId, ForwardService>;
    readonly accounts: ReadonlyMap<AccountId, ForwardAccount>;
    readonly partStores: readonly PartStore[];
    /** False when the configuration names no accounts; requests then need no key. */
    readonly needsKeys: boolean;
    readonly limits: CallerLimits;
}

/** A target as it registered itself. Each start of a target has an id of its own. */
export interface RegisteredTarget {
    readonly id: TargetId;
    /** Name that a target checks when a request says which one it is meant for. */
    readonly instance: string;
    readonly service: ServiceId;
    readonly address: string;
    readonly dataCentre: DataCentreId;
    readonly isLeaving: boolean;
    /** Version of the weights of each model that the target holds. */
    readonly weights: ReadonlyMap<ModelId, WeightsVersion>;
}
