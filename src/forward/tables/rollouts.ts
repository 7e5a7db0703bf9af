/** Rollouts of new weights by this process, and the last orders of the whole fleet. */
import type { Millis, ModelId, TargetId, VmId } from "../../ids";
import type { TargetName, WeightsVersion } from "../ids";

/**
 * `reading`: waiting for the engine's report; `recording`: the order is being written to the store; `ordered`: the
 * order was sent; `loading`: the engine is loading the weights; `failed`: the rollout will be retried.
 */
export type RolloutState = "reading" | "recording" | "ordered" | "loading" | "failed";

export interface RolloutRow {
    readonly target: TargetId;
    readonly model: ModelId;
    state: RolloutState;
    version: WeightsVersion;
    /** Number of orders that the engine has accepted, according to its last report. */
    acceptedOrderCount: number;
    /** Time of the last change of the state. */
    stateChangedAt: Millis;
    /** Time at which a report was last requested. */
    reportRequestedAt: Millis;
}

/** Order that a process has recorded in the store. */
export interface RecordedOrder {
    readonly vm: VmId;
    readonly seenAt: Millis;
    readonly model: ModelId;
    readonly version: WeightsVersion;
    /** True once the engine has registered with the version. */
    hasEnded: boolean;
}

/** Process that has last ordered an engine. */
export interface OrderSender {
    readonly vm: VmId;
    readonly seenAt: Millis;
}

export interface RolloutsTable {
    readonly rows: Map<TargetId, RolloutRow>;
    /** Last order to each engine, by any process. */
    readonly lastOrders: Map<TargetId, RecordedOrder>;
    /**
     * Sender of the last order to each engine, by its name: an engine that starts again, or whose row lapses and returns,
     * is the same one to its senders. Rows are removed once the guard time has passed.
     */
    readonly orderSenders: Map<TargetName, OrderSender>;
    /** Mean time from an order to the registration of the engine with the new weights. */
    cycleMs: number;
}

/** Time of a load that is assumed until one has ended. */
const initialCycleMs = 1500;

/** Creates an empty table. */
export const createRolloutsTable = (): RolloutsTable => ({
    rows: new Map(),
    lastOrders: new Map(),
    orderSenders: new Map(),
    cycleMs: initialCycleMs,
});
