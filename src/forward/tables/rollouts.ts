/** Orders for new weights: what this process is bringing to a version, and what the fleet has ordered lately. */
import type { Millis, ModelId, TargetId, VmId } from "../../ids";
import type { WeightsVersion } from "../ids";

/**
 * `reading`: the engine's report is awaited; `recording`: the order is being written to the store; `ordered`: it was
 * sent; `loading`: the engine carries it out; `failed`: it is tried again later.
 */
export type RolloutState = "reading" | "recording" | "ordered" | "loading" | "failed";

export interface RolloutRow {
    readonly target: TargetId;
    readonly model: ModelId;
    state: RolloutState;
    version: WeightsVersion;
    /** Orders that the engine had accepted according to its report. */
    acceptedOrders: number;
    /** Time of the last change of the state. */
    steppedAt: Millis;
    /** Last time at which a report was asked for. */
    readAt: Millis;
}

/** Order that the store shows. */
export interface RecordedOrder {
    readonly vm: VmId;
    readonly seenAt: Millis;
}

export interface RolloutsTable {
    readonly rows: Map<TargetId, RolloutRow>;
    /** Last order to each engine by any process. */
    readonly recorded: Map<TargetId, RecordedOrder>;
}

/** Creates an empty table. */
export const createRolloutsTable = (): RolloutsTable => ({ rows: new Map(), recorded: new Map() });
