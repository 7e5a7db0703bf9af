/** Applies the store calls of systems to the store stand-in directly, without the wire format. */
import { Err, Ok, type Result } from "ts-results";
import { toLeaseId } from "../src/ids";
import { computePrefixEnd, type StoreAnswer, type StoreCall, type StoreFailure, type StoreRange } from "../src/store";
import type { Compare, KeyValueStore, Operation } from "./keyValueStore";

type Calls = { readonly [Kind in StoreCall["kind"]]: Extract<StoreCall, { readonly kind: Kind; }>; };

const computeEnd = (range: StoreRange): string | undefined =>
    range.end ?? (range.prefix ? computePrefixEnd(range.key) : undefined);

function toCompare(compare: Calls["transaction"]["compare"][number]): Compare {
    if ("createRevision" in compare) {
        return { key: compare.key, target: "CREATE", expected: compare.createRevision };
    }
    return "modRevision" in compare
        ? { key: compare.key, target: "MOD", expected: compare.modRevision }
        : { key: compare.key, target: "VALUE", expected: compare.value };
}

function toOperation(operation: Calls["transaction"]["success"][number]): Operation {
    if (operation.kind !== "range") {
        return operation;
    }
    const end = computeEnd(operation.range);
    return { kind: "range", key: operation.range.key, ...(end === undefined ? {} : { end }) };
}

const callHandlers: {
    readonly [Kind in StoreCall["kind"]]: (store: KeyValueStore, call: Calls[Kind]) => StoreAnswer;
} = {
    range: (store, { range, limit }) => ({
        kind: "rows",
        revision: store.getRevision(),
        rows: store.listRange(range.key, computeEnd(range)).slice(0, limit),
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
    revokeLease: (store, { lease }) => {
        store.revokeLease(lease);
        return { kind: "revoked" };
    },
};

export function runStoreCall(store: KeyValueStore, call: StoreCall): Result<StoreAnswer, StoreFailure> {
    store.expireLeases();
    try {
        return Ok((callHandlers[call.kind] as (store: KeyValueStore, call: StoreCall) => StoreAnswer)(store, call));
    }
    catch (error) {
        return Err({ effect: "none", message: String(error) });
    }
}
