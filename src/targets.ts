/** Reports, cache events and orders of targets, independent of the wire format. */
import type { FencingToken, Incarnation, ModelId, ModelVersion, OrderId, PrefixId } from "./ids";

/** State report of an engine. It lags behind the engine's actual state. */
export interface TargetReport {
    readonly incarnation: Incarnation;
    readonly state: "ready" | "loading" | "leaving";
    readonly model: ModelId;
    readonly version: ModelVersion;
    readonly runningRequests: number;
    readonly waitingRequests: number;
    /** Prompt tokens that the engine has accepted but not yet computed. */
    readonly waitingTokens: number;
}

export type CacheEvent =
    | { readonly seq: number; readonly kind: "stored" | "removed"; readonly blocks: readonly PrefixId[]; }
    | { readonly seq: number; readonly kind: "cleared"; };

/**
 * Outcome of an order to an engine. `outdated`: the engine has seen a higher fencing token. `unknown`: the order may
 * have been carried out.
 */
export type OrderOutcome = "accepted" | "outdated" | "refused" | "not_sent" | "unknown";

/** Order to an engine to load a model version. */
export interface EngineOrder {
    readonly order: OrderId;
    readonly fencingToken: FencingToken;
    readonly model: ModelId;
    readonly version: ModelVersion;
}
