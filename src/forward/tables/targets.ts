/** Registered targets with what this process knows of their state. */
import type { Millis, ModelId, RequestId, TargetId } from "../../ids";
import type { RegisteredTarget } from "../document";
import type { ServiceId, WeightsVersion } from "../ids";

/** Work that this process sent to a target and that has not ended. */
export interface ForwardWork {
    /** Prompt tokens that the target still has to compute before the first event. */
    missedTokens: number;
    readonly sentAt: Millis;
    hasAnswered: boolean;
}

export interface ForwardTargetRow {
    registration: RegisteredTarget;
    readonly work: Map<RequestId, ForwardWork>;
    readonly weights: Map<ModelId, WeightsVersion>;
    /** Gets no request before this time; 0 while the circuit is closed. */
    backOffUntil: Millis;
    /** The one request that is sent after a back-off. */
    trial: RequestId | undefined;
    /** Failures in a row. */
    failures: number;
    /** Moving share of requests that failed, 0 to 1. */
    failureShare: number;
    /** Last time at which anything arrived from the target. */
    heardAt: Millis;
    /** New weights are expected to be loading until this time. */
    loadingUntil: Millis;
    /** Set when the row vanished from the store in an outage; it is removed at this time unless it comes back. */
    missingUntil: Millis | undefined;
}

export interface ForwardTargetsTable {
    get(id: TargetId): ForwardTargetRow | undefined;
    list(): readonly ForwardTargetRow[];
    /** Targets of one service, leaving ones included. */
    listService(service: ServiceId): readonly ForwardTargetRow[];
    /** Adds a target or takes its new registration. Returns the target that had the same name before, if another. */
    apply(name: string, registration: RegisteredTarget, now: Millis): ForwardTargetRow | undefined;
    findByName(name: string): ForwardTargetRow | undefined;
    listNames(): readonly string[];
    remove(name: string): void;
}

/** Creates an empty table. */
export function createForwardTargetsTable(): ForwardTargetsTable {
    const rows = new Map<TargetId, ForwardTargetRow>();
    const ids = new Map<string, TargetId>();
    const byService = new Map<ServiceId, ForwardTargetRow[]>();

    function updateServices(): void {
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
        get: id => rows.get(id),
        list: () => [...rows.values()],
        listService: service => byService.get(service) ?? [],
        findByName: name => {
            const id = ids.get(name);
            return id === undefined ? undefined : rows.get(id);
        },
        listNames: () => [...ids.keys()],
        remove,
        apply: (name, registration, now) => {
            const known = ids.get(name);
            const row = known === undefined ? undefined : rows.get(known);
            if (row && known === registration.id) {
                updateRegistration(row, registration);
                updateServices();
                return undefined;
            }
            remove(name);
            ids.set(name, registration.id);
            rows.set(registration.id, {
                registration,
                work: new Map(),
                weights: new Map(registration.weights),
                backOffUntil: 0 as Millis,
                trial: undefined,
                failures: 0,
                failureShare: 0,
                heardAt: now,
                loadingUntil: 0 as Millis,
                missingUntil: undefined,
            });
            updateServices();
            return row;
        },
    };
}

/** True when the circuit of the target lets one more request through. */
function canPassBackOff(row: ForwardTargetRow, now: Millis): boolean {
    if (row.backOffUntil === 0) {
        return true;
    }
    const isTrialRunning = row.trial !== undefined && row.work.has(row.trial);
    return now >= row.backOffUntil && !isTrialRunning;
}

/** True when the target is neither leaving nor backed off. It may be loading weights. */
export const isWorking = (row: ForwardTargetRow, now: Millis): boolean =>
    !row.registration.isLeaving && canPassBackOff(row, now);
