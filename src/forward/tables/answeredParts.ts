/** Prompt parts that engines have answered, with the last time; evidence that a part does not crash engines. */
import type { Millis } from "../../ids";
import type { PartId } from "../ids";

/** Maximum number of parts; the one recorded longest ago is dropped for a new one and then counts as never answered. */
const maxParts = 4096;

export interface AnsweredPartsTable {
    getAnsweredAt(part: PartId): Millis | undefined;
    /** Records the time of an answer; an earlier time than the recorded one is ignored. */
    record(part: PartId, answeredAt: Millis): void;
}

/** Creates an empty table. */
export function createAnsweredPartsTable(): AnsweredPartsTable {
    const rows = new Map<PartId, Millis>();
    return {
        getAnsweredAt: part => rows.get(part),
        record: (part, answeredAt) => {
            const latest = Math.max(answeredAt, rows.get(part) ?? answeredAt) as Millis;
            // Removed first, so that the order of the map is that of the last records.
            rows.delete(part);
            const oldest = rows.keys().next();
            if (rows.size >= maxParts && !oldest.done) {
                rows.delete(oldest.value);
            }
            rows.set(part, latest);
        },
    };
}
