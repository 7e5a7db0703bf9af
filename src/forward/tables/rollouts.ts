/** Orders for new weights: one row for each engine that the holder of the duty is bringing to a version. */
import type { Millis, ModelId, TargetId } from "../../ids";
import type { WeightsVersion } from "../ids";

/**
 * `asked`: the report is being read before the order; `ordered`: the order was sent; `loading`: the engine carries
 * it out.
 */
export interface RolloutRow {
    readonly target: TargetId;
    readonly model: ModelId;
    state: "asked" | "ordered" | "loading";
    version: WeightsVersion;
    /** Time of the last step. */
    steppedAt: Millis;
    /** Last time at which a report was asked for. */
    readAt: Millis;
}

export interface RolloutsTable {
    readonly rows: Map<TargetId, RolloutRow>;
}

/** Creates an empty table. */
export const createRolloutsTable = (): RolloutsTable => ({ rows: new Map() });
