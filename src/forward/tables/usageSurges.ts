/** Surges in the usage of accounts, which the store holds for processes that start after all others have ended. */
import type { AccountId, Millis } from "../../ids";
import type { ForwardAccount, ForwardDocument } from "../document";
import type { RecordedSurge, UsageSample } from "../policy/usageSurge";

export interface UsageSurgesTable {
    /** Usage by the whole fleet over the last window, of the accounts for which this process records surges. */
    readonly samples: Map<AccountId, UsageSample[]>;
    /** Surges that the store holds. */
    readonly recorded: Map<AccountId, RecordedSurge>;
    /** Times at which recorded surges were last as high as recorded. */
    readonly neededAt: Map<AccountId, Millis>;
    /** Times at which this process last recorded surges. */
    readonly recordedAt: Map<AccountId, Millis>;
    /** Accounts whose surge is being written, or was not written, with the time until which it is not written again. */
    readonly writeNotBefore: Map<AccountId, Millis>;
    /** Surges that this process found when it first read the store. */
    readonly found: Map<AccountId, RecordedSurge>;
    /** Accounts whose surges this process records, as of the given members and configuration. */
    assignment:
        | {
            readonly membersRevision: number;
            readonly document: ForwardDocument;
            readonly accounts: readonly ForwardAccount[];
        }
        | undefined;
}

/** Creates an empty table. */
export const createUsageSurgesTable = (): UsageSurgesTable => ({
    samples: new Map(),
    recorded: new Map(),
    neededAt: new Map(),
    recordedAt: new Map(),
    writeNotBefore: new Map(),
    found: new Map(),
    assignment: undefined,
});
