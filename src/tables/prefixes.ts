/** Which engines are expected to hold which prompt prefixes. Bounded; the least recently used rows go first. */
import type { Incarnation, Millis, PrefixId, TargetId } from "../ids";

/** One engine that is expected to hold a prefix. */
export interface PrefixHolder {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    seenAt: Millis;
}

export interface PrefixesTable {
    readonly size: number;
    /** Holders of a prefix, without changing its age. */
    listHolders(prefix: PrefixId): readonly PrefixHolder[];
    add(prefix: PrefixId, holder: PrefixHolder): void;
    remove(prefix: PrefixId, target: TargetId): void;
}

const noHolders: readonly PrefixHolder[] = [];

/** Creates an empty table of at most `maxRows` prefixes. */
export function createPrefixesTable({ maxRows }: { readonly maxRows: number; }): PrefixesTable {
    const rows = new Map<PrefixId, PrefixHolder[]>();

    function removeOldest(): void {
        for (const prefix of rows.keys()) {
            if (rows.size <= maxRows) {
                return;
            }
            rows.delete(prefix);
        }
    }

    return {
        get size() {
            return rows.size;
        },
        listHolders: prefix => rows.get(prefix) ?? noHolders,
        add: (prefix, holder) => {
            const others = (rows.get(prefix) ?? []).filter(other => other.target !== holder.target);
            // Deleted first, so that the row moves to the end of the order of use.
            rows.delete(prefix);
            rows.set(prefix, [...others, holder]);
            removeOldest();
        },
        remove: (prefix, target) => {
            const others = (rows.get(prefix) ?? []).filter(other => other.target !== target);
            if (others.length > 0) {
                rows.set(prefix, others);
            }
            else {
                rows.delete(prefix);
            }
        },
    };
}
