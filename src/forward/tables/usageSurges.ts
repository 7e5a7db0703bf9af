/** Surges in the usage of accounts, which the store holds for processes that start after all others have ended. */
import type { AccountId, Millis } from "../../ids";
import type { UsageSample } from "../policy/usageSurge";

export interface UsageSurgesTable {
    /** Usage by the whole fleet over the last window, of the accounts for which this process records surges. */
    readonly samples: Map<AccountId, UsageSample[]>;
    /** Surges that the store holds, in tokens. */
    readonly recorded: Map<AccountId, number>;
    /** Accounts whose surge is being written, or was not written, with the time until which it is not written again. */
    readonly writeNotBefore: Map<AccountId, Millis>;
    /** Surges of the fleet that this process found when it first read the store, in tokens. */
    readonly found: Map<AccountId, number>;
}

/** Creates an empty table. */
export const createUsageSurgesTable = (): UsageSurgesTable => ({
    samples: new Map(),
    recorded: new Map(),
    writeNotBefore: new Map(),
    found: new Map(),
});
