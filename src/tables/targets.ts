/** Targets of the configuration with what is known of their state. */
import type { TargetConfiguration } from "../config/document";
import type { Incarnation, Millis, RequestId, TargetId } from "../ids";
import type { TargetReport } from "../targets";

/** Work that this process sent to a target and that has not ended. */
export interface InFlight {
    /** Prompt tokens expected to be computed, until the first token. */
    prefillTokens: number;
    readonly sentAt: Millis;
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
    readonly inFlight: Map<RequestId, InFlight>;
    /** Time since which the engine computes the oldest of the prompts in flight. */
    prefillSince: Millis;
    /** Own requests in flight when reports were asked for, oldest first. */
    readonly ownSamples: { readonly at: Millis; readonly requests: number; }[];
    /** Work of other routers according to the last report. */
    otherTokens: number;
    otherRequests: number;
    failures: number;
    /** Gets no request before this time. */
    backOffUntil: Millis;
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
        inFlight: new Map(),
        prefillSince: 0 as Millis,
        ownSamples: [],
        otherTokens: 0,
        otherRequests: 0,
        failures: 0,
        backOffUntil: 0 as Millis,
        cacheSeq: 0,
        cacheValidFrom: 0 as Millis,
        isFollowingCache: false,
    };
}

/** Creates an empty table. */
export function createTargetsTable(): TargetsTable {
    const rows = new Map<TargetId, TargetRow>();
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
                    row.isLeaving = configuration.leaving || row.report?.state === "leaving";
                }
                else {
                    rows.set(id, createTargetRow(id, configuration));
                }
            }
        },
    };
}

export const isEngine = (row: TargetRow): boolean => row.configuration.kind === "engine";
