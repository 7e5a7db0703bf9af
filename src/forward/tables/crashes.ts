/** Engines that ended while they ran requests, with the prompt parts of the requests that may have caused it. */
import type { Millis, TargetId } from "../../ids";
import type { PartId } from "../ids";

export interface CrashRow {
    readonly target: TargetId;
    /** Time at which the first request was lost or the first connection was refused. */
    failedAt: Millis;
    /** True once it is certain that the engine ended; a lost request alone may be a lost connection. */
    isConfirmed: boolean;
    /**
     * Shared parts of the prompts whose answers had not begun or had just begun, with their depth in the prompt (0 for
     * the first part). The last part of a prompt belongs to one request or session and is left out.
     */
    readonly suspects: Map<PartId, number>;
    /** Suspects that an answer had cleared at the last check; peers are told until the next one. */
    clearedSuspects: readonly PartId[];
}

/** Maximum number of rows; the oldest is dropped for a new one. */
const maxRows = 64;
/** Maximum number of suspects of one row; further ones are not recorded. */
const maxSuspects = 128;

export interface CrashesTable {
    get(target: TargetId): CrashRow | undefined;
    list(): readonly CrashRow[];
    /** Returns the row of the target. A new row is not confirmed. */
    add(target: TargetId, failedAt: Millis): CrashRow;
    remove(target: TargetId): void;
}

/** Adds a suspect unless the row has reached its maximum. */
export function addSuspect({ suspects }: CrashRow, part: PartId, depth: number): void {
    if (suspects.has(part) || suspects.size < maxSuspects) {
        suspects.set(part, Math.max(depth, suspects.get(part) ?? 0));
    }
}

/** Creates an empty table. */
export function createCrashesTable(): CrashesTable {
    const rows = new Map<TargetId, CrashRow>();
    return {
        get: target => rows.get(target),
        list: () => [...rows.values()],
        add: (target, failedAt) => {
            const existing = rows.get(target);
            if (existing) {
                existing.failedAt = Math.min(existing.failedAt, failedAt) as Millis;
                return existing;
            }
            const oldest = rows.keys().next();
            if (rows.size >= maxRows && !oldest.done) {
                rows.delete(oldest.value);
            }
            const row: CrashRow = { target, failedAt, isConfirmed: false, suspects: new Map(), clearedSuspects: [] };
            rows.set(target, row);
            return row;
        },
        remove: target => {
            rows.delete(target);
        },
    };
}
