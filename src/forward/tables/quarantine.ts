/** Prompt parts under which engines crash; requests with such a part are refused. */
import type { Millis, RequestId } from "../../ids";
import type { PartId } from "../ids";

export interface QuarantineRow {
    readonly part: PartId;
    /** End of the quarantine. From then on single requests with the part are sent, each a trial. */
    readonly activeUntil: Millis;
    /** End of the probation after the quarantine, in which a single crash begins a new one. */
    readonly probationUntil: Millis;
    /** The request that this process has sent as a trial. */
    trialRequest: RequestId | undefined;
    /** `activeUntil` in milliseconds since the Unix epoch, as the store holds it. */
    readonly endsAt: number;
    /** Number of quarantines of the part, this one included; each lasts twice as long as the one before. */
    readonly offences: number;
    /** True once the store holds the row. */
    isStored: boolean;
}

/** Maximum number of rows; the one that ends first is dropped for a new one. */
const maxRows = 256;

export interface QuarantineTable {
    readonly size: number;
    get(part: PartId): QuarantineRow | undefined;
    list(): readonly QuarantineRow[];
    /** Adds or replaces a row. Returns the row that was dropped to make room, if any. */
    add(row: QuarantineRow): QuarantineRow | undefined;
    remove(part: PartId): void;
    /** Returns the parts added since the last call. */
    takeAdded(): readonly PartId[];
}

/** Creates an empty table. */
export function createQuarantineTable(): QuarantineTable {
    const rows = new Map<PartId, QuarantineRow>();
    let added: PartId[] = [];

    function removeFirstToEnd(): QuarantineRow | undefined {
        const first = [...rows.values()].reduce<QuarantineRow | undefined>(
            (best, row) => best && best.activeUntil <= row.activeUntil ? best : row,
            undefined,
        );
        if (first) {
            rows.delete(first.part);
        }
        return first;
    }

    return {
        get size() {
            return rows.size;
        },
        get: part => rows.get(part),
        list: () => [...rows.values()],
        add: row => {
            const dropped = rows.size >= maxRows && !rows.has(row.part) ? removeFirstToEnd() : undefined;
            rows.set(row.part, row);
            added.push(row.part);
            return dropped;
        },
        remove: part => {
            rows.delete(part);
        },
        takeAdded: () => {
            const parts = added;
            added = [];
            return parts;
        },
    };
}

/** True while no request with the part is sent, not even as a trial. */
export const isQuarantined = (table: QuarantineTable, part: PartId, now: Millis): boolean =>
    now < (table.get(part)?.activeUntil ?? 0);
