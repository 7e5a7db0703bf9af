/** Rollouts of service versions: orders, states, and the answers by which versions are judged. */
import type { Millis, RouteId, TargetId, VmId } from "../../ids";
import type { OrderRevision, ServerVersion, ServiceId } from "../ids";
import type { ResponseHistogram } from "../policy/responseHistogram";
import type { KnownOrder, ServiceRolloutState, StoredServiceRollout } from "../policy/serviceRolloutRules";
import type {
    RouteEvidence,
    ServerAnswers,
    SideCounts,
    VersionEvidence,
    VersionVerdict,
} from "../policy/versionVerdict";

/** Attempt of this process, with the version of its target. */
export interface VersionedAttempt {
    readonly service: ServiceId;
    readonly route: RouteId;
    readonly target: TargetId;
    readonly version: ServerVersion;
    readonly sentAt: Millis;
    /** Order under which the attempt was sent; undefined when there was none. */
    readonly orderRevision: OrderRevision | undefined;
    /** True when the response time can be compared with that of the other version. */
    readonly hasComparableTime: boolean;
    /** True once the attempt counts as answered or failed. */
    isCounted: boolean;
}

/** Last report of one run of a peer about a rollout. */
export interface RolloutReport {
    readonly vm: VmId;
    readonly startedAt: number;
    readonly receivedAt: Millis;
    readonly state: ServiceRolloutState;
    /** Requests under way on other versions than the ordered one. */
    readonly underWay: number;
    readonly evidence: VersionEvidence;
}

export interface ServiceRolloutRow {
    readonly service: ServiceId;
    known: KnownOrder;
    /** The row of the store, with the revision of its last change; 0 for none. */
    stored: StoredServiceRollout | undefined;
    storedRevision: number;
    /** The rollout in force in this process. */
    current: StoredServiceRollout | undefined;
    /** Time at which this process saw the order, and the present state. */
    orderSeenAt: Millis;
    stateSeenAt: Millis;
    /** True when the order was there before this process first read the store. */
    wasOrderedBefore: boolean;
    /** Requests of the service that this process has sent since it saw the order, and those to the new version. */
    sent: number;
    canarySent: number;
    /** Requests to the new version allowed beyond the share. */
    credit: number;
    /** Time since which another request may go to the new version; undefined while none may. */
    canaryReadySince: Millis | undefined;
    /** Answers that this process has got. */
    readonly evidence: {
        readonly old: Map<RouteId, SideCounts>;
        readonly servers: Map<TargetId, Map<RouteId, SideCounts>>;
    };
    /** Times from sending to the end of the answer on the old version. */
    readonly oldDurations: ResponseHistogram;
    /** By VM and start of the run. */
    readonly reports: Map<string, RolloutReport>;
    /** Answers of all processes at the last check, by route. */
    routes: ReadonlyMap<RouteId, RouteEvidence>;
    /** Server of the new version that hangs, is slow or has crashed, unlike the others; undefined for none. */
    sickServer: TargetId | undefined;
    /** Earlier answers of the new version, oldest first, with the time of the newest entry. */
    readonly snapshots: ServerAnswers[];
    snapshotAt: Millis;
    verdict: VersionVerdict;
    /** True once this process, or a peer, has found the version bad. */
    isBad: boolean;
    /** Time at which this process last told the decider that it has nothing under way on an old version. */
    doneReportedAt: Millis;
    /** The rollout that was last sent to the store, until its answer. */
    pendingWrite: StoredServiceRollout | undefined;
    /** The row is not written before this time, when the answer to the last write may still be on its way. */
    writeNotBefore: Millis;
}

export interface ServiceRolloutsTable {
    readonly rows: Map<ServiceId, ServiceRolloutRow>;
    /** Attempts by request and number (`formatAttemptKey`). */
    readonly attempts: Map<string, VersionedAttempt>;
    /** True while a check of the rollouts is scheduled. */
    isCheckScheduled: boolean;
}

const noVerdict: VersionVerdict = { kind: "open", score: 0 };

/** Creates the row of a service without an order. */
export const createServiceRolloutRow = (service: ServiceId): ServiceRolloutRow => ({
    service,
    known: { kind: "none" },
    stored: undefined,
    storedRevision: 0,
    current: undefined,
    orderSeenAt: 0 as Millis,
    stateSeenAt: 0 as Millis,
    wasOrderedBefore: false,
    sent: 0,
    canarySent: 0,
    credit: 0,
    canaryReadySince: undefined,
    evidence: { old: new Map(), servers: new Map() },
    oldDurations: [],
    reports: new Map(),
    routes: new Map(),
    sickServer: undefined,
    snapshots: [],
    snapshotAt: 0 as Millis,
    verdict: noVerdict,
    isBad: false,
    doneReportedAt: 0 as Millis,
    pendingWrite: undefined,
    writeNotBefore: 0 as Millis,
});

/** Clears what was counted under an earlier order. */
export function startCounting(
    row: ServiceRolloutRow,
    { now, credit, wasOrderedBefore }: {
        readonly now: Millis;
        readonly credit: number;
        readonly wasOrderedBefore: boolean;
    },
): void {
    Object.assign(row, {
        orderSeenAt: now,
        wasOrderedBefore,
        sent: 0,
        canarySent: 0,
        credit,
        canaryReadySince: undefined,
        routes: new Map(),
        sickServer: undefined,
        snapshotAt: now,
        verdict: noVerdict,
        isBad: false,
    });
    row.evidence.old.clear();
    row.evidence.servers.clear();
    row.oldDurations.length = 0;
    row.reports.clear();
    row.snapshots.length = 0;
}

/** Creates an empty table. */
export const createServiceRolloutsTable = (): ServiceRolloutsTable => ({
    rows: new Map(),
    attempts: new Map(),
    isCheckScheduled: false,
});
