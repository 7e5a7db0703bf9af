/** State of this process: its life cycle and its leases in the store. One row. */
import { addMillis, type LeaseId, type Millis } from "../ids";

export interface StoreLease {
    id: LeaseId | undefined;
    /** End of validity: the time at which the last successful renewal was sent, plus the lease's time to live. */
    validUntil: Millis;
    /** True while a call that changes the lease is pending. */
    isPending: boolean;
}

export interface NodeRow {
    state: "starting" | "live" | "draining" | "stopped";
    startedAt: Millis | undefined;
    drainingSince: Millis | undefined;
    /** False once a draining process refuses new requests. */
    isAdmitting: boolean;
    hasExited: boolean;
    readonly memberLease: StoreLease;
    readonly slotLease: StoreLease;
    /** Number of the floor slot held by this process. */
    slot: number | undefined;
    /** Time at which the current slot lease was granted; answers to earlier calls belong to another lease. */
    slotLeaseGrantedAt: Millis;
    /** Number of unanswered calls that revoke leases; undefined until the process starts to revoke them. */
    pendingRevocations: number | undefined;
    /** Lists of the members in a row that had a row which cannot be decoded. */
    undecodableMemberLists: number;
    /** Time of the last successful answer of the store to any call. */
    storeAnsweredAt: Millis | undefined;
}

const createLease = (): StoreLease => ({ id: undefined, validUntil: 0 as Millis, isPending: false });

/** Creates the row of a starting process. */
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
        slotLeaseGrantedAt: 0 as Millis,
        pendingRevocations: undefined,
        undecodableMemberLists: 0,
        storeAnsweredAt: undefined,
    };
}

/** True while the lease is valid on the clock of this process. */
export const isLeaseValid = (lease: StoreLease, now: Millis): boolean =>
    lease.id !== undefined && now < lease.validUntil;

/** Assumed upper bound on the ratio between the clock speeds of two VMs. */
export const maxClockSpeedRatio = 1.02;

/** True while the lease is valid on the store's clock as well, which may run faster than the clock of this process. */
export const isLeaseValidOnStoreClock = (lease: StoreLease, now: Millis, leaseMs: number): boolean =>
    isLeaseValid(lease, addMillis(now, leaseMs * (1 - 1 / maxClockSpeedRatio)));
