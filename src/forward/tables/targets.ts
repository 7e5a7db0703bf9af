/** Registered targets, with the state that this process keeps of them. */
import type { Millis, ModelId, RequestId, TargetId } from "../../ids";
import type { RegisteredTarget } from "../document";
import type { ServiceId, WeightsVersion } from "../ids";
import type { RequestBucket } from "../policy/requestBucket";

/** A request of this process that is in flight on a target. */
export interface InFlightRequest {
    /** Prompt tokens that the target still has to compute before the first event. */
    missedTokens: number;
    readonly sentAt: Millis;
    hasAnswered: boolean;
    /** Priority with which the engine admits the request; 0 is the most urgent. */
    readonly priority: number;
}

/** Limit on the requests that a target takes from the whole fleet. */
export interface RequestLimit {
    perSecond: number;
    /** Time of the last answer that named it, to this process or another. */
    namedAt: Millis;
    /** Share of this process in requests a second; 0 when other processes send to the target. */
    sharePerSecond: number;
    shareComputedAt: Millis;
    readonly bucket: RequestBucket;
}

export interface ForwardTargetRow {
    registration: RegisteredTarget;
    readonly inFlight: Map<RequestId, InFlightRequest>;
    readonly weights: Map<ModelId, WeightsVersion>;
    /** End of the back-off, before which no request is sent; 0 while the circuit is closed. */
    backOffUntil: Millis;
    /** The single request that tests the target after a back-off (half-open circuit). */
    trialRequest: RequestId | undefined;
    /** Time at which the target's address refused a connection; undefined once something shows that the target runs. */
    refusedAt: Millis | undefined;
    /** Number of consecutive failures. */
    failures: number;
    /** Moving average of the failure rate, 0 to 1. */
    failureShare: number;
    /** Time of the last response or first stream event from the target. */
    lastResponseAt: Millis;
    /** The target gets no requests until this time, because it is loading weights or overloaded. */
    unavailableUntil: Millis;
    /** Undefined while the target names no limit. */
    requestLimit: RequestLimit | undefined;
    /** Time of the answer that ended the last limit; 0 when there was none. */
    limitEndedAt: Millis;
    /** Time of removal of a target whose row may have lapsed in a store outage, unless it registers again. */
    missingUntil: Millis | undefined;
    /** Time at which a peer saw that the row was deleted, until the store confirms a newer state to this process. */
    removedAt: Millis | undefined;
    /** The target asked this process to send it nothing before this time; 0 when it did not. */
    deferredUntil: Millis;
    /** Several processes find the target unreachable, as last logged. */
    isReportedUnreachable: boolean;
}

export interface ForwardTargetsTable {
    get(id: TargetId): ForwardTargetRow | undefined;
    list(): readonly ForwardTargetRow[];
    /** Targets of one service, leaving ones included. */
    listService(service: ServiceId): readonly ForwardTargetRow[];
    /** Adds a target or updates its registration. Returns the target that it replaces under the same name, if any. */
    apply(name: string, registration: RegisteredTarget, now: Millis): ForwardTargetRow | undefined;
    findByName(name: string): ForwardTargetRow | undefined;
    listNames(): readonly string[];
    remove(name: string): void;
    /** Records that a registered target leaves, whatever its row says. */
    recordLeaving(id: TargetId): void;
    /** Increases with each change of a registration; what is computed from registrations holds until then. */
    readonly revision: number;
}

/** Creates an empty table. */
export function createForwardTargetsTable(): ForwardTargetsTable {
    const rows = new Map<TargetId, ForwardTargetRow>();
    const ids = new Map<string, TargetId>();
    const byService = new Map<ServiceId, ForwardTargetRow[]>();

    let revision = 0;

    function updateServices(): void {
        revision += 1;
        byService.clear();
        for (const row of rows.values()) {
            const { service } = row.registration;
            byService.set(service, [...(byService.get(service) ?? []), row]);
        }
    }

    function remove(name: string): void {
        const id = ids.get(name);
        if (id !== undefined) {
            ids.delete(name);
            rows.delete(id);
            updateServices();
        }
    }

    function updateRegistration(row: ForwardTargetRow, registration: RegisteredTarget): void {
        row.registration = registration;
        row.missingUntil = undefined;
        for (const [model, version] of registration.weights) {
            row.weights.set(model, version);
        }
    }

    return {
        get revision() {
            return revision;
        },
        get: id => rows.get(id),
        list: () => [...rows.values()],
        listService: service => byService.get(service) ?? [],
        findByName: name => {
            const id = ids.get(name);
            return id === undefined ? undefined : rows.get(id);
        },
        listNames: () => [...ids.keys()],
        remove,
        recordLeaving: id => {
            const row = rows.get(id);
            if (row && !row.registration.isLeaving) {
                row.registration = { ...row.registration, isLeaving: true };
                updateServices();
            }
        },
        apply: (name, registration, now) => {
            const currentId = ids.get(name);
            const row = currentId === undefined ? undefined : rows.get(currentId);
            if (row && currentId === registration.id) {
                updateRegistration(row, registration);
                updateServices();
                return undefined;
            }
            remove(name);
            ids.set(name, registration.id);
            rows.set(registration.id, {
                registration,
                inFlight: new Map(),
                weights: new Map(registration.weights),
                backOffUntil: 0 as Millis,
                trialRequest: undefined,
                refusedAt: undefined,
                failures: 0,
                failureShare: 0,
                lastResponseAt: now,
                unavailableUntil: 0 as Millis,
                requestLimit: undefined,
                limitEndedAt: 0 as Millis,
                missingUntil: undefined,
                removedAt: undefined,
                deferredUntil: 0 as Millis,
                isReportedUnreachable: false,
            });
            updateServices();
            return row;
        },
    };
}

/** True when the circuit of the target allows another request. */
function canPassBackOff(row: ForwardTargetRow, now: Millis): boolean {
    if (row.backOffUntil === 0) {
        return true;
    }
    const isTrialRunning = row.trialRequest !== undefined && row.inFlight.has(row.trialRequest);
    return now >= row.backOffUntil && !isTrialRunning;
}

/** True when the target is neither leaving nor deferred nor backed off. It may be loading weights. */
export const isWorking = (row: ForwardTargetRow, now: Millis): boolean =>
    !row.registration.isLeaving && row.removedAt === undefined && now >= row.deferredUntil && canPassBackOff(row, now);
