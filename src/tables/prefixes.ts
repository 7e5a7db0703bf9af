/** Which engines are expected to hold which prompt prefixes. Bounded; the least recently used rows go first. */
import type { Incarnation, Millis, PrefixId, TargetId } from "../ids";

/** One engine that is expected to hold a prefix. */
export interface PrefixHolder {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    seenAt: Millis;
}

/** A prefix that several requests used, with an engine that holds it. */
export interface ReusedPrefix {
    readonly prefix: PrefixId;
    readonly target: TargetId;
    readonly incarnation: Incarnation;
}

export interface PrefixesTable {
    readonly size: number;
    /** Holders of a prefix, without changing its age. */
    listHolders(prefix: PrefixId): readonly PrefixHolder[];
    add(prefix: PrefixId, holder: PrefixHolder): void;
    /** Adds a holder that a peer reported or that is expected soon. It counts as no use and is not told to peers. */
    addExpected(prefix: PrefixId, holder: PrefixHolder): void;
    remove(prefix: PrefixId, target: TargetId): void;
    /** Removes and returns up to `limit` reused prefixes that peers have not been told of, newest first. */
    takeReused(limit: number): ReusedPrefix[];
}

interface PrefixRow {
    readonly holders: readonly PrefixHolder[];
    /** Times that requests of this process used the prefix. */
    readonly uses: number;
}

const noHolders: readonly PrefixHolder[] = [];
/** Reused prefixes that wait to be told to peers; older ones are dropped. */
const maxReused = 4096;
/** A prefix that only one request used is not worth a message. */
const minUses = 2;

const isSameHolder = (left: PrefixHolder, right: PrefixHolder): boolean =>
    left.target === right.target && left.incarnation === right.incarnation;

/** Creates an empty table of at most `maxRows` prefixes. */
export function createPrefixesTable({ maxRows }: { readonly maxRows: number; }): PrefixesTable {
    const rows = new Map<PrefixId, PrefixRow>();
    const reused = new Map<string, ReusedPrefix>();

    function removeOldest(): void {
        for (const prefix of rows.keys()) {
            if (rows.size <= maxRows) {
                return;
            }
            rows.delete(prefix);
        }
    }

    function updateRow(prefix: PrefixId, holder: PrefixHolder, uses: number): void {
        const others = (rows.get(prefix)?.holders ?? []).filter(other => other.target !== holder.target);
        // Deleted first, so that the row moves to the end of the order of use.
        rows.delete(prefix);
        rows.set(prefix, { holders: [...others, holder], uses });
        removeOldest();
    }

    function recordReuse(prefix: PrefixId, holder: PrefixHolder): void {
        const { target, incarnation } = holder;
        reused.set(`${prefix}/${target}`, { prefix, target, incarnation });
        for (const key of reused.keys()) {
            if (reused.size <= maxReused) {
                return;
            }
            reused.delete(key);
        }
    }

    return {
        get size() {
            return rows.size;
        },
        listHolders: prefix => rows.get(prefix)?.holders ?? noHolders,
        add: (prefix, holder) => {
            const row = rows.get(prefix);
            const uses = (row?.uses ?? 0) + 1;
            const isNews = uses === minUses || !row?.holders.some(other => isSameHolder(other, holder));
            updateRow(prefix, holder, uses);
            if (uses >= minUses && isNews) {
                recordReuse(prefix, holder);
            }
        },
        addExpected: (prefix, holder) => {
            updateRow(prefix, holder, rows.get(prefix)?.uses ?? 0);
        },
        remove: (prefix, target) => {
            const row = rows.get(prefix);
            if (!row) {
                return;
            }
            const others = row.holders.filter(other => other.target !== target);
            if (others.length > 0) {
                rows.set(prefix, { ...row, holders: others });
            }
            else {
                rows.delete(prefix);
            }
        },
        takeReused: limit => {
            const taken = [...reused].slice(-limit).reverse();
            for (const [key] of taken) {
                reused.delete(key);
            }
            return taken.map(([, entry]) => entry);
        },
    };
}
