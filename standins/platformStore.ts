/** Stand-in for the forward mode's key-value store: items with revisions, leases and watches over HTTP with JSON. */
import * as http from "node:http";
import { closeServer, openServer, readJson, sendAnswer } from "./platformHttp";

interface Item {
    readonly key: string;
    /** Text of the value; it is base64-encoded in messages. */
    readonly value: string;
    readonly revision: number;
    readonly createRevision: number;
    readonly lease: number;
}

interface Change {
    readonly revision: number;
    readonly key: string;
    readonly item: Item | undefined;
}

/** How the store treats calls; can be changed while it runs. */
export interface PlatformStoreFaults {
    /**
     * `busy` answers 503, `reset` closes the connection, `silent` neither applies nor answers, `lost` applies calls and
     * never answers.
     */
    mode: "none" | "busy" | "reset" | "silent" | "lost";
}

/** Contents of the store at one time. */
export interface PlatformStoreCopy {
    readonly items: readonly Item[];
    readonly changes: readonly Change[];
    readonly leases: readonly number[];
    readonly revision: number;
}

export interface PlatformStore {
    readonly address: string;
    readonly faults: PlatformStoreFaults;
    /** Number of calls by path. */
    readonly calls: Map<string, number>;
    put(key: string, value: unknown): void;
    putText(key: string, text: string): void;
    delete(key: string): void;
    list(prefix: string): readonly { readonly key: string; readonly value: string; }[];
    /** Drops the change history: watches from an earlier revision get 410, so the watcher must read the range again. */
    compact(): void;
    /** Copies the contents, from which `restore` can bring the store back. */
    copy(): PlatformStoreCopy;
    /** Loses everything since the copy: revisions go back, newer leases are gone, and the era rises by one. */
    restore(copy: PlatformStoreCopy): void;
    close(): Promise<void>;
}

const encodeItem = ({ key, value, revision, createRevision, lease }: Item) => ({
    key,
    "value": Buffer.from(value).toString("base64"),
    revision,
    "create-revision": createRevision,
    lease,
});

interface TransactionBody {
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly deletes: readonly string[];
}

