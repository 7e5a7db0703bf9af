/** State of this process: life cycle, contact with the store, lease and rollout leadership. */
import type { LeaseId, Millis } from "../../ids";
import { type StoreEra, unknownEra } from "../ids";

/** The lease of this process in the store. */
export interface ForwardLease {
    id: LeaseId | undefined;
    /** Monotonic time until which the lease is valid: when the last successful renewal was sent, plus its length. */
    validUntil: Millis;
    /** End of the validity in milliseconds since the Unix epoch; the monotonic clock stops while a VM is suspended. */
    wallValidUntil: number;
    isPending: boolean;
    /** Milliseconds since the Unix epoch at which the pending grant or renewal was requested. */
    wallRequestedAt: number;
}

/** Leadership of rollouts: one process of the fleet, the rollout leader, orders engines to load new weights. */
export interface RolloutLeadership {
    state: "none" | "acquiring" | "held";
    /** Fencing token: the create revision of the leader's row. Orders of earlier leaders have lower tokens. */
    fencingToken: number;
    /** Time at which this process became the leader; no other process has sent an order since. */
    acquiredAt: Millis;
    /** This process does not try to acquire the leadership before this time. */
    claimNotBefore: Millis;
    /** VM of the rollout leader according to the store; undefined when there is none. */
    holder: string | undefined;
    /** Revision of the holder's row, which is never changed after it was created. */
    holderRevision: number;
}

export interface ForwardNodeRow {
    state: "starting" | "live" | "leaving" | "stopped";
    leavingSince: Millis | undefined;
    /** Last published result of the readiness check. */
    isReady: boolean;
    /** True until the store has been read once. */
    isStoreUnread: boolean;
    /** Time of the first read of the store. */
    storeFirstReadAt: Millis;
    /** Time of the last read of the whole store; what was written and deleted before it may be unknown. */
    storeReadAt: Millis;
    /** Last time at which the store confirmed the published state. */
    storeConfirmedAt: Millis;
    /** The same in milliseconds since the Unix epoch; the monotonic clock stops while a VM is suspended. */
    storeWallConfirmedAt: number;
    /** Time since which the store has answered without interruption; undefined during an outage. */
    storeReachableSince: Millis | undefined;
    /** Time of the last answer to a read or a watch call, by both clocks; an outage can only have begun after it. */
    storeAnsweredAt: Millis;
    storeWallAnsweredAt: number;
    /** Time at which the last failed read or watch call was sent; the store may have returned at any time after it. */
    storeFailedAt: Millis;
    /** Calls that have failed since the store last answered. */
    storeFailures: number;
    /** Time of the last log line about them. */
    storeFailureLoggedAt: Millis;
    /**
     * Time until which a row that vanished from the store may return, because its lease may have ended in a store outage
     * that this process or its reader saw; 0 when there was none. A start is no outage.
     */
    rowsMayReturnUntil: Millis;
    /** Era of the store at its last full read; 0 before the first one. */
    storeEra: StoreEra;
    /** Time at which this process noticed that the store was restored from an older copy; 0 when it was not. */
    storeRestoredAt: Millis;
    /** Time until which rows of the restored store may be older than what this process knows; 0 when there are none. */
    copyOutdatedUntil: Millis;
    readonly lease: ForwardLease;
    isRegistered: boolean;
    readonly rolloutLeadership: RolloutLeadership;
}

/** Creates the row of a process that has just started. */
export function createForwardNodeRow(): ForwardNodeRow {
    return {
        state: "starting",
        leavingSince: undefined,
        isReady: false,
        isStoreUnread: true,
        storeFirstReadAt: 0 as Millis,
        storeReadAt: 0 as Millis,
        storeConfirmedAt: 0 as Millis,
        storeWallConfirmedAt: 0,
        storeReachableSince: undefined,
        storeAnsweredAt: 0 as Millis,
        storeWallAnsweredAt: 0,
        storeFailedAt: 0 as Millis,
        storeFailures: 0,
        storeFailureLoggedAt: 0 as Millis,
        rowsMayReturnUntil: 0 as Millis,
        storeEra: unknownEra,
        storeRestoredAt: 0 as Millis,
        copyOutdatedUntil: 0 as Millis,
        lease: {
            id: undefined,
            validUntil: 0 as Millis,
            wallValidUntil: 0,
            isPending: false,
            wallRequestedAt: 0,
        },
        isRegistered: false,
        rolloutLeadership: {
            state: "none",
            fencingToken: 0,
            acquiredAt: 0 as Millis,
            claimNotBefore: 0 as Millis,
            holder: undefined,
            holderRevision: 0,
        },
    };
}

/** Milliseconds since the store last confirmed the published state, by the clock that counts more of them. */
export const computeStoreAgeMs = (node: ForwardNodeRow, now: Millis, wallNow: number): number =>
    Math.max(now - node.storeConfirmedAt, wallNow - node.storeWallConfirmedAt);

/** True while the lease is valid by both clocks. */
export const isForwardLeaseValid = (lease: ForwardLease, now: Millis, wallNow: number): boolean =>
    lease.id !== undefined && now < lease.validUntil && wallNow < lease.wallValidUntil;
