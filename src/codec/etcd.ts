/** JSON mapping of the etcd v3 API, as far as the store client uses it. Keys and values are base64-encoded. */
import { isUtf8 } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import { z } from "zod";
import { toLeaseId } from "../ids";
import {
    computePrefixEnd,
    type StoreAnswer,
    type StoreCall,
    type StoreChange,
    type StoreCompare,
    type StoreOperation,
    type StoreRange,
    type StoreRow,
} from "../store";

const encodeBytes = (text: string): string => Buffer.from(text, "utf8").toString("base64");
const decodeBytes = (text: string): string => Buffer.from(text, "base64").toString("utf8");

/**
 * Longer values are compressed: a configuration of the planned size has 2.3 MB, or 0.4 MB compressed, and the store
 * accepts values of up to 1 MB.
 */
const maxUncompressedLength = 65_536;
/** Prefix of compressed values. All other values are JSON and cannot begin with it. */
const compressedPrefix = "gzip:";

const encodeValue = (text: string): string =>
    encodeBytes(text.length > maxUncompressedLength ? compressedPrefix + gzipSync(text).toString("base64") : text);

const isUtf8Base64 = (bytes: string): boolean => {
    const decoded = Buffer.from(bytes, "base64");
    return decoded.toString("base64") === bytes && isUtf8(decoded);
};

/**
 * Decodes a value. One that is damaged is returned as an empty text, which is no record of any kind, so that it does not
 * keep back the other values of the answer. Node would skip what is no base64 and replace what is no UTF-8.
 */
function decodeValue(bytes: string): string {
    if (!isUtf8Base64(bytes)) {
        return "";
    }
    const text = decodeBytes(bytes);
    if (!text.startsWith(compressedPrefix)) {
        return text;
    }
    try {
        return gunzipSync(Buffer.from(text.slice(compressedPrefix.length), "base64")).toString("utf8");
    }
    catch {
        return "";
    }
}

/** 64-bit number, encoded as a string. */
const int64 = z.union([z.string(), z.number()]).transform(Number);
const header = z.looseObject({ revision: int64 }).optional();
const keyValue = z.looseObject({
    key: z.string(),
    value: z.string().default(""),
    create_revision: int64.default(0),
    mod_revision: int64.default(0),
});
const rangeAnswer = z.looseObject({ header, kvs: z.array(keyValue).default([]) });
const transactionAnswer = z.looseObject({
    header,
    succeeded: z.boolean().default(false),
    responses: z.array(z.looseObject({ response_range: rangeAnswer.optional() })).default([]),
});
const leaseAnswer = z.looseObject({ ID: z.string().default(""), TTL: int64.default(0) });
const renewAnswer = z.looseObject({ result: leaseAnswer });
const watchAnswer = z.looseObject({
    result: z.looseObject({
        header,
        created: z.boolean().optional(),
        canceled: z.boolean().optional(),
        compact_revision: int64.optional(),
        events: z.array(z.looseObject({ type: z.string().optional(), kv: keyValue })).default([]),
    }),
});

type KeyValue = z.output<typeof keyValue>;

const toRow = (kv: KeyValue): StoreRow => ({
    key: decodeBytes(kv.key),
    value: decodeValue(kv.value),
    createRevision: kv.create_revision,
    modRevision: kv.mod_revision,
});

function encodeRange(range: StoreRange): Record<string, unknown> {
    const end = range.end ?? (range.prefix ? computePrefixEnd(range.key) : undefined);
    return { key: encodeBytes(range.key), ...(end === undefined ? {} : { range_end: encodeBytes(end) }) };
}

function encodeCompare(compare: StoreCompare): Record<string, unknown> {
    const key = encodeBytes(compare.key);
    if ("createRevision" in compare) {
        return { key, target: "CREATE", result: "EQUAL", create_revision: String(compare.createRevision) };
    }
    if ("modRevision" in compare) {
        return { key, target: "MOD", result: "EQUAL", mod_revision: String(compare.modRevision) };
    }
    return { key, target: "VALUE", result: "EQUAL", value: encodeBytes(compare.value) };
}

