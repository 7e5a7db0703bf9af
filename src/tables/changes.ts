/** Changes of the configuration that operators asked this process for and that are not answered yet. */
import type { ConfigurationChange } from "../config/change";
import type { ConfigurationDocument } from "../config/document";
import type { CallId, ConfigVersion, VmId } from "../ids";
import type { ChangeCommand } from "../operators";

/**
 * `reading` waits for the head, `catching_up` for the version of the head to come into force here,
 * `committing` for the store transaction, `confirming` for a majority of members.
 */
export type ChangeState = "reading" | "catching_up" | "committing" | "confirming";

export interface HeadReference {
    /** 0 when there is no configuration yet. */
    readonly version: ConfigVersion;
    readonly modRevision: number;
}

/** What a change writes; unchanged while the transaction is repeated after a lost answer. */
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
    /** Unique id that head and change record carry, by which a lost answer is read back. */
    readonly changeId: string;
    readonly command: ChangeCommand;
    readonly holdsFleetSecret: boolean;
    state: ChangeState;
    /** Times the head was read for this change. */
    reads: number;
    /** Version of the head that was read last. */
    headVersion: ConfigVersion;
    prepared: PreparedChange | undefined;
    /** True after an answer of the store was lost: the transaction may have taken effect. */
    isUncertain: boolean;
    /** Members that have the version in force. */
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
