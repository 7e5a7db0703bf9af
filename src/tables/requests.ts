/** Requests of this VM, including finished ones kept for `explain`. */
import type { ModelReference, Route } from "../config/document";
import {
    type AccountId,
    type ClaimId,
    type ConfigVersion,
    type GrantId,
    type Incarnation,
    type Millis,
    type PrefixId,
    type RequestId,
    type RouteId,
    type TargetId,
    toConfigVersion,
} from "../ids";
import type { CandidateScore } from "../operators";
import type { Refusal } from "../refusals";
import type { RequestArrival } from "../requests";
import type { AttemptEvidence } from "../verdict";

/**
 * `reserving` waits for tokens, `claiming` for the idempotency claim and `queued` for a target; `running` has an
 * attempt in progress; `done` is kept for `explain`.
 */
export type RequestState = "reserving" | "claiming" | "queued" | "running" | "done";

export interface Attempt {
    readonly number: number;
    readonly target: TargetId;
    readonly incarnation: Incarnation | undefined;
    readonly sentAt: Millis;
    evidence: AttemptEvidence;
    state: "sent" | "answered" | "relaying" | "finished" | "failed";
    firstTokenAt: Millis | undefined;
    generatedTokens: number;
    resumes: number;
    outcome: string;
}

/** Source of reserved tokens: the floor of this VM, a grant from the bucket owner, or a bucket owned by this VM. */
export type TokenSource =
    | { readonly kind: "floor"; readonly serial: number; }
    | { readonly kind: "grant"; readonly grant: GrantId; }
    | { readonly kind: "bucket"; readonly ownGrantId: GrantId; };

export interface TokenReservation {
    readonly source: TokenSource;
    /** Reserved tokens that are neither settled nor returned. */
    open: number;
    /** Tokens settled as spent. */
    spent: number;
}

export interface RequestRow {
    readonly id: RequestId;
    readonly arrival: Omit<RequestArrival, "prompt">;
    readonly account: AccountId | undefined;
    readonly routeId: RouteId;
    readonly route: Route;
    readonly model: ModelReference | undefined;
    readonly blocks: readonly PrefixId[];
    readonly blockTokens: number;
    /** Upper bound on the number of prompt tokens. */
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly deadline: Millis;
    readonly priority: number;
    readonly repeatable: boolean;
    state: RequestState;
    reservations: TokenReservation[];
    /** Claim of the Idempotency-Key; its row stays in the claims table until it is settled. */
    claim: ClaimId | undefined;
    attempts: Attempt[];
    decisions: {
        readonly attempt: number;
        readonly chosen: TargetId;
        readonly candidates: readonly CandidateScore[];
    }[];
    /** True once the relay of the answer to the caller has started. */
    isRelaying: boolean;
    /** Full target that the queued request waits for, with the time of that choice and the prompt tokens to compute. */
    targetWait: { readonly target: TargetId; readonly at: Millis; readonly missedTokens: number; } | undefined;
    /** Earliest time of the next attempt after a failed one. */
    notBefore: Millis;
    queuedAt: Millis | undefined;
    refusal: Refusal | undefined;
}

export interface RequestsTable {
    readonly size: number;
    /** Configuration version against which the keys of open requests were last checked. */
    keysCheckedVersion: ConfigVersion;
    get(id: RequestId): RequestRow | undefined;
    add(row: RequestRow): void;
    updateState(row: RequestRow, state: RequestState): void;
    list(state: RequestState): readonly RequestRow[];
    count(state: RequestState): number;
    /** Lists requests that have not ended. */
    listOpen(): readonly RequestRow[];
    /** Number of requests, including ended ones, whose answer is not fully delivered and whose caller is connected. */
    countUndelivered(): number;
    /** Records that the caller received the whole answer or disconnected. */
    recordDelivery(id: RequestId): void;
}

/** Finished requests kept for `explain`. */
const maxFinishedRequests = 2000;

const openStates = ["reserving", "claiming", "queued", "running"] as const;

/** Creates an empty table. The oldest finished requests are dropped beyond `maxFinishedRequests`. */
export function createRequestsTable(): RequestsTable {
    const rows = new Map<RequestId, RequestRow>();
    const byState: Record<RequestState, Set<RequestRow>> = {
        reserving: new Set(),
        claiming: new Set(),
        queued: new Set(),
        running: new Set(),
        done: new Set(),
    };

    const undelivered = new Set<RequestId>();

    function removeOldest(): void {
        for (const row of byState.done) {
            if (byState.done.size <= maxFinishedRequests) {
                return;
            }
            byState.done.delete(row);
            rows.delete(row.id);
        }
    }

    return {
        get size() {
            return rows.size;
        },
        keysCheckedVersion: toConfigVersion(0),
        get: id => rows.get(id),
        add: row => {
            rows.set(row.id, row);
            undelivered.add(row.id);
            byState[row.state].add(row);
        },
        updateState: (row, state) => {
            byState[row.state].delete(row);
            row.state = state;
            byState[state].add(row);
            if (state === "done") {
                removeOldest();
            }
        },
        list: state => [...byState[state]],
        count: state => byState[state].size,
        countUndelivered: () => undelivered.size,
        recordDelivery: id => {
            undelivered.delete(id);
        },
        listOpen: () => openStates.flatMap(state => [...byState[state]]),
    };
}

/** Next state of a request that has reserved its tokens. A non-repeatable request needs a claim before it is queued. */
export const getStateAfterReservation = (row: RequestRow): RequestState => (row.repeatable ? "queued" : "claiming");

/** Returns the latest attempt if it has this number. */
export function findAttempt(row: RequestRow, number: number): Attempt | undefined {
    const last = row.attempts.at(-1);
    return last?.number === number ? last : undefined;
}
