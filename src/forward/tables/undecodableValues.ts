/** Values of the store that could not be decoded and are read again. */
import { addMillis, type Millis } from "../../ids";
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
    /** Keys of values that stand in the store like that, with the time until which their values are not read again. */
    readonly leftAloneUntil: Map<string, Millis>;
}

/** Odd entries of another writer may be many; beyond this number they are logged and not read again. */
const maxRows = 256;

/** A writer of odd entries may write them with each of its heartbeats; every process would read each of them again. */
const leftAloneMs = 60_000;

/** Creates an empty table. */
export const createUndecodableValuesTable = (): UndecodableValuesTable => ({
    rows: new Map(),
    leftAloneUntil: new Map(),
});

/** Leaves the values of a key alone for a while, as the one that was read stands in the store. */
export function recordStoredLikeThat({ leftAloneUntil }: UndecodableValuesTable, key: string, now: Millis): void {
    for (const [other, until] of leftAloneUntil) {
        if (now >= until || leftAloneUntil.size >= maxRows) {
            leftAloneUntil.delete(other);
        }
    }
    leftAloneUntil.set(key, addMillis(now, leftAloneMs));
}

/** Adds a value or replaces the row of its key, unless the row has a newer one. Returns true if a read is due for it. */
export function addUndecodableValue(
    { rows, leftAloneUntil }: UndecodableValuesTable,
    value: UndecodableValue,
    { era, now }: { readonly era: StoreEra; readonly now: Millis; },
): boolean {
    const row = rows.get(value.key);
    if (row?.era === era && row.value.revision >= value.revision) {
        return false;
    }
    const isLeftAlone = now < (leftAloneUntil.get(value.key) ?? 0);
    if (!row && (isLeftAlone || rows.size >= maxRows)) {
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
