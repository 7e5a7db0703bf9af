/** State of this process: its life cycle and its leases in the store. One row. */
import type { LeaseId, Millis } from "../ids";

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
        storeAnsweredAt: undefined,
    };
}

/** True while the lease is certainly valid. */
export const isLeaseValid = (lease: NodeLease, now: Millis): boolean =>
    lease.id !== undefined && now < lease.validUntil;
