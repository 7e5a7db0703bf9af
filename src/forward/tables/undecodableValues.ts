/** Values of the store that could not be decoded and are read again. */
import type { Millis } from "../../ids";
import type { UndecodableValue } from "../events";
import type { StoreEra } from "../ids";

export interface UndecodableRow {
    /** The value as it was received last. */
    value: UndecodableValue;
    era: StoreEra;
    /** Time at which the value was first received. */
    readonly since: Millis;
    /** Reads that were made since then. */
    reads: number;
    /** Reads in a row that returned the same bytes, so that these probably stand in the store. */
    sameReads: number;
    /** Reads in a row that failed. */
    failedReads: number;
    isPending: boolean;
    readAt: Millis;
}

export interface UndecodableValuesTable {
    readonly rows: Map<string, UndecodableRow>;
}

/** Odd entries of another writer may be many; beyond this number they are logged and not read again. */
const maxRows = 256;

/** Creates an empty table. */
export const createUndecodableValuesTable = (): UndecodableValuesTable => ({ rows: new Map() });

/** Adds a value or replaces the row of its key, unless the row has a newer one. Returns true if a read is due for it. */
export function addUndecodableValue(
    { rows }: UndecodableValuesTable,
    value: UndecodableValue,
    { era, now }: { readonly era: StoreEra; readonly now: Millis; },
): boolean {
    const row = rows.get(value.key);
    if (row?.era === era && row.value.revision >= value.revision) {
        return false;
    }
    if (!row && rows.size >= maxRows) {
        return false;
    }
    rows.set(value.key, {
        value,
        era,
        since: row?.since ?? now,
        reads: 0,
        sameReads: 0,
        failedReads: 0,
        isPending: false,
        readAt: now,
    });
    return true;
}
