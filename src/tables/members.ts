/** Members of the fleet as this process knows them, itself included. */
import type { ConfigVersion, DataCentreId, Incarnation, Millis, VmId } from "../ids";

export interface MemberRow {
    readonly vm: VmId;
    incarnation: Incarnation;
    dataCentre: DataCentreId;
    callerAddress: string;
    peerAddress: string;
    state: "live" | "draining";
    configVersion: ConfigVersion;
    /** True once the member's version was confirmed in its present run. */
    vouches: boolean;
    /** Last time at which the member spoke, directly or as a peer reported it. */
    heardAt: Millis | undefined;
    /** Last time at which the member is known to have vouched for at most the version in force, by any report. */
    versionSeenAt: Millis | undefined;
    /** Last time at which the member confirmed the configuration head with the store itself. */
    storeConfirmedAt: Millis | undefined;
    /** True while the store holds a registration of the member on a valid lease. */
    isRegistered: boolean;
    /** True while the platform's list of VMs names the VM. */
    isListed: boolean;
    /** True when the platform's list says that the VM is leaving. */
    isLeaving: boolean;
}

export interface MemberRoster {
    readonly rows: readonly MemberRow[];
    /** The ids, one a line. */
    readonly text: string;
}

export interface MembersTable {
    readonly size: number;
    get(vm: VmId): MemberRow | undefined;
    list(): readonly MemberRow[];
    /** All members in the order of their ids, which is the same on every VM that knows the same members. */
    getRoster(): MemberRoster;
    add(row: MemberRow): void;
    remove(vm: VmId): void;
}

/** Creates an empty table. */
export function createMembersTable(): MembersTable {
    const rows = new Map<VmId, MemberRow>();
    let roster: MemberRoster | undefined;

    function createRoster(): MemberRoster {
        const sorted = [...rows.values()].sort((left, right) => (left.vm < right.vm ? -1 : 1));
        return { rows: sorted, text: sorted.map(row => row.vm).join("\n") };
    }

    return {
        get size() {
            return rows.size;
        },
        get: vm => rows.get(vm),
        list: () => [...rows.values()],
        getRoster: () => (roster ??= createRoster()),
        add: row => {
            rows.set(row.vm, row);
            roster = undefined;
        },
        remove: vm => {
            rows.delete(vm);
            roster = undefined;
        },
    };
}
