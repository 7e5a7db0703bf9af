/** Calls to the platform's key-value store and their outcomes, independent of the wire format. */
import type { Result } from "ts-results";
import type { LeaseId, Millis } from "./ids";

/** Key of the store with its value and revisions. */
export interface StoreRow {
    readonly key: string;
    readonly value: string;
    /** Revision at which the key was created; 0 when the key does not exist. */
    readonly createRevision: number;
    /** Revision of the last change of the key. */
    readonly modRevision: number;
}

export type StoreCompare =
    | { readonly key: string; readonly createRevision: number; }
    | { readonly key: string; readonly modRevision: number; }
    | { readonly key: string; readonly value: string; };

export type StoreOperation =
    | { readonly kind: "put"; readonly key: string; readonly value: string; readonly lease?: LeaseId; }
    | { readonly kind: "delete"; readonly key: string; }
    | { readonly kind: "range"; readonly range: StoreRange; };

/** Keys to read: a single key, all keys with a prefix, or the keys from `key` up to but not including `end`. */
export interface StoreRange {
    readonly key: string;
    readonly prefix?: boolean;
    readonly end?: string;
}

export type StoreCall =
    | { readonly kind: "range"; readonly range: StoreRange; readonly limit?: number; }
    | {
        readonly kind: "transaction";
        readonly compare: readonly StoreCompare[];
        readonly success: readonly StoreOperation[];
        readonly failure?: readonly StoreOperation[];
    }
    | { readonly kind: "grantLease"; readonly ttlSeconds: number; }
    | { readonly kind: "renewLease"; readonly lease: LeaseId; }
    | { readonly kind: "revokeLease"; readonly lease: LeaseId; };

export type StoreAnswer =
    | { readonly kind: "rows"; readonly revision: number; readonly rows: readonly StoreRow[]; }
    | {
        readonly kind: "transaction";
        readonly succeeded: boolean;
        readonly revision: number;
        /** Era of the store in which the revision was given; absent when the store names none. */
        readonly era?: number;
        /** Rows read by the range operations of the executed branch, in order. */
        readonly reads: readonly (readonly StoreRow[])[];
    }
    /** `ttlSeconds` is 0 when the lease no longer exists. */
    | { readonly kind: "lease"; readonly lease: LeaseId; readonly ttlSeconds: number; }
    | { readonly kind: "revoked"; };

/** Failure of a store call. With `effect: "unknown"` the call may have taken effect. */
export interface StoreFailure {
    readonly effect: "none" | "unknown";
    readonly message: string;
}

export interface StoreOutcome {
    readonly result: Result<StoreAnswer, StoreFailure>;
    /** Time at which the call was sent. The validity of leases is counted from here. */
    readonly sentAt: Millis;
}

/** Change delivered by a watch; `value` is undefined for a deleted key. */
export interface StoreChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly modRevision: number;
}

/** Computes the range end that covers all keys with the prefix, as defined by the store's protocol. Keys are ASCII. */
export function computePrefixEnd(prefix: string): string {
    const lastCharCode = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(lastCharCode + 1);
}

/** Returns the rows of an answer to a range call; empty for any other answer. */
export const listAnswerRows = (answer: StoreAnswer): readonly StoreRow[] => (answer.kind === "rows" ? answer.rows : []);

/** Returns the rows read by all range operations in the executed branch of a transaction. */
export const listAnswerReads = (answer: StoreAnswer): readonly StoreRow[] =>
    answer.kind === "transaction" ? answer.reads.flat() : [];
