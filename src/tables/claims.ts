/** Unsettled idempotency claims of this VM. A claim row can outlive the row of its request. */
import type { ClaimEnd, ClaimRecord } from "../claims";
import type { ClaimId, Millis, RequestId } from "../ids";
import type { AnswerRecord } from "../requests";

/**
 * `creating`: the store is creating the row. `readingBack`: the row is being read after the answer to a creation was
 * lost. `held`: the stored row names this request, which may now be sent. `finishing`: the end of the request is being
 * recorded. `releasing`: the row is being deleted, since no byte of the request was written to a socket.
 */
export type ClaimState = "creating" | "readingBack" | "held" | "finishing" | "releasing";

export interface ClaimRow {
    readonly id: ClaimId;
    readonly record: ClaimRecord;
    /** Time encoded in a dated Idempotency-Key, in milliseconds since the Unix epoch. */
    readonly keyTime: number | undefined;
    state: ClaimState;
    /** Revision of the stored row of this claim; undefined while the row is not known to exist. */
    revision: number | undefined;
    /** Number of creations sent. */
    sentCreations: number;
    /** True when a creation whose answer was lost may have taken effect or may still take effect. */
    mayExist: boolean;
    lastCreationSentAt: Millis;
    /** Answer of the finished attempt. */
    answer: AnswerRecord | undefined;
    end: ClaimEnd | undefined;
    /** True while a store call for the claim is pending. */
    isPending: boolean;
    /** Consecutive failed store calls during settlement; determines the back-off. */
    failures: number;
}

export interface ClaimsTable {
    readonly size: number;
    get(request: RequestId): ClaimRow | undefined;
    list(): readonly ClaimRow[];
    /** Number of claims whose request has ended and whose settlement is not confirmed by the store. */
    countUnsettled(): number;
    add(row: ClaimRow): void;
    remove(row: ClaimRow): void;
}

/** Creates an empty table. Rows are keyed by the request that made the claim. */
export function createClaimsTable(): ClaimsTable {
    const rows = new Map<RequestId, ClaimRow>();
    return {
        get size() {
            return rows.size;
        },
        get: request => rows.get(request),
        list: () => [...rows.values()],
        countUnsettled: () => {
            let count = 0;
            for (const row of rows.values()) {
                count += row.state === "finishing" || row.state === "releasing" ? 1 : 0;
            }
            return count;
        },
        add: row => {
            rows.set(row.record.request, row);
        },
        remove: row => {
            rows.delete(row.record.request);
        },
    };
}
