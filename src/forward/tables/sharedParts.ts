/** Shared prompt parts in recent requests of this process: demand and the engines that are preferred for them. */
import { type Millis, type TargetId, toMillis } from "../../ids";
import type { Demand } from "../../policy/demand";

export interface SharedPartRow {
    /** Engine time in milliseconds that recent requests of this process with the part needed. */
    readonly demand: Demand;
    /** Ranks of the first engines by rendezvous hash, and the revision of the targets that they were computed from. */
    ranks: { readonly byTarget: ReadonlyMap<TargetId, number>; readonly revision: number; } | undefined;
}

export interface SharedPartsTable {
    /** Row of the part, which becomes the most recently used one; a new row if there is none. */
    use(key: string): SharedPartRow;
    readonly size: number;
}

/** Rows kept; the least recently used one is removed first. */
const maxRows = 1024;

/** Creates an empty table. */
export function createSharedPartsTable(): SharedPartsTable {
    const rows = new Map<string, SharedPartRow>();
    return {
        get size() {
            return rows.size;
        },
        use: key => {
            const never: Millis = toMillis(0);
            const row = rows.get(key) ?? { demand: { tokens: 0, updatedAt: never }, ranks: undefined };
            rows.delete(key);
            rows.set(key, row);
            const [oldest] = rows.keys();
            if (rows.size > maxRows && oldest !== undefined) {
                rows.delete(oldest);
            }
            return row;
        },
    };
}
