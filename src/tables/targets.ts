/** Targets of the configuration with what is known of their state. */
import type { TargetConfiguration } from "../config/document";
import type { AccountId, Incarnation, Millis, RequestId, TargetId } from "../ids";
import type { TargetReport } from "../targets";

/** Work that this process sent to a target and that has not ended. */
export interface InFlight {
    /** Prompt tokens expected to be computed, until the first token. */
    prefillTokens: number;
    readonly sentAt: Millis;
    readonly account: AccountId | undefined;
}

export interface TargetRow {
    readonly id: TargetId;
    configuration: TargetConfiguration;
    report: TargetReport | undefined;
    reportedAt: Millis | undefined;
    /** Last time at which a report was asked for. */
    askedAt: Millis | undefined;
    /** Incarnation that is alive as far as is known; undefined after a crash until the next report. */
    incarnation: Incarnation | undefined;
    /** True when the configuration, the VM list or the target itself says that it leaves. */
    isLeaving: boolean;
    /** True when the last report of the target said that it leaves. */
    isReportedLeaving: boolean;
    readonly inFlight: Map<RequestId, InFlight>;
    /** Time since which the engine computes the oldest of the prompts in flight. */
    prefillSince: Millis;
    /** Own requests in flight when reports were asked for, oldest first. */
    readonly ownSamples: { readonly at: Millis; readonly requests: number; }[];
    /** Work of other routers according to the last report. */
    otherTokens: number;
    otherRequests: number;
    /** Failures in a row. */
    failures: number;
    /** What failed last: a request, or only the reading of a report. */
    failedBy: "request" | "report" | undefined;
    /** Gets no request before this time; 0 while the circuit is closed. */
    backOffUntil: Millis;
    /** The one request that is sent after a back-off, to see whether the target has recovered. */
    trial: RequestId | undefined;
    /** Sequence number of the last cache event. */
    cacheSeq: number;
    /** Prefix rows seen before this time are not relied upon. */
    cacheValidFrom: Millis;
    isFollowingCache: boolean;
}

export interface TargetsTable {
    get(id: TargetId): TargetRow | undefined;
    list(): readonly TargetRow[];
    /** Adds, updates and removes rows so that they match the configuration. */
    applyConfiguration(targets: Readonly<Record<TargetId, TargetConfiguration>>): void;
    /**
     * Marks targets on leaving VMs by IP address. A VM that leaves the list after it was listed as leaving still
     * counts as leaving; one that was never listed does not, because the list lags.
     */
    applyVmList(vms: readonly { readonly address: string; readonly state: "live" | "leaving"; }[]): void;
    /** Takes a report and what it says about leaving. */
    applyReport(row: TargetRow, report: TargetReport, now: Millis): void;
}

function createTargetRow(id: TargetId, configuration: TargetConfiguration): TargetRow {
    return {
        id,
        configuration,
        report: undefined,
        reportedAt: undefined,
        askedAt: undefined,
        incarnation: undefined,
        isLeaving: configuration.leaving,
        isReportedLeaving: false,
        inFlight: new Map(),
        prefillSince: 0 as Millis,
        ownSamples: [],
        otherTokens: 0,
        otherRequests: 0,
        failures: 0,
        failedBy: undefined,
        backOffUntil: 0 as Millis,
        trial: undefined,
        cacheSeq: 0,
        cacheValidFrom: 0 as Millis,
        isFollowingCache: false,
    };
}

/** Host part of an address with or without a port; IPv6 addresses with a port are in brackets. */
function toIp(address: string): string {
    if (address.startsWith("[")) {
        return address.slice(1, address.indexOf("]"));
    }
    const parts = address.split(":");
    return parts.length === 2 ? parts[0] ?? address : address;
}

/** Creates an empty table. */
export function createTargetsTable(): TargetsTable {
    const rows = new Map<TargetId, TargetRow>();
    let leavingIps = new Set<string>();

    function updateLeaving(row: TargetRow): void {
        row.isLeaving = row.configuration.leaving
            || row.isReportedLeaving
            || leavingIps.has(toIp(row.configuration.address));
    }

    return {
        get: id => rows.get(id),
        list: () => [...rows.values()],
        applyConfiguration: targets => {
            for (const id of rows.keys()) {
                if (!Object.hasOwn(targets, id)) {
                    rows.delete(id);
                }
            }
            for (const [id, configuration] of Object.entries(targets) as [TargetId, TargetConfiguration][]) {
                const row = rows.get(id);
                if (row) {
                    row.configuration = configuration;
                }
                else {
                    rows.set(id, createTargetRow(id, configuration));
                }
            }
            rows.forEach(updateLeaving);
        },
        applyVmList: vms => {
            const listIps = (state: "live" | "leaving"): string[] =>
                vms.filter(vm => vm.state === state).map(vm => toIp(vm.address));
            const used = new Set([...rows.values()].map(row => toIp(row.configuration.address)));
            const kept = [...leavingIps].filter(ip => used.has(ip));
            leavingIps = new Set([...kept, ...listIps("leaving")]);
            // An address that is also live belongs to the VM that replaced the leaving one.
            for (const ip of listIps("live")) {
                leavingIps.delete(ip);
            }
            rows.forEach(updateLeaving);
        },
        applyReport: (row, report, now) => {
            row.report = report;
            row.reportedAt = now;
            row.isReportedLeaving = report.state === "leaving";
            updateLeaving(row);
        },
    };
}

/** True when the circuit of the target lets one more request through. */
export function canPassCircuit(row: TargetRow, now: Millis): boolean {
    if (row.backOffUntil === 0) {
        return true;
    }
    const isTrialRunning = row.trial !== undefined && row.inFlight.has(row.trial);
    return now >= row.backOffUntil && !isTrialRunning;
}

export const isEngine = (row: TargetRow): boolean => row.configuration.kind === "engine";
