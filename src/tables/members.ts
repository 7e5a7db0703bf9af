/** Known members of the fleet, including this process. */
import type { ConfigVersion, DataCentreId, Incarnation, Millis, VmId } from "../ids";

export interface MemberRow {
    readonly vm: VmId;
    incarnation: Incarnation;
    dataCentre: DataCentreId;
    callerAddress: string;
    peerAddress: string;
    state: "live" | "draining";
    configVersion: ConfigVersion;
    /** True once the member's configuration was confirmed since its process started. */
    hasConfirmedVersion: boolean;
    /** Time of the member's latest digest, received directly or through a peer. */
    lastSeenAt: Millis | undefined;
    /**
     * Last time at which the member, having confirmed its configuration since it started, is known to have had at
     * most the active version. Any member may have reported this.
     */
    notNewerSeenAt: Millis | undefined;
    /** Last time at which the store confirmed the configuration head to the member itself. */
    storeConfirmedAt: Millis | undefined;
    /** True while the member is registered in the store on a valid lease. */
    isRegistered: boolean;
    /** True while the platform's VM list contains the VM. */
    isListed: boolean;
    /** True when the platform's VM list marks the VM as leaving. */
    isLeaving: boolean;
}

/** All members, sorted by id. */
export interface MemberRoster {
    readonly rows: readonly MemberRow[];
    /** Ids of the members, separated by newlines. */
    readonly text: string;
}

export interface MembersTable {
    readonly size: number;
    get(vm: VmId): MemberRow | undefined;
    list(): readonly MemberRow[];
    /** Lists the members in the same order on every VM that knows the same members. */
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
