/** Requests of this process, from arrival to the end of the answer. */
import { type AccountId, type Millis, type RequestId, type TargetId, toRequestId } from "../../ids";
import type { AttemptEvidence } from "../../verdict";
import type { ForwardArrival } from "../calls";
import type { ForwardAccount, ForwardRoute } from "../document";
import type { CacheSalt, PartId, ServiceId, WeightsVersion } from "../ids";

export type ForwardRequestState = "queued" | "running" | "done";

/** What keeps a request from being sent again: a retry, a target that can take it, or the limits on its attempts. */
export type MissingResource = "retry budget" | "target" | "permission";

export interface ForwardAttempt {
    readonly number: number;
    readonly target: TargetId;
    readonly sentAt: Millis;
    /** Time at which the first bytes were handed to the socket; undefined before. */
    writeStartedAt: Millis | undefined;
    readonly weights: WeightsVersion | undefined;
    /** Salt under which the engine caches the prompt; undefined for a plain service. */
    readonly salt: CacheSalt | undefined;
    evidence: AttemptEvidence;
    isOpen: boolean;
    /** Time of the first event that the target sent in this attempt. */
    firstEventAt: Millis | undefined;
    /** Time at which the target was found silent; undefined while it sends. */
    silentSince: Millis | undefined;
    outcome: string;
    /** What the choice of an engine expected; undefined for a plain service. */
    readonly estimate?: AttemptEstimate | undefined;
}

/** Expectation with which an engine was chosen. */
export interface AttemptEstimate {
    /** Time from sending to the first event, without the time to fetch parts. */
    readonly firstEventMs: number;
    /** Address from which the engine fetches cached parts; undefined for none. */
    readonly fetchFrom: string | undefined;
}

export interface ForwardRequestRow {
    readonly id: RequestId;
    readonly arrival: ForwardArrival;
    readonly account: ForwardAccount | undefined;
    readonly accountId: AccountId | undefined;
    readonly route: ForwardRoute;
    readonly service: ServiceId;
    /** Tokens charged to the account; refunded if the request does not run. */
    readonly tokens: number;
    /** End of the caller's time limit or of the route's timeout, whichever is earlier. */
    readonly deadline: Millis;
    /** True when the request may be sent again although an earlier attempt may have run. */
    readonly isRepeatable: boolean;
    state: ForwardRequestState;
    readonly attempts: ForwardAttempt[];
    /** True once a target's answer is relayed to the caller. */
    isRelaying: boolean;
    /** Id of the last event that the caller has; a resumed stream continues after it. */
    lastEventId: number;
    /** True once the caller has some of a stream; its head is written with the first event. */
    hasFirstEvent: boolean;
    /** True for a stream that waits to be resumed and whose retry is not yet reserved in the retry budget. */
    needsRetryReservation: boolean;
    /** What the request waits for, as last logged; undefined while it waits for nothing. */
    waitsFor: MissingResource | undefined;
    /** True for a moved stream that has a second retry reserved, in case its next target refuses it. */
    hasExtraRetryReserved: boolean;
}

export interface ForwardRequestsTable {
    readonly size: number;
    get(id: RequestId): ForwardRequestRow | undefined;
    add(row: ForwardRequestRow): void;
    updateState(row: ForwardRequestRow, state: ForwardRequestState): void;
    list(state: "queued" | "running"): readonly ForwardRequestRow[];
    /** Requests whose caller is connected and has not received the whole answer. */
    readonly undelivered: number;
    recordDelivery(id: RequestId): void;
}

/** Creates an empty table. A row is removed when its request ends. */
export function createForwardRequestsTable(): ForwardRequestsTable {
    const rows = new Map<RequestId, ForwardRequestRow>();
    const byState = { queued: new Set<ForwardRequestRow>(), running: new Set<ForwardRequestRow>() };
    const undelivered = new Set<RequestId>();

    return {
        get size() {
            return rows.size;
        },
        get undelivered() {
            return undelivered.size;
        },
        get: id => rows.get(id),
        add: row => {
            rows.set(row.id, row);
            undelivered.add(row.id);
            byState.queued.add(row);
        },
        updateState: (row, state) => {
            if (row.state !== "done") {
                byState[row.state].delete(row);
            }
            row.state = state;
            if (state === "done") {
                rows.delete(row.id);
            }
            else {
                byState[state].add(row);
            }
        },
        list: state => [...byState[state]],
        recordDelivery: id => {
            undelivered.delete(id);
        },
    };
}

/** The open attempt with that number. */
export function findOpenAttempt(row: ForwardRequestRow, number: number): ForwardAttempt | undefined {
    const last = row.attempts.at(-1);
    return last?.number === number && last.isOpen ? last : undefined;
}

/** Timer key of one attempt, so that the timer does not end a later attempt of the same request. */
export const formatAttemptKey = (request: RequestId, attempt: number): string => `${attempt} ${request}`;

/** Reverses `formatAttemptKey`. */
export function parseAttemptKey(key: string): { readonly request: RequestId; readonly attempt: number; } {
    const space = key.indexOf(" ");
    return { request: toRequestId(key.slice(space + 1)), attempt: Number(key.slice(0, space)) };
}

/** Parts with longer ids are not tracked; ids are hashes, and the key of a row in the store is limited. */
const maxTrackedIdLength = 64;

/** Ids of the parts that the prompt may share with others: all but the last. */
export const listSharedParts = ({ arrival }: Pick<ForwardRequestRow, "arrival">): PartId[] =>
    arrival.parts.slice(0, -1).map(({ id }) => id).filter(id => id.length <= maxTrackedIdLength);
