/** Key-value store in memory with revisions, compare-and-swap, leases and watches, as the platform offers it. */

export interface StoredRow {
    readonly key: string;
    readonly value: string;
    readonly lease: string | undefined;
    readonly createRevision: number;
    readonly modRevision: number;
}

export interface StoredChange {
    readonly row: StoredRow;
    readonly isDeleted: boolean;
}

export interface Compare {
    readonly key: string;
    readonly target: "CREATE" | "MOD" | "VALUE";
    readonly expected: number | string;
}

export type Operation =
    | { readonly kind: "put"; readonly key: string; readonly value: string; readonly lease?: string; }
    | { readonly kind: "delete"; readonly key: string; }
    | { readonly kind: "range"; readonly key: string; readonly end?: string; };

interface Lease {
    readonly ttlSeconds: number;
    expiresAt: number;
    readonly keys: Set<string>;
}

export interface Watcher {
    readonly key: string;
    readonly end: string | undefined;
    readonly deliver: (revision: number, changes: readonly StoredChange[]) => void;
}

export interface KeyValueStore {
    getRevision(): number;
    listRange(key: string, end: string | undefined): StoredRow[];
    runTransaction(
        compare: readonly Compare[],
        success: readonly Operation[],
        failure: readonly Operation[],
    ): { readonly succeeded: boolean; readonly revision: number; readonly reads: readonly StoredRow[][]; };
    grantLease(ttlSeconds: number): string;
    /** Returns the seconds until expiry, or 0 when the lease does not exist. */
    renewLease(lease: string): number;
    revokeLease(lease: string): void;
    /** Removes expired leases and their keys. */
    expireLeases(): void;
    /** Extends every lease to its full TTL from now, as after an outage in which no renewal could arrive. */
    extendLeases(): void;
    addWatcher(watcher: Watcher, fromRevision: number): void;
    removeWatcher(watcher: Watcher): void;
}

const isInRange = (key: string, from: string, end: string | undefined): boolean =>
    end === undefined ? key === from : key >= from && key < end;

/** Changes retained for watches that start at an earlier revision. */
const maxRetainedChanges = 10_000;

/** Creates an empty store. `getNow` gives milliseconds. */
export function createKeyValueStore({ getNow }: { readonly getNow: () => number; }): KeyValueStore {
    const rows = new Map<string, StoredRow>();
    const leases = new Map<string, Lease>();
    const watchers = new Set<Watcher>();
    const history: { readonly revision: number; readonly change: StoredChange; }[] = [];
    let revision = 1;
    let nextLease = 1;

    function checkCompare({ key, target, expected }: Compare): boolean {
        const row = rows.get(key);
        const actual = { CREATE: row?.createRevision ?? 0, MOD: row?.modRevision ?? 0, VALUE: row?.value }[target];
        return actual === expected;
    }

    function applyPut({ key, value, lease }: Extract<Operation, { kind: "put"; }>, newRevision: number): StoredChange {
        const previous = rows.get(key);
        if (previous?.lease !== undefined) {
            leases.get(previous.lease)?.keys.delete(key);
        }
        const row = {
            key,
            value,
            lease,
            createRevision: previous?.createRevision ?? newRevision,
            modRevision: newRevision,
        };
        rows.set(key, row);
        if (lease !== undefined) {
            leases.get(lease)?.keys.add(key);
        }
        return { row, isDeleted: false };
    }

    function applyDelete(key: string, newRevision: number): StoredChange | undefined {
        const row = rows.get(key);
        if (!row) {
            return undefined;
        }
        rows.delete(key);
        return { row: { ...row, value: "", modRevision: newRevision }, isDeleted: true };
    }

    function sendChanges(changes: readonly StoredChange[]): void {
        history.push(...changes.map(change => ({ revision, change })));
        history.splice(0, Math.max(0, history.length - maxRetainedChanges));
        for (const watcher of watchers) {
            const matching = changes.filter(change => isInRange(change.row.key, watcher.key, watcher.end));
            if (matching.length > 0) {
                watcher.deliver(revision, matching);
            }
        }
    }

    function listRange(key: string, end: string | undefined): StoredRow[] {
        if (end === undefined) {
            const row = rows.get(key);
            return row ? [row] : [];
        }
        return [...rows.values()]
            .filter(row => isInRange(row.key, key, end))
            .sort((left, right) => (left.key < right.key ? -1 : 1));
    }

    function runOperations(operations: readonly Operation[]): StoredRow[][] {
        const reads: StoredRow[][] = [];
        const changes: StoredChange[] = [];
        const isWrite = operations.some(operation => operation.kind !== "range");
        const newRevision = isWrite ? revision + 1 : revision;
        for (const operation of operations) {
            if (operation.kind === "range") {
                reads.push(listRange(operation.key, operation.end));
                continue;
            }
            const change = operation.kind === "put"
                ? applyPut(operation, newRevision)
                : applyDelete(operation.key, newRevision);
            if (change) {
                changes.push(change);
            }
        }
        if (changes.length > 0) {
            revision = newRevision;
            sendChanges(changes);
        }
        return reads;
    }

    function revokeLease(id: string): void {
        const lease = leases.get(id);
        leases.delete(id);
        runOperations([...(lease?.keys ?? [])].map(key => ({ kind: "delete", key })));
    }

    return {
        getRevision: () => revision,
        listRange,
        runTransaction: (compare, success, failure) => {
            const succeeded = compare.every(checkCompare);
            // A key attached to a lease that does not exist would never expire, so the platform refuses the write.
            const puts = (succeeded ? success : failure).filter(operation => operation.kind === "put");
            if (puts.some(put => put.lease !== undefined && !leases.has(put.lease))) {
                throw new Error("The lease does not exist.");
            }
            const reads = runOperations(succeeded ? success : failure);
            return { succeeded, revision, reads };
        },
        grantLease: ttlSeconds => {
            const id = String(nextLease);
            nextLease += 1;
            leases.set(id, { ttlSeconds, expiresAt: getNow() + ttlSeconds * 1000, keys: new Set() });
            return id;
        },
        renewLease: id => {
            const lease = leases.get(id);
            if (!lease) {
                return 0;
            }
            lease.expiresAt = getNow() + lease.ttlSeconds * 1000;
            return lease.ttlSeconds;
        },
        revokeLease,
        expireLeases: () => {
            const now = getNow();
            for (const [id, lease] of leases) {
                if (now >= lease.expiresAt) {
                    revokeLease(id);
                }
            }
        },
        extendLeases: () => {
            for (const lease of leases.values()) {
                lease.expiresAt = Math.max(lease.expiresAt, getNow() + lease.ttlSeconds * 1000);
            }
        },
        addWatcher: (watcher, fromRevision) => {
            const missed = history
                .filter(entry =>
                    entry.revision >= fromRevision && isInRange(entry.change.row.key, watcher.key, watcher.end)
                )
                .map(entry => entry.change);
            if (fromRevision > 0 && missed.length > 0) {
                watcher.deliver(revision, missed);
            }
            watchers.add(watcher);
        },
        removeWatcher: watcher => {
            watchers.delete(watcher);
        },
    };
}
