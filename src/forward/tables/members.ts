/** Processes of the fleet, from their rows in the store. */
import type { DataCentreId, Millis, VmId } from "../../ids";

export interface ForwardMemberRow {
    readonly vm: VmId;
    /** Address for callers. */
    readonly address: string;
    /** Address for the other processes of the fleet. */
    readonly peerAddress: string;
    readonly dataCentre: DataCentreId;
    readonly state: "live" | "leaving";
}

export interface ForwardMembersTable {
    get(vm: VmId): ForwardMemberRow | undefined;
    list(): readonly ForwardMemberRow[];
    apply(row: ForwardMemberRow): void;
    remove(vm: VmId): void;
    /** Members whose rows a restored store lacks, with the time of their removal unless they register again. */
    readonly missingUntil: Map<VmId, Millis>;
    listVms(): readonly VmId[];
    countLive(): number;
    /** Increases with each change of a row; what is computed from the rows holds until then. */
    readonly revision: number;
}

/** Creates an empty table. */
export function createForwardMembersTable(): ForwardMembersTable {
    const rows = new Map<VmId, ForwardMemberRow>();
    const missingUntil = new Map<VmId, Millis>();
    let revision = 0;
    let liveCount = 0;

    function recordChange(): void {
        revision += 1;
        liveCount = [...rows.values()].filter(row => row.state === "live").length;
    }

    return {
        get revision() {
            return revision;
        },
        get: vm => rows.get(vm),
        list: () => [...rows.values()],
        missingUntil,
        apply: row => {
            missingUntil.delete(row.vm);
            rows.set(row.vm, row);
            recordChange();
        },
        remove: vm => {
            missingUntil.delete(vm);
            rows.delete(vm);
            recordChange();
        },
        listVms: () => [...rows.keys()],
        countLive: () => liveCount,
    };
}
