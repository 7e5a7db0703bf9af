/** How this process uses the slots of each service's engines: the time for which requests hold them, and their number. */
import { type AccountId, type Millis, toMillis } from "../../ids";
import type { ServiceId } from "../ids";
import type { RefusalRate } from "../policy/refusalParity";

interface Sample {
    readonly at: Millis;
    readonly requests: number;
}

export interface SlotUseRow {
    /** Moving average of the time for which a request holds a slot. */
    tenureMs: number;
    /** The same for the requests of each priority. */
    readonly tenureMsByPriority: Map<number, number>;
    /** Moving average of the fraction of requests that are refused, 0 to 1. */
    refusedShare: number;
    /** Part of this process in the fleet's requests to the service, 0 to 1. */
    trafficShare: number;
    /** Requests of this process in flight, oldest sample first. */
    readonly samples: Sample[];
    /** Requests at the engines, as reported and own, for each of their slots. */
    utilisation: number;
    /** Recent admission decisions of each account, by priority. */
    readonly refusalRates: Map<AccountId | undefined, (RefusalRate | undefined)[]>;
}

export interface SlotUseTable {
    /** Time at which the requests in flight are sampled next. */
    sampleDueAt: Millis;
    get(service: ServiceId): SlotUseRow;
    /** Adds one observed tenure to the moving average. */
    recordTenure(service: ServiceId, priority: number, tenureMs: number): void;
    /** Adds the decision on one request to the fraction that is refused. */
    recordDecision(service: ServiceId, isRefused: boolean): void;
    /** Records the requests in flight; samples older than `maxAgeMs` are dropped. */
    recordRequests(service: ServiceId, sample: Sample, maxAgeMs: number): void;
}

/** Tenure that is assumed until requests have finished. */
const initialTenureMs = 300;
/** Weight of the newest tenure: the average follows a change of the mix within some dozens of requests. */
const tenureWeight = 0.05;
/** Weight of the newest decision: a process of a large fleet decides on some dozens of requests a second. */
const decisionWeight = 0.03;

/** Creates an empty table. */
export function createSlotUseTable(): SlotUseTable {
    const rows = new Map<ServiceId, SlotUseRow>();

    function get(service: ServiceId): SlotUseRow {
        const row = rows.get(service) ?? {
            tenureMs: initialTenureMs,
            tenureMsByPriority: new Map<number, number>(),
            refusedShare: 0,
            trafficShare: 1,
            samples: [],
            utilisation: 0,
            refusalRates: new Map<AccountId | undefined, (RefusalRate | undefined)[]>(),
        };
        rows.set(service, row);
        return row;
    }

    return {
        sampleDueAt: toMillis(0),
        get,
        recordTenure: (service, priority, tenureMs) => {
            const row = get(service);
            row.tenureMs += (tenureMs - row.tenureMs) * tenureWeight;
            const own = row.tenureMsByPriority.get(priority) ?? tenureMs;
            row.tenureMsByPriority.set(priority, own + (tenureMs - own) * tenureWeight);
        },
        recordDecision: (service, isRefused) => {
            const row = get(service);
            row.refusedShare += ((isRefused ? 1 : 0) - row.refusedShare) * decisionWeight;
        },
        recordRequests: (service, sample, maxAgeMs) => {
            const { samples } = get(service);
            samples.push(sample);
            while (samples.length > 1 && sample.at - (samples[0]?.at ?? sample.at) > maxAgeMs) {
                samples.shift();
            }
        },
    };
}
