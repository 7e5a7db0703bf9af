/** Engines that are expected to hold each prompt prefix. Bounded; evicts the least recently used rows. */
import type { Incarnation, Millis, PrefixId, TargetId } from "../ids";

/** Engine that is expected to hold a prefix. */
export interface PrefixHolder {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    seenAt: Millis;
}

/** Prefix used by several requests, with an engine that holds it. */
export interface ReusedPrefix {
    readonly prefix: PrefixId;
    readonly target: TargetId;
    readonly incarnation: Incarnation;
}

export interface PrefixesTable {
    readonly size: number;
    /** Lists the holders of a prefix. Does not count as a use. */
    listHolders(prefix: PrefixId): readonly PrefixHolder[];
    /** Adds a holder and counts a use of the prefix. */
    add(prefix: PrefixId, holder: PrefixHolder): void;
    /**
     * Adds a holder reported by a peer, or one that will hold the prefix soon. It does not count as a use and is not
     * sent to peers.
     */
    addExpected(prefix: PrefixId, holder: PrefixHolder): void;
    remove(prefix: PrefixId, target: TargetId): void;
    /** Removes and returns up to `limit` reused prefixes that have not been sent to peers, newest first. */
    takeUnreportedReuses(limit: number): ReusedPrefix[];
}

interface PrefixRow {
    readonly holders: readonly PrefixHolder[];
    /** Number of uses by requests of this process. */
    readonly uses: number;
}

const noHolders: readonly PrefixHolder[] = [];
/** Reused prefixes kept until they are sent to peers; the oldest are dropped first. */
const maxUnreportedReuses = 4096;
/** A prefix used by only one request is not worth sending to peers. */
const minUsesToReport = 2;

const isSameHolder = (left: PrefixHolder, right: PrefixHolder): boolean =>
    left.target === right.target && left.incarnation === right.incarnation;

/** Creates an empty table of at most `maxRows` prefixes. */
export function createPrefixesTable({ maxRows }: { readonly maxRows: number; }): PrefixesTable {
    const rows = new Map<PrefixId, PrefixRow>();
    const unreportedReuses = new Map<string, ReusedPrefix>();

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
        // Deleting the row first moves it to the end of the map, so that the map is in the order of last use.
        rows.delete(prefix);
        rows.set(prefix, { holders: [...others, holder], uses });
        removeOldest();
    }

    function recordReuse(prefix: PrefixId, holder: PrefixHolder): void {
        const { target, incarnation } = holder;
        unreportedReuses.set(`${prefix}/${target}`, { prefix, target, incarnation });
        for (const key of unreportedReuses.keys()) {
            if (unreportedReuses.size <= maxUnreportedReuses) {
                return;
            }
            unreportedReuses.delete(key);
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
            const isUnreported = uses === minUsesToReport || !row?.holders.some(other => isSameHolder(other, holder));
            updateRow(prefix, holder, uses);
            if (uses >= minUsesToReport && isUnreported) {
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
        takeUnreportedReuses: limit => {
            const taken = [...unreportedReuses].slice(-limit).reverse();
            for (const [key] of taken) {
                unreportedReuses.delete(key);
            }
            return taken.map(([, reuse]) => reuse);
        },
    };
}
