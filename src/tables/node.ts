/** State of this process: its life cycle and its leases in the store. One row. */
import { addMillis, type LeaseId, type Millis } from "../ids";

export interface NodeLease {
    id: LeaseId | undefined;
    /** The lease is valid before this time: the sending of the last successful renewal plus its length. */
    validUntil: Millis;
    /** True while a call that changes the lease is under way. */
    isPending: boolean;
}

export interface NodeRow {
    state: "starting" | "live" | "draining" | "stopped";
    startedAt: Millis | undefined;
    drainingSince: Millis | undefined;
    /** False once a draining process refuses new requests. */
    isAdmitting: boolean;
    hasExited: boolean;
    readonly memberLease: NodeLease;
    readonly slotLease: NodeLease;
    /** Floor slot that this process holds. */
    slot: number | undefined;
    /** Time at which the present slot lease became known; answers to earlier calls belong to another lease. */
    slotLeaseSince: Millis;
    /** Calls that release leases and are not answered yet; undefined until the process gives them back. */
    pendingReleases: number | undefined;
    /** Last time at which the store answered any call. */
    storeAnsweredAt: Millis | undefined;
}

const createLease = (): NodeLease => ({ id: undefined, validUntil: 0 as Millis, isPending: false });

/** Creates the row of a process that has just started. */
export function createNodeRow(): NodeRow {
    return {
        state: "starting",
        startedAt: undefined,
        drainingSince: undefined,
        isAdmitting: true,
        hasExited: false,
        memberLease: createLease(),
        slotLease: createLease(),
        slot: undefined,
        slotLeaseSince: 0 as Millis,
        pendingReleases: undefined,
        storeAnsweredAt: undefined,
    };
}

/** True while the lease is certainly valid. */
export const isLeaseValid = (lease: NodeLease, now: Millis): boolean =>
    lease.id !== undefined && now < lease.validUntil;

/** Largest difference in speed that is assumed between the clocks of two machines. */
export const clockSpeedMargin = 1.02;

/** True while the lease is valid on the store's clock too, which may run faster than this process's. */
export const isLeaseSafe = (lease: NodeLease, now: Millis, leaseMs: number): boolean =>
    isLeaseValid(lease, addMillis(now, leaseMs * (1 - 1 / clockSpeedMargin)));