const operationEncoders: {
    readonly [Kind in StoreOperation["kind"]]: (
        operation: Extract<StoreOperation, { readonly kind: Kind; }>,
    ) => Record<string, unknown>;
} = {
    put: ({ key, value, lease }) => ({
        request_put: { key: encodeBytes(key), value: encodeValue(value), ...(lease === undefined ? {} : { lease }) },
    }),
    delete: ({ key }) => ({ request_delete_range: { key: encodeBytes(key) } }),
    range: ({ range }) => ({ request_range: encodeRange(range) }),
};

const encodeOperation = (operation: StoreOperation): Record<string, unknown> =>
    (operationEncoders[operation.kind] as (operation: StoreOperation) => Record<string, unknown>)(operation);

/** Path, body and decoder of a store call. */
export interface EncodedCall {
    readonly path: string;
    readonly body: Record<string, unknown>;
    readonly decode: (json: unknown) => StoreAnswer;
}

const decodeTransaction = (json: unknown): StoreAnswer => {
    const answer = transactionAnswer.parse(json);
    const reads = answer.responses
        .map(response => response.response_range)
        .filter(range => range !== undefined)
        .map(range => range.kvs.map(toRow));
    return { kind: "transaction", succeeded: answer.succeeded, revision: answer.header?.revision ?? 0, reads };
};

const callEncoders: {
    readonly [Kind in StoreCall["kind"]]: (call: Extract<StoreCall, { readonly kind: Kind; }>) => EncodedCall;
} = {
    range: ({ range, limit }) => ({
        path: "/v3/kv/range",
        body: { ...encodeRange(range), ...(limit === undefined ? {} : { limit: String(limit) }) },
        decode: json => {
            const answer = rangeAnswer.parse(json);
            return { kind: "rows", revision: answer.header?.revision ?? 0, rows: answer.kvs.map(toRow) };
        },
    }),
    transaction: ({ compare, success, failure = [] }) => ({
        path: "/v3/kv/txn",
        body: {
            compare: compare.map(encodeCompare),
            success: success.map(encodeOperation),
            failure: failure.map(encodeOperation),
        },
        decode: decodeTransaction,
    }),
    grantLease: ({ ttlSeconds }) => ({
        path: "/v3/lease/grant",
        body: { TTL: String(ttlSeconds) },
        decode: json => {
            const answer = leaseAnswer.parse(json);
            return { kind: "lease", lease: toLeaseId(answer.ID), ttlSeconds: answer.TTL };
        },
    }),
    renewLease: ({ lease }) => ({
        path: "/v3/lease/keepalive",
        body: { ID: lease },
        decode: json => {
            const { result } = renewAnswer.parse(json);
            return { kind: "lease", lease, ttlSeconds: result.TTL };
        },
    }),
    revokeLease: ({ lease }) => ({
        path: "/v3/lease/revoke",
        body: { ID: lease },
        decode: () => ({ kind: "revoked" }),
    }),
};

/** Encodes a store call. */
export const encodeCall = (call: StoreCall): EncodedCall =>
    (callEncoders[call.kind] as (call: StoreCall) => EncodedCall)(call);

export const watchPath = "/v3/watch";

export function encodeWatch(range: StoreRange, fromRevision: number): Record<string, unknown> {
    return { create_request: { ...encodeRange(range), start_revision: String(fromRevision) } };
}

export type WatchMessage =
    | { readonly kind: "changes"; readonly revision: number; readonly changes: readonly StoreChange[]; }
    | { readonly kind: "created"; readonly revision: number; }
    | { readonly kind: "ended"; };

/** Decodes one line of a watch stream. */
export function decodeWatch(line: string): WatchMessage {
    const { result } = watchAnswer.parse(JSON.parse(line));
    const revision = result.header?.revision ?? 0;
    if (result.canceled || result.compact_revision) {
        return { kind: "ended" };
    }
    if (result.created && result.events.length === 0) {
        return { kind: "created", revision };
    }
    const changes = result.events.map(({ type, kv }) => ({
        key: decodeBytes(kv.key),
        value: type === "DELETE" ? undefined : decodeValue(kv.value),
        modRevision: kv.mod_revision,
    }));
    return { kind: "changes", revision, changes };
}
