/** Stand-in for the completions mode's platform: a key-value store with etcd's v3 JSON API, and a lagging VM list. */
import type * as http from "node:http";
import { sendJson, type StandinCall, type StandinHandler, startStandinServer } from "./httpServer";
import {
    type Compare,
    createKeyValueStore,
    type KeyValueStore,
    type Operation,
    type StoredRow,
    type Watcher,
} from "./keyValueStore";

export interface VmEntry {
    readonly id: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly state: "live" | "leaving";
}

/** Faults that can be switched while the platform runs. */
export interface PlatformFaults {
    /** Closes the connection of every call and watch of the key-value store. */
    outage: boolean;
    /** Milliseconds added to each call of the key-value store. */
    delayMs: number;
    /** Number of next transactions that are applied but get no answer. */
    loseAnswers: number;
    /** Age of the VM list that is returned, in milliseconds. */
    vmListLagMs: number;
}

export interface PlatformCounters {
    reads: number;
    writes: number;
    watches: number;
    leaseRenewals: number;
}

export interface Platform {
    readonly address: string;
    readonly faults: PlatformFaults;
    readonly counters: PlatformCounters;
    readonly store: KeyValueStore;
    updateVms(vms: readonly VmEntry[]): void;
    startOutage(): void;
    endOutage(): void;
    stop(): Promise<void>;
}

const encodeText = (text: string): string => Buffer.from(text, "utf8").toString("base64");
const decodeText = (text: string): string => Buffer.from(text, "base64").toString("utf8");

interface RangeBody {
    readonly key: string;
    readonly range_end?: string;
    readonly limit?: string;
}

interface OperationBody {
    readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string; };
    readonly request_delete_range?: { readonly key: string; };
    readonly request_range?: RangeBody;
}

interface CompareBody {
    readonly key: string;
    readonly target: "CREATE" | "MOD" | "VALUE";
    readonly create_revision?: string;
    readonly mod_revision?: string;
    readonly value?: string;
}

const toKeyValue = (row: StoredRow): Record<string, unknown> => ({
    key: encodeText(row.key),
    value: encodeText(row.value),
    create_revision: String(row.createRevision),
    mod_revision: String(row.modRevision),
});

const decodeEnd = (range: RangeBody): string | undefined =>
    range.range_end === undefined ? undefined : decodeText(range.range_end);

function toCompare(body: CompareBody): Compare {
    const key = decodeText(body.key);
    const expected = body.target === "VALUE"
        ? decodeText(body.value ?? "")
        : Number(body.target === "CREATE" ? body.create_revision : body.mod_revision);
    return { key, target: body.target, expected };
}

function toOperation(body: OperationBody): Operation {
    if (body.request_put) {
        const { key, value, lease } = body.request_put;
        return {
            kind: "put",
            key: decodeText(key),
            value: decodeText(value),
            ...(lease === undefined ? {} : { lease }),
        };
    }
    if (body.request_delete_range) {
        return { kind: "delete", key: decodeText(body.request_delete_range.key) };
    }
    const range = body.request_range as RangeBody;
    const end = decodeEnd(range);
    return { kind: "range", key: decodeText(range.key), ...(end === undefined ? {} : { end }) };
}

const leaseCheckIntervalMs = 100;
const maxValueBytes = 1_000_000;

