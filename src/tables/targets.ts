/** Configured targets and their last known state. */
import type { TargetConfiguration } from "../config/document";
import type { AccountId, Incarnation, Millis, RequestId, TargetId } from "../ids";
import type { TargetReport } from "../targets";

/** Request in flight from this process to a target. */
export interface InFlightRequest {
    /** Estimated prompt tokens that the engine has to compute; 0 after the first token. */
    prefillTokens: number;
    readonly sentAt: Millis;
    readonly account: AccountId | undefined;
}

export interface TargetRow {
    readonly id: TargetId;
    configuration: TargetConfiguration;
    report: TargetReport | undefined;
    reportedAt: Millis | undefined;
    /** Time at which a report was last requested. */
    reportRequestedAt: Millis | undefined;
    /** Incarnation in the last report; undefined until the first report. */
    incarnation: Incarnation | undefined;
    /** True when the configuration, the VM list or the target's own report marks it as leaving. */
    isLeaving: boolean;
    /** True when the target's last report has the state `leaving`. */
    isReportedLeaving: boolean;
    readonly inFlight: Map<RequestId, InFlightRequest>;
    /** Time at which the engine started to compute the oldest prompt in flight. */
    prefillStartedAt: Millis;
    /** Number of own requests in flight at each of the last requests for a report, oldest first. */
    readonly ownRequestSamples: { readonly at: Millis; readonly requests: number; }[];
    /** Estimated prompt tokens and requests of other routers, from the last report. */
    otherRouterTokens: number;
    otherRouterRequests: number;
    /** Consecutive failures. */
    failures: number;
    /** Cause of the last failure: a request, or only the reading of a report. */
    failedBy: "request" | "report" | undefined;
    /** End of the back-off, during which no request is sent; 0 while the circuit is closed. */
    backOffUntil: Millis;
    /** The single request sent after a back-off to test whether the target has recovered. */
    trialRequest: RequestId | undefined;
    /** Sequence number of the last cache event. */
    lastCacheEventSeq: number;
    /** Prefix holders last seen before this time are ignored. */
    cacheValidFrom: Millis;
    /** True while cache events are streamed from the engine. */
    isFollowingCache: boolean;
}

export interface TargetsTable {
    get(id: TargetId): TargetRow | undefined;
    list(): readonly TargetRow[];
    /** Adds, updates and removes rows to match the configuration. */
    applyConfiguration(targets: Readonly<Record<TargetId, TargetConfiguration>>): void;
    /**
     * Marks targets on leaving VMs, matched by IP address. A VM that was listed as leaving still counts as leaving
     * after it disappears from the list; a VM that was never listed does not, because the list lags.
     */
    applyVmList(vms: readonly { readonly address: string; readonly state: "live" | "leaving"; }[]): void;
    /** Stores a report and updates whether the target is leaving. */
    applyReport(row: TargetRow, report: TargetReport, now: Millis): void;
}

function createTargetRow(id: TargetId, configuration: TargetConfiguration): TargetRow {
    return {
        id,
        configuration,
        report: undefined,
        reportedAt: undefined,
        reportRequestedAt: undefined,
        incarnation: undefined,
        isLeaving: configuration.leaving,
        isReportedLeaving: false,
        inFlight: new Map(),
        prefillStartedAt: 0 as Millis,
        ownRequestSamples: [],
        otherRouterTokens: 0,
        otherRouterRequests: 0,
        failures: 0,
        failedBy: undefined,
        backOffUntil: 0 as Millis,
        trialRequest: undefined,
        lastCacheEventSeq: 0,
        cacheValidFrom: 0 as Millis,
        isFollowingCache: false,
    };
}

/** Removes the port from an address that has one. IPv6 addresses with a port are in brackets. */
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
            const configuredIps = new Set([...rows.values()].map(row => toIp(row.configuration.address)));
            const keptIps = [...leavingIps].filter(ip => configuredIps.has(ip));
            leavingIps = new Set([...keptIps, ...listIps("leaving")]);
            // An address that is also listed as live belongs to a VM that replaced the leaving one.
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

/** True when the circuit breaker allows another request: it is closed, or half-open without a running trial. */
export function canPassCircuit(row: TargetRow, now: Millis): boolean {
    if (row.backOffUntil === 0) {
        return true;
    }
    const isTrialRunning = row.trialRequest !== undefined && row.inFlight.has(row.trialRequest);
    return now >= row.backOffUntil && !isTrialRunning;
}

export const isEngine = (row: TargetRow): boolean => row.configuration.kind === "engine";