/** Starts a store on a free port of the loopback address. */
export async function startPlatformStore(): Promise<PlatformStore> {
    const items = new Map<string, Item>();
    const leases = new Map<number, { readonly ttlMs: number; timer: NodeJS.Timeout; }>();
    const calls = new Map<string, number>();
    const faults: PlatformStoreFaults = { mode: "none" };
    const pendingWatches = new Set<() => void>();
    let changes: Change[] = [];
    let revision = 1;
    let compactedRevision = 0;
    let nextLease = 1;
    let era = 1;

    function sendStoreAnswer(response: http.ServerResponse, status: number, body: unknown): void {
        sendAnswer(response, status, body, { "Store-Era": String(era) });
    }

    function recordChange(key: string, item: Item | undefined): void {
        if (item) {
            items.set(key, item);
        }
        else {
            items.delete(key);
        }
        changes.push({ revision, key, item });
    }

    function answerWatches(): void {
        for (const checkWatch of [...pendingWatches]) {
            checkWatch();
        }
    }

    function writeItem(key: string, value: string, lease: number): void {
        const createRevision = items.get(key)?.createRevision ?? revision;
        recordChange(key, { key, value, revision, createRevision, lease });
    }

    function endLease(lease: number): boolean {
        const activeLease = leases.get(lease);
        clearTimeout(activeLease?.timer);
        leases.delete(lease);
        const leasedItems = [...items.values()].filter(item => item.lease === lease);
        if (leasedItems.length > 0) {
            revision += 1;
            leasedItems.forEach(item => recordChange(item.key, undefined));
            answerWatches();
        }
        return activeLease !== undefined;
    }

    function startLease(lease: number, ttlMs: number): void {
        clearTimeout(leases.get(lease)?.timer);
        leases.set(lease, { ttlMs, timer: setTimeout(() => endLease(lease), ttlMs) });
    }

    function runTransaction({ expected, writes, deletes }: TransactionBody): { status: number; body: unknown; } {
        const hasConflict = expected.some(({ key, revision: at }) => (items.get(key)?.revision ?? 0) !== at);
        if (hasConflict) {
            const rows = expected.flatMap(({ key }) => {
                const item = items.get(key);
                return item ? [encodeItem(item)] : [];
            });
            return { status: 412, body: { items: rows } };
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
            return { status: 404, body: {} };
        }
        revision += 1;
        for (const { key, value, lease = 0 } of writes) {
            writeItem(key, Buffer.from(value, "base64").toString(), lease);
        }
        for (const key of deletes.filter(name => items.has(name))) {
            recordChange(key, undefined);
        }
        answerWatches();
        return { status: 200, body: { revision } };
    }

    function encodeChanges(prefix: string, after: number): unknown[] {
        return changes
            .filter(change => change.revision > after && change.key.startsWith(prefix))
            .map(change =>
                change.item
                    ? encodeItem(change.item)
                    : { key: change.key, revision: change.revision, tombstone: true }
            );
    }

    function answerWatch(url: URL, response: http.ServerResponse): void {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        if (after < compactedRevision || after > revision) {
            sendStoreAnswer(response, 410, {});
            return;
        }
        const answer = (): void => {
            pendingWatches.delete(check);
            clearTimeout(timer);
            sendStoreAnswer(response, 200, { "events": encodeChanges(prefix, after), "as-of": revision });
        };
        const check = (): void => {
            if (encodeChanges(prefix, after).length > 0) {
                answer();
            }
        };
        const timer = setTimeout(answer, Number(url.searchParams.get("wait-ms")));
        response.on("close", () => {
            pendingWatches.delete(check);
            clearTimeout(timer);
        });
        pendingWatches.add(check);
        check();
    }

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const [, , name = "", id = ""] = url.pathname.split("/");
        calls.set(name, (calls.get(name) ?? 0) + 1);
        const body = await readJson(request);
        const handlers: Readonly<Record<string, () => void>> = {
            "kv-range": () => {
                const prefix = url.searchParams.get("prefix") ?? "";
                const matchingItems = [...items.values()].filter(item => item.key.startsWith(prefix)).map(encodeItem);
                sendStoreAnswer(response, 200, { "items": matchingItems, "truncated": false, "as-of": revision });
            },
            "kv-watch": () => {
                answerWatch(url, response);
            },
            "kv-txn": () => {
                const result = runTransaction(body as TransactionBody);
                sendStoreAnswer(response, result.status, result.body);
            },
            "kv-lease": () => {
                const ttlMs = (body as { readonly "ttl-ms": number; })["ttl-ms"];
                const lease = nextLease;
                nextLease += 1;
                startLease(lease, ttlMs);
                sendStoreAnswer(response, 200, { lease, "ttl-ms": ttlMs });
            },
            "kv-keep": () => {
                const activeLease = leases.get(Number(id));
                if (activeLease) {
                    startLease(Number(id), activeLease.ttlMs);
                }
                sendStoreAnswer(response, activeLease ? 200 : 404, activeLease ? { "ttl-ms": activeLease.ttlMs } : {});
            },
            "kv-lease-end": () => {
                sendStoreAnswer(response, endLease(Number(id)) ? 200 : 404, {});
            },
        };
        handlers[name]?.();
    }

    const server = http.createServer((request, response) => {
        if (faults.mode === "busy") {
            sendStoreAnswer(response, 503, {});
            return;
        }
        if (faults.mode === "reset") {
            request.socket.destroy();
            return;
        }
        if (faults.mode === "silent") {
            return;
        }
        void handleRequest(request, faults.mode === "lost" ? new http.ServerResponse(request) : response);
    });

    return {
        address: await openServer(server),
        faults,
        calls,
        put: (key, value) => {
            revision += 1;
            writeItem(key, JSON.stringify(value), 0);
            answerWatches();
        },
        putText: (key, text) => {
            revision += 1;
            writeItem(key, text, 0);
            answerWatches();
        },
        delete: key => {
            revision += 1;
            recordChange(key, undefined);
            answerWatches();
        },
        list: prefix => [...items.values()].filter(item => item.key.startsWith(prefix)),
        compact: () => {
            changes = [];
            compactedRevision = revision + 1;
            revision += 1;
        },
        copy: () => ({ items: [...items.values()], changes, leases: [...leases.keys()], revision }),
        restore: copy => {
            era += 1;
            revision = copy.revision;
            changes = [...copy.changes];
            items.clear();
            copy.items.forEach(item => items.set(item.key, item));
            for (const [lease, { timer }] of leases) {
                if (!copy.leases.includes(lease)) {
                    clearTimeout(timer);
                    leases.delete(lease);
                }
            }
            answerWatches();
        },
        close: async () => {
            leases.forEach(({ timer }) => {
                clearTimeout(timer);
            });
            await closeServer(server);
        },
    };
}
