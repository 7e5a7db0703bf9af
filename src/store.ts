/** Calls to the platform's key-value store and their outcomes, independent of the wire format. */
import type { Result } from "ts-results";
import type { LeaseId, Millis } from "./ids";

/** A row of the store. */
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

/** Keys to read: one key, every key with a prefix, or the keys from `key` up to and without `end`. */
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
        /** Rows of the range operations of the branch that was taken, in order. */
        readonly reads: readonly (readonly StoreRow[])[];
    }
    /** `ttlSeconds` is 0 when the lease no longer exists. */
    | { readonly kind: "lease"; readonly lease: LeaseId; readonly ttlSeconds: number; }
    | { readonly kind: "revoked"; };

/** `unknown` means that the call may have taken effect. */
export interface StoreFailure {
    readonly effect: "none" | "unknown";
    readonly message: string;
}

export interface StoreOutcome {
    readonly result: Result<StoreAnswer, StoreFailure>;
    /** Time at which the call was handed to the socket; leases count from here. */
    readonly sentAt: Millis;
}

/** A change that a watch delivered; `value` is undefined for a deleted key. */
export interface StoreChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly modRevision: number;
}

/** Range end that covers every key with the prefix, as the store's protocol defines it. Keys are ASCII. */
export function computePrefixEnd(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/** The rows of an answer to a range call; empty for any other answer. */
export const listAnswerRows = (answer: StoreAnswer): readonly StoreRow[] => (answer.kind === "rows" ? answer.rows : []);

/** The rows that the taken branch of a transaction read, over all its range operations. */
export const listAnswerReads = (answer: StoreAnswer): readonly StoreRow[] =>
    answer.kind === "transaction" ? answer.reads.flat() : [];