/** Starts the platform on loopback. */
export async function startPlatform({ port = 0 }: { readonly port?: number; } = {}): Promise<Platform> {
    const store = createKeyValueStore({ getNow: () => performance.now() });
    const faults: PlatformFaults = { outage: false, delayMs: 0, loseAnswers: 0, vmListLagMs: 0 };
    const counters: PlatformCounters = { reads: 0, writes: 0, watches: 0, leaseRenewals: 0 };
    const openWatches = new Map<Watcher, http.ServerResponse>();
    const vmLists: { readonly at: number; readonly vms: readonly VmEntry[]; }[] = [{ at: 0, vms: [] }];

    const createHeader = (): Record<string, string> => ({ revision: String(store.getRevision()) });

    /** Wraps a handler of the key-value store so that the active faults apply to it. */
    function createStoreHandler(handle: (body: never, call: StandinCall) => unknown): StandinHandler {
        return async call => {
            if (faults.outage) {
                call.response.destroy();
                return;
            }
            if (faults.delayMs > 0) {
                await new Promise(resolve => setTimeout(resolve, faults.delayMs));
            }
            const answer = handle(JSON.parse(call.body) as never, call);
            if (call.url.pathname === "/v3/kv/txn" && faults.loseAnswers > 0) {
                faults.loseAnswers -= 1;
                call.response.destroy();
                return;
            }
            if (answer !== undefined) {
                sendJson(call.response, 200, answer);
            }
        };
    }

    function handleRange(body: RangeBody): unknown {
        counters.reads += 1;
        const rows = store.listRange(decodeText(body.key), decodeEnd(body));
        const limit = Number(body.limit ?? 0);
        const kvs = (limit > 0 ? rows.slice(0, limit) : rows).map(toKeyValue);
        return { header: createHeader(), kvs, count: String(kvs.length) };
    }

    function handleTransaction(
        body: {
            readonly compare?: CompareBody[];
            readonly success?: OperationBody[];
            readonly failure?: OperationBody[];
        },
        { response }: StandinCall,
    ): unknown {
        const operations = [...(body.success ?? []), ...(body.failure ?? [])];
        const puts = operations.map(operation => Buffer.byteLength(operation.request_put?.value ?? "", "base64"));
        if (Math.max(0, ...puts) > maxValueBytes) {
            sendJson(response, 400, { code: 3, message: "The request is too large." });
            return undefined;
        }
        const isRead = operations.every(operation => operation.request_range);
        counters[isRead ? "reads" : "writes"] += 1;
        const result = store.runTransaction(
            (body.compare ?? []).map(toCompare),
            (body.success ?? []).map(toOperation),
            (body.failure ?? []).map(toOperation),
        );
        return {
            header: createHeader(),
            succeeded: result.succeeded,
            responses: result.reads.map(rows => ({
                response_range: { header: createHeader(), kvs: rows.map(toKeyValue) },
            })),
        };
    }

    function handleWatch(
        body: { readonly create_request: RangeBody & { readonly start_revision?: string; }; },
        { response }: StandinCall,
    ): undefined {
        counters.watches += 1;
        const { create_request: range } = body;
        response.writeHead(200, { "content-type": "application/json" });
        const sendResult = (result: Record<string, unknown>): void => {
            response.write(`${JSON.stringify({ result: { header: createHeader(), ...result } })}\n`);
        };
        sendResult({ created: true });
        const watcher: Watcher = {
            key: decodeText(range.key),
            end: decodeEnd(range),
            deliver: (_revision, changes) => {
                sendResult({
                    events: changes.map(change => ({
                        ...(change.isDeleted ? { type: "DELETE" } : {}),
                        kv: toKeyValue(change.row),
                    })),
                });
            },
        };
        openWatches.set(watcher, response);
        store.addWatcher(watcher, Number(range.start_revision ?? 0));
        response.on("close", () => {
            openWatches.delete(watcher);
            store.removeWatcher(watcher);
        });
        return undefined;
    }

    function getVms(): readonly VmEntry[] {
        const visibleLists = vmLists.filter(list => list.at <= performance.now() - faults.vmListLagMs);
        return (visibleLists.at(-1) ?? vmLists[0])?.vms ?? [];
    }

    function startOutage(): void {
        faults.outage = true;
        for (const response of openWatches.values()) {
            response.destroy();
        }
    }

    function endOutage(): void {
        if (faults.outage) {
            store.extendLeases();
        }
        faults.outage = false;
    }

    function updateVms(vms: readonly VmEntry[]): void {
        vmLists.push({ at: performance.now(), vms });
    }

    const server = await startStandinServer({
        port,
        handlers: {
            "POST /v3/kv/range": createStoreHandler(handleRange),
            "POST /v3/kv/txn": createStoreHandler(handleTransaction),
            "POST /v3/lease/grant": createStoreHandler((body: { readonly TTL: string; }) => {
                counters.writes += 1;
                return { ID: store.grantLease(Number(body.TTL)), TTL: body.TTL };
            }),
            "POST /v3/lease/keepalive": createStoreHandler((body: { readonly ID: string; }) => {
                counters.leaseRenewals += 1;
                return { result: { ID: body.ID, TTL: String(store.renewLease(body.ID)) } };
            }),
            "POST /v3/lease/revoke": createStoreHandler((body: { readonly ID: string; }) => {
                counters.writes += 1;
                store.revokeLease(body.ID);
                return {};
            }),
            "POST /v3/watch": createStoreHandler(handleWatch),
            "GET /vms": ({ response }) => {
                sendJson(response, 200, { vms: getVms() });
            },
            "POST /control/vms": ({ response, body }) => {
                updateVms(JSON.parse(body) as VmEntry[]);
                sendJson(response, 200, {});
            },
            "POST /control/faults": ({ response, body }) => {
                const { outage, ...rest } = JSON.parse(body) as Partial<PlatformFaults>;
                Object.assign(faults, rest);
                if (outage !== undefined) {
                    (outage ? startOutage : endOutage)();
                }
                sendJson(response, 200, faults);
            },
            "GET /control/counters": ({ response }) => {
                sendJson(response, 200, { ...counters, openWatches: openWatches.size });
            },
        },
    });
    const leaseTimer = setInterval(() => {
        if (!faults.outage) {
            store.expireLeases();
        }
    }, leaseCheckIntervalMs);

    return {
        address: server.address,
        faults,
        counters,
        store,
        updateVms,
        startOutage,
        endOutage,
        stop: () => {
            clearInterval(leaseTimer);
            return server.stop();
        },
    };
}
