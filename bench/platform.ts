/** The platform's store for benchmarks: the stand-in's rows behind the `callStore` effect, without the network. */
import { Ok } from "ts-results";
import { headKey, snapshotKey } from "../src/config/records";
import type { EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { type LeaseId, toLeaseId } from "../src/ids";
import {
    computePrefixEnd,
    type StoreAnswer,
    type StoreCall,
    type StoreCompare,
    type StoreOperation,
    type StoreRange,
} from "../src/store";
import { type Compare, createKeyValueStore, type KeyValueStore, type Operation } from "../standins/keyValueStore";
import type { Simulation } from "./simulation";

const storeDelayMs = 2;

export interface FakeStore {
    call(effect: EffectOf<"callStore">): void;
}

const toEnd = ({ key, prefix, end }: StoreRange): string | undefined => (prefix ? computePrefixEnd(key) : end);

function toCompare(compare: StoreCompare): Compare {
    if ("createRevision" in compare) {
        return { key: compare.key, target: "CREATE", expected: compare.createRevision };
    }
    return "modRevision" in compare
        ? { key: compare.key, target: "MOD", expected: compare.modRevision }
        : { key: compare.key, target: "VALUE", expected: compare.value };
}

function toOperation(operation: StoreOperation): Operation {
    if (operation.kind !== "range") {
        return operation;
    }
    const end = toEnd(operation.range);
    return { kind: "range", key: operation.range.key, ...(end === undefined ? {} : { end }) };
}

type Handlers = {
    readonly [Kind in StoreCall["kind"]]: (
        store: KeyValueStore,
        call: Extract<StoreCall, { readonly kind: Kind; }>,
    ) => StoreAnswer;
};

const handlers: Handlers = {
    range: (store, { range }) => ({
        kind: "rows",
        revision: store.getRevision(),
        rows: store.listRange(range.key, toEnd(range)),
    }),
    transaction: (store, { compare, success, failure = [] }) => ({
        kind: "transaction",
        ...store.runTransaction(compare.map(toCompare), success.map(toOperation), failure.map(toOperation)),
    }),
    grantLease: (store, { ttlSeconds }) => ({
        kind: "lease",
        lease: toLeaseId(store.grantLease(ttlSeconds)),
        ttlSeconds,
    }),
    renewLease: (store, { lease }) => ({ kind: "lease", lease, ttlSeconds: store.renewLease(lease) }),
    revokeLease: (store, { lease }: { readonly lease: LeaseId; }) => {
        store.revokeLease(lease);
        return { kind: "revoked" };
    },
};

/** Creates a store that holds version 1 of the configuration and answers every call. */
export function createFakeStore(
    { simulation, document, post }: {
        readonly simulation: Simulation;
        readonly document: unknown;
        readonly post: (event: Event) => void;
    },
): FakeStore {
    const store = createKeyValueStore({ getNow: simulation.getNow });
    store.runTransaction([], [
        { kind: "put", key: snapshotKey, value: JSON.stringify({ version: 1, document }) },
        { kind: "put", key: headKey, value: JSON.stringify({ version: 1, changeId: "benchmark" }) },
    ], []);
    return {
        call: ({ purpose, call }) => {
            const sentAt = simulation.clock.getNow();
            simulation.schedule(storeDelayMs, () => {
                store.expireLeases();
                const answer = (handlers[call.kind] as (store: KeyValueStore, call: StoreCall) => StoreAnswer)(
                    store,
                    call,
                );
                post({ kind: "storeReplied", purpose, outcome: { sentAt, result: Ok(answer) } });
            });
        },
    };
}
