/** Configuration changes requested by operators of this process and not answered yet. */
import type { ConfigurationChange } from "../config/change";
import type { ConfigurationDocument } from "../config/document";
import type { CallId, ConfigVersion, VmId } from "../ids";
import type { ChangeCommand } from "../operators";

/**
 * What the change waits for: `reading` for the head from the store, `catching_up` until the version of the head is
 * active in this process, `committing` for the store transaction, `confirming` for a majority of members.
 */
export type ChangeState = "reading" | "catching_up" | "committing" | "confirming";

export interface HeadReference {
    /** 0 when there is no configuration yet. */
    readonly version: ConfigVersion;
    readonly modRevision: number;
}

/** Data written by a change. The same data is sent again when the transaction is repeated after a lost answer. */
export interface PreparedChange {
    readonly version: ConfigVersion;
    readonly base: HeadReference;
    readonly document: ConfigurationDocument;
    readonly change: ConfigurationChange;
    readonly at: string;
    readonly operator: string;
}

export interface ChangeRow {
    readonly call: CallId;
    /** Unique id stored in the head and the change record; identifies this write when its answer was lost. */
    readonly changeId: string;
    readonly command: ChangeCommand;
    readonly hasFleetSecret: boolean;
    state: ChangeState;
    /** Number of reads of the head for this change. */
    headReads: number;
    /** Version of the head at the last read. */
    headVersion: ConfigVersion;
    prepared: PreparedChange | undefined;
    /** True when the transaction may have taken effect because the store's answer was lost. */
    isUncertain: boolean;
    /** Members on which the version is active. */
    readonly confirmed: Set<VmId>;
}

export interface ChangesTable {
    readonly size: number;
    get(call: CallId): ChangeRow | undefined;
    list(state: ChangeState): readonly ChangeRow[];
    add(row: ChangeRow): void;
    remove(call: CallId): void;
}

/** Creates an empty table. */
export function createChangesTable(): ChangesTable {
    const rows = new Map<CallId, ChangeRow>();
    return {
        get size() {
            return rows.size;
        },
        get: call => rows.get(call),
        list: state => [...rows.values()].filter(row => row.state === state),
        add: row => {
            rows.set(row.call, row);
        },
        remove: call => {
            rows.delete(call);
        },
    };
}
