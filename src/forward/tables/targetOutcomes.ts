/** Outcomes of requests at targets that have failed some lately: of this process, and as reported by its peers. */
import { type Millis, type TargetId, toMillis, type VmId } from "../../ids";
import type { OutcomeCounts } from "../policy/failureEvidence";

/** Outcomes in the current period, and its begin. */
export interface OutcomeRow extends OutcomeCounts {
    readonly startedAt: Millis;
    readonly failedAt: Millis;
    /** Time at which the target was last found silent or unreachable; 0 for never. */
    readonly silentAt: Millis;
}

export interface TargetOutcomesTable {
    /** Own outcomes, by target. Only targets that have failed a request in the current period. */
    readonly own: ReadonlyMap<TargetId, OutcomeRow>;
    /** Records a failed request; `isSilent` when nothing came from the target. */
    recordFailure(target: TargetId, isSilent: boolean, now: Millis): void;
    /** Records an answer. The target is no longer silent. */
    recordAnswer(target: TargetId): void;
    /** Replaces the reports of a peer; those of targets that it does not name are dropped. */
    applyReports(vm: VmId, reports: ReadonlyMap<TargetId, OutcomeRow>): void;
    /** Own outcomes and those that peers reported of one target. */
    listReports(target: TargetId): readonly OutcomeRow[];
    /** Drops outcomes whose last failure is older than `maxAgeMs`. */
    removeOutdated(now: Millis, maxAgeMs: number): void;
}

/** Own counts begin anew after this time, so that a target that has recovered is soon used again. */
const periodMs = 5000;

const never = toMillis(0);

/** Creates an empty table. */
export function createTargetOutcomesTable(): TargetOutcomesTable {
    const own = new Map<TargetId, OutcomeRow>();
    const reported = new Map<TargetId, Map<VmId, OutcomeRow>>();

    function removeReport(target: TargetId, vm: VmId): void {
        const rows = reported.get(target);
        rows?.delete(vm);
        if (rows?.size === 0) {
            reported.delete(target);
        }
    }

    return {
        own,
        recordFailure: (target, isSilent, now) => {
            const known = own.get(target);
            const row = known && now - known.startedAt < periodMs
                ? known
                : { failed: 0, answered: 0, startedAt: now, failedAt: now, silentAt: never };
            own.set(target, {
                ...row,
                failed: row.failed + 1,
                failedAt: now,
                silentAt: isSilent ? now : row.silentAt,
            });
        },
        recordAnswer: target => {
            const row = own.get(target);
            if (row) {
                own.set(target, { ...row, answered: row.answered + 1, silentAt: never });
            }
        },
        applyReports: (vm, reports) => {
            for (const [target, rows] of [...reported]) {
                if (rows.has(vm) && !reports.has(target)) {
                    removeReport(target, vm);
                }
            }
            for (const [target, row] of reports) {
                reported.set(target, (reported.get(target) ?? new Map<VmId, OutcomeRow>()).set(vm, row));
            }
        },
        listReports: target => {
            const row = own.get(target);
            return [...(row ? [row] : []), ...reported.get(target)?.values() ?? []];
        },
        removeOutdated: (now, maxAgeMs) => {
            for (const [target, { failedAt }] of own) {
                if (now - failedAt > maxAgeMs) {
                    own.delete(target);
                }
            }
            for (const [target, rows] of [...reported]) {
                for (const [vm, { failedAt }] of [...rows]) {
                    if (now - failedAt > maxAgeMs) {
                        removeReport(target, vm);
                    }
                }
            }
        },
    };
}
