/** State of this process: life cycle, contact with the store, lease and duty. */
import type { LeaseId, Millis } from "../../ids";

/** The lease of this process in the store. */
export interface ForwardLease {
    id: LeaseId | undefined;
    /** Valid before this monotonic time: the sending of the last successful renewal plus its length. */
    validUntil: Millis;
    /** Valid before this time since the Unix epoch; the monotonic clock of a suspended VM stands still. */
    wallValidUntil: number;
    isPending: boolean;
    /** Time since the Unix epoch at which the pending call was asked for. */
    wallAskedAt: number;
}

/** The duty to order new weights. */
export interface WeightsDuty {
    state: "none" | "acquiring" | "held";
    /** Create revision of the duty's row; orders of earlier holders have lower numbers. */
    fencing: number;
    /** No order is sent before this time, so that the holder before it cannot act within the guard time. */
    actsFrom: Millis;
    /** The row of the duty as the store last showed it. */
    holder: string | undefined;
}

export interface ForwardNodeRow {
    state: "starting" | "live" | "leaving" | "stopped";
    leavingSince: Millis | undefined;
    /** What the readiness check says. */
    isReady: boolean;
    /** True until the store has been read once. */
    isUnread: boolean;
    /** Time of the first read of the store. */
    firstReadAt: Millis;
    /** Last time at which the store confirmed the published state. */
    storeHeardAt: Millis;
    /** Pause between two deliveries of the store that was last asked for; 0 before the first. */
    storePauseMs: number;
    /** Since when the store has answered without interruption; undefined while it is silent. */
    storeSteadySince: Millis | undefined;
    readonly lease: ForwardLease;
    isRegistered: boolean;
    readonly duty: WeightsDuty;
}

/** Creates the row of a process that has just started. */
export function createForwardNodeRow(): ForwardNodeRow {
    return {
        state: "starting",
        leavingSince: undefined,
        isReady: false,
        isUnread: true,
        firstReadAt: 0 as Millis,
        storeHeardAt: 0 as Millis,
        storePauseMs: 0,
        storeSteadySince: undefined,
        lease: {
            id: undefined,
            validUntil: 0 as Millis,
            wallValidUntil: 0,
            isPending: false,
            wallAskedAt: 0,
        },
        isRegistered: false,
        duty: { state: "none", fencing: 0, actsFrom: 0 as Millis, holder: undefined },
    };
}

/** True while the lease is certainly valid on both clocks. */
export const isForwardLeaseValid = (lease: ForwardLease, now: Millis, wallNow: number): boolean =>
    lease.id !== undefined && now < lease.validUntil && wallNow < lease.wallValidUntil;
