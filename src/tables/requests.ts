/** Requests of this VM, from arrival until some time after their end. */
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
 * `reserving` waits for tokens, `claiming` for its idempotency claim, `queued` for a target; `running` has an
 * attempt; `done` is kept for `explain`.
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

/** Where tokens are reserved: the floor of this VM, a grant of the bucket owner, or the bucket that this VM owns. */
export type TokenSource =
    | { readonly kind: "floor"; readonly serial: number; }
    | { readonly kind: "grant"; readonly grant: GrantId; }
    | { readonly kind: "bucket"; readonly ownUse: GrantId; };

export interface TokenReservation {
    readonly source: TokenSource;
    /** Tokens reserved and neither settled nor returned. */
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
    /** Upper bound of the prompt's tokens. */
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly deadline: Millis;
    readonly priority: number;
    readonly repeatable: boolean;
    state: RequestState;
    reservations: TokenReservation[];
    /** Claim of the Idempotency-Key; its row is in the table of claims until it is settled. */
    claim: ClaimId | undefined;
    attempts: Attempt[];
    decisions: {
        readonly attempt: number;
        readonly chosen: TargetId;
        readonly candidates: readonly CandidateScore[];
    }[];
    /** True from the moment the answer began to be relayed. */
    isRelaying: boolean;
    /** Full target that the queued request waits for, and when it was chosen. */
    hold: { readonly target: TargetId; readonly at: Millis; readonly missedTokens: number; } | undefined;
    /** Not routed before this time, after a failed attempt. */
    notBefore: Millis;
    queuedAt: Millis | undefined;
    refusal: Refusal | undefined;
}

export interface RequestsTable {
    readonly size: number;
    /** Version of the configuration against which the keys of open requests were last checked. */
    keysCheckedVersion: ConfigVersion;
    get(id: RequestId): RequestRow | undefined;
    add(row: RequestRow): void;
    updateState(row: RequestRow, state: RequestState): void;
    list(state: RequestState): readonly RequestRow[];
    count(state: RequestState): number;
    /** Requests that have not ended. */
    listOpen(): readonly RequestRow[];
    /** Number of requests, ended ones included, whose caller has neither the whole answer nor gone away. */
    getUndelivered(): number;
    /** Records that the caller has its whole answer or has gone away. */
    recordDelivery(id: RequestId): void;
}

/** Finished requests kept for `explain`. */
const keptRequests = 2000;

const openStates = ["reserving", "claiming", "queued", "running"] as const;

/** Creates an empty table. Finished requests are dropped, oldest first, beyond `keptRequests`. */
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
            if (byState.done.size <= keptRequests) {
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
        getUndelivered: () => undelivered.size,
        recordDelivery: id => {
            undelivered.delete(id);
        },
        listOpen: () => openStates.flatMap(state => [...byState[state]]),
    };
}

/** State of a request that has its tokens: one that may run only once needs a claim before it is queued. */
export const getStateWithTokens = (row: RequestRow): RequestState => (row.repeatable ? "queued" : "claiming");

/** The attempt that runs now, if the number is that of the last one. */
export function findAttempt(row: RequestRow, number: number): Attempt | undefined {
    const last = row.attempts.at(-1);
    return last?.number === number ? last : undefined;
}
