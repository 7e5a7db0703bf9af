/** Loads of targets that peers reported, as sums over the peers' last reports. */
import type { Millis, TargetId, VmId } from "../../ids";
import { computeAgeWeight } from "../policy/loadEstimate";

/** Load of one target in a report. */
export interface ReportedLoad {
    readonly target: TargetId;
    /** Prompt tokens that wait at the target. */
    readonly queuedTokens: number;
    readonly requests: number;
    /** The queued tokens by priority; absent in reports of processes that do not count them apart. */
    readonly queuedByPriority?: readonly (readonly [number, number])[] | undefined;
}

/** Sums over the last reports of all peers for one target. */
export interface PeerLoadRow {
    queuedTokens: number;
    requests: number;
    /** Queued tokens by priority, each report weighted by its age at `weightedAt`. */
    readonly weightedTokens: number[];
    /** Queued tokens by priority, without weights. */
    readonly tokens: number[];
    weightedAt: Millis;
    /** Number of reports that name the target. */
    reports: number;
}

interface LoadReport {
    readonly loads: readonly ReportedLoad[];
    readonly receivedAt: Millis;
}

export interface PeerLoadsTable {
    readonly rows: ReadonlyMap<TargetId, PeerLoadRow>;
    /** Replaces the last report of a peer. */
    apply(vm: VmId, loads: readonly ReportedLoad[], now: Millis): void;
    /** Removes reports older than `maxAgeMs`. Costs nothing while there are none. */
    removeOutdated(now: Millis, maxAgeMs: number): void;
}

/** Tokens without a priority count as the most urgent ones: they may be ahead of any request. */
const unknownPriority = 0;

/** Creates an empty table. */
export function createPeerLoadsTable(): PeerLoadsTable {
    const rows = new Map<TargetId, PeerLoadRow>();
    /** In the order of receipt, oldest first. */
    const reports = new Map<VmId, LoadReport>();

    /** Adds the report to the sums, or subtracts it. */
    function applyReport({ loads, receivedAt }: LoadReport, now: Millis, sign: 1 | -1): void {
        const reportWeight = sign * computeAgeWeight(now - receivedAt);
        for (const { target, queuedTokens, requests, queuedByPriority } of loads) {
            const row = rows.get(target)
                ?? { queuedTokens: 0, requests: 0, weightedTokens: [], tokens: [], weightedAt: now, reports: 0 };
            rows.set(target, row);
            row.reports += sign;
            if (row.reports === 0) {
                // Removed rather than subtracted, so that rounding errors do not add up.
                rows.delete(target);
                continue;
            }
            row.queuedTokens += sign * queuedTokens;
            row.requests += sign * requests;
            const weight = computeAgeWeight(now - row.weightedAt);
            row.weightedAt = now;
            for (let priority = 0; priority < row.weightedTokens.length; priority += 1) {
                row.weightedTokens[priority] = (row.weightedTokens[priority] ?? 0) * weight;
            }
            for (const [priority, tokens] of queuedByPriority ?? [[unknownPriority, queuedTokens] as const]) {
                row.weightedTokens[priority] = (row.weightedTokens[priority] ?? 0) + reportWeight * tokens;
                row.tokens[priority] = (row.tokens[priority] ?? 0) + sign * tokens;
            }
        }
    }

    function removeReport(vm: VmId, now: Millis): void {
        const report = reports.get(vm);
        if (report) {
            reports.delete(vm);
            applyReport(report, now, -1);
        }
    }

    return {
        rows,
        apply: (vm, loads, now) => {
            removeReport(vm, now);
            const report = { loads, receivedAt: now };
            reports.set(vm, report);
            applyReport(report, now, 1);
        },
        removeOutdated: (now, maxAgeMs) => {
            for (const [vm, { receivedAt }] of reports) {
                if (now - receivedAt <= maxAgeMs) {
                    return;
                }
                removeReport(vm, now);
            }
        },
    };
}
