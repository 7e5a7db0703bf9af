/** Idempotency claims that this VM made in the store and has not settled. Outlives the rows of the requests. */
import type { ClaimEnd, ClaimRecord } from "../claims";
import type { ClaimId, Millis, RequestId } from "../ids";
import type { AnswerRecord } from "../requests";

/**
 * `creating` waits for the store to create the row, `readingBack` for the row after the answer was lost; a `held`
 * row is ours and its request may be sent. After the request `finishing` records its end, and `releasing` deletes
 * the row of a request of which nothing was handed to a socket.
 */
export type ClaimState = "creating" | "readingBack" | "held" | "finishing" | "releasing";

export interface ClaimRow {
    readonly id: ClaimId;
    readonly record: ClaimRecord;
    /** Time that a dated key carries, in milliseconds since the Unix epoch. */
    readonly keyTime: number | undefined;
    state: ClaimState;
    /** Revision of our row in the store; undefined while the row is not known to exist. */
    revision: number | undefined;
    /** Number of times the creation was sent. */
    creations: number;
    /** True when a creation whose answer was lost may have taken effect or may still do so. */
    mayExist: boolean;
    lastCreatedAt: Millis;
    /** Answer of the attempt that finished. */
    answer: AnswerRecord | undefined;
    end: ClaimEnd | undefined;
    /** True while a store call for the claim is under way. */
    isPending: boolean;
    /** Failed store calls in a row while the claim is settled. */
    failures: number;
}

export interface ClaimsTable {
    readonly size: number;
    get(request: RequestId): ClaimRow | undefined;
    list(): readonly ClaimRow[];
    /** Claims whose request has ended and whose settlement the store has not confirmed. */
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
