/**
 * State that the processes of the fleet exchange. Each message carries the sender's full state, so that a lost message
 * needs no repeat. Only changes of cached parts are incremental: they are numbered and sent again until the receiver
 * acknowledges them.
 */
import type { AccountId, ModelId, RouteId, TargetId, VmId } from "../ids";
import type { CachedPartKey, Fingerprint, OrderRevision, PartId, ServiceId, WeightsVersion } from "./ids";
import type { ServiceRolloutState } from "./policy/serviceRolloutRules";
import type { StorePosition } from "./storeChanges";

export interface PeerState {
    readonly vm: VmId;
    /** Milliseconds since the Unix epoch at the start of the sender's process; distinguishes two runs on one VM. */
    readonly startedAt: number;
    /**
     * Tokens that the sender has used of each account in the last quota window, including what an earlier run on its
     * VM may have used.
     */
    readonly usage: readonly (readonly [AccountId, number])[];
    /** What of the usage is assumed for the sender's previous run, of which no peer has told it; absent for none. */
    readonly assumedUsage?: PeerState["usage"];
    /** `startedAt` of the receiver in the last state that the sender got from it; 0 before the first one. */
    readonly knownStart: number;
    /**
     * Estimate of the tokens of each account that the run before `knownStart` had used in the quota window. Empty when
     * nothing of it is left in the window; absent when the sender does not know it.
     */
    readonly earlier?: readonly (readonly [AccountId, number])[] | undefined;
    /**
     * Runs that have ended or seem to have: VM, start, age of the run's last state in milliseconds, and usage as above.
     * Only for receivers that have started within the last quota window; absent when there are none.
     */
    readonly endedRuns?: readonly (readonly [VmId, number, number, readonly (readonly [AccountId, number])[]])[];
    /**
     * Versions of weights that operators published, with the milliseconds since then. Versions whose time of
     * publication the sender does not know are left out.
     */
    readonly named: readonly (readonly [ModelId, WeightsVersion, number])[];
    /** Engines that run requests of the sender: prompt tokens that wait there, and number of requests. */
    readonly load: readonly (readonly [TargetId, number, number])[];
    /** The waiting prompt tokens of `load` by priority; absent from processes that do not count them apart. */
    readonly queued?: readonly (readonly [TargetId, readonly (readonly [number, number])[]])[];
    /** Acknowledges the receiver's changes of cached parts up to this number; 0 for none. */
    readonly partsHeard: number;
    /** Number of the sender's newest change of cached parts, up to which `parts` reaches. */
    readonly partsTold: number;
    /**
     * Changes that the receiver has not acknowledged, for the targets whose cache events the sender reads for the
     * whole fleet. A target without changes is listed with an empty list.
     */
    readonly parts: readonly TargetPartChanges[];
    /**
     * Engines that have ended or may have: age of the first sign in milliseconds, whether it is certain, and the
     * suspected prompt parts with their depth. Absent when there are none, as are the two fields that follow.
     */
    readonly crashes?: readonly (readonly [TargetId, number, boolean, readonly (readonly [PartId, number])[]])[];
    /** Suspected parts that the sender has seen answered, with the milliseconds since then. */
    readonly answered?: readonly (readonly [PartId, number])[];
    /** Parts in quarantine that the store does not hold yet: end in Unix milliseconds, and number of offences. */
    readonly quarantined?: readonly (readonly [PartId, number, number])[];
    /** Limits that targets name: requests a second, and milliseconds since the last answer that named it. */
    readonly limits?: readonly (readonly [TargetId, number, number])[];
    /** Targets whose answers no longer name a limit, with the milliseconds since the first such answer. */
    readonly endedLimits?: readonly (readonly [TargetId, number])[];
    /** Targets that leave: age of the evidence in milliseconds, and whether they said so; absent when there are none. */
    readonly departures?: readonly (readonly [TargetId, number, boolean])[];
    /**
     * Targets that failed requests of the sender lately: requests failed and answered, and milliseconds since the last
     * failure and since the target was last found silent (-1 for never). Absent when there are none.
     */
    readonly failures?: readonly (readonly [TargetId, number, number, number, number])[];
    /** Requests that the sender has admitted in the last seconds, by service; absent when there are none. */
    readonly requests?: readonly (readonly [ServiceId, number])[];
    /** Position and fingerprint of the newest configuration that the sender has decoded; absent before the first one. */
    readonly configuration?: StorePosition & { readonly fingerprint: Fingerprint; };
    /** Rollouts of service versions that have not ended; absent when there are none. */
    readonly serviceRollouts?: readonly ServiceRolloutReport[];
}

/**
 * A rollout as the sender acts on it: service, revision of the order, state, requests of the sender under way on other
 * versions than the ordered one, whether the sender finds that version bad, and the answers that the sender's run has
 * got since it saw the order: of the old version by route, of the new one by server and route.
 */
export type ServiceRolloutReport = readonly [
    ServiceId,
    OrderRevision,
    ServiceRolloutState,
    number,
    boolean,
    readonly RouteAnswersReport[],
    readonly (readonly [TargetId, readonly RouteAnswersReport[]])[],
];

/** Route, numbers of answers, of failures and of failures without an answer, and response times by bucket. */
export type RouteAnswersReport = readonly [RouteId, number, number, number, readonly (readonly [number, number])[]];

/** Changes of one target: stored tokens by part. An empty key invalidates all earlier entries of the target. */
export type TargetPartChanges = readonly [TargetId, readonly (readonly [CachedPartKey | "", number])[]];
