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
    /** Keys whose values are malformed in the store itself, with the time until which they are not read again. */
    readonly ignoredUntil: Map<string, Millis>;
}

/** Odd entries of another writer may be many; beyond this number they are logged and not read again. The configuration is. */
const maxRows = 256;

/** A writer of odd entries may write them with each of its heartbeats; every process would read each of them again. */
const ignoredMs = 60_000;

/** Creates an empty table. */
export const createUndecodableValuesTable = (): UndecodableValuesTable => ({
    rows: new Map(),
    ignoredUntil: new Map(),
});

/** Records that the value of a key is malformed in the store itself; the key is not read again for a while. */
export function recordMalformedKey({ ignoredUntil }: UndecodableValuesTable, key: string, now: Millis): void {
    for (const [other, until] of ignoredUntil) {
        if (now >= until || ignoredUntil.size >= maxRows) {
            ignoredUntil.delete(other);
        }
    }
    ignoredUntil.set(key, addMillis(now, ignoredMs));
}

/** Adds a value or replaces the row of its key, unless the row has a newer one. Returns true if a read is due for it. */
export function addUndecodableValue(
    { rows, ignoredUntil }: UndecodableValuesTable,
    value: UndecodableValue,
    { era, now }: { readonly era: StoreEra; readonly now: Millis; },
): boolean {
    const row = rows.get(value.key);
    if (row?.era === era && row.value.revision >= value.revision) {
        return false;
    }
    const isIgnored = now < (ignoredUntil.get(value.key) ?? 0);
    if (!row && value.kind !== "configuration" && (isIgnored || rows.size >= maxRows)) {
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
