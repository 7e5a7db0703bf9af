/** Targets that leave or have left, as their answers, their rows and other processes said. */
import type { Millis, TargetId } from "../../ids";

export interface DepartureRow {
    readonly target: TargetId;
    /** Time of the newest evidence. */
    at: Millis;
    /**
     * True when the target said that it leaves, which it does not take back in this run. False when its row was deleted:
     * it may have lapsed, and then the target registers again.
     */
    isAnnounced: boolean;
}

export interface DeparturesTable {
    /** Records evidence; returns true if it says more than what was known. */
    record(row: DepartureRow): boolean;
    get(target: TargetId): DepartureRow | undefined;
    /** Rows with evidence from the given time on, oldest first. */
    listSince(at: Millis): readonly DepartureRow[];
}

/** The oldest rows are dropped beyond this number. */
const maxDepartures = 4096;

/** Creates an empty table. */
export function createDeparturesTable(): DeparturesTable {
    const rows = new Map<TargetId, DepartureRow>();
    return {
        get: target => rows.get(target),
        listSince: at => [...rows.values()].filter(row => row.at >= at),
        record: ({ target, at, isAnnounced }) => {
            const known = rows.get(target);
            const isNews = known === undefined || (isAnnounced && !known.isAnnounced);
            if (known) {
                known.at = known.at > at ? known.at : at;
                known.isAnnounced ||= isAnnounced;
                return isNews;
            }
            rows.set(target, { target, at, isAnnounced });
            const oldest = rows.size > maxDepartures ? rows.keys().next().value : undefined;
            if (oldest !== undefined) {
                rows.delete(oldest);
            }
            return isNews;
        },
    };
}
