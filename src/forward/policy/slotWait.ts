/**
 * Time until an engine has a slot for a request. An engine that batches runs as many requests at once as it has slots and
 * queues the rest, the most urgent first.
 */
export interface SlotWaitInput {
    /** Requests at the engine, of this process and as estimated for its peers. */
    readonly requests: number;
    /** Requests that the engine runs at once. */
    readonly slots: number;
    /** Mean time for which a request holds a slot. */
    readonly tenureMs: number;
    /** Fraction of the requests that the engine admits before this one, 0 to 1. */
    readonly aheadShare: number;
}

/**
 * Estimates the time until a request that is sent now gets a slot, in milliseconds. An urgent request waits for the next
 * slot that comes free, and for urgent requests that found none, but not for the others in the queue.
 *
 * @example
 * estimateSlotWaitMs({ requests: 48, slots: 32, tenureMs: 2000, aheadShare: 1 }); // 1062.5: 17 slots have to come free
 */
export function estimateSlotWaitMs({ requests, slots, tenureMs, aheadShare }: SlotWaitInput): number {
    return requests < slots ? 0 : (1 + Math.max(0, requests * aheadShare - slots)) * tenureMs / slots;
}

export interface ShareWaitInput {
    /** Requests of this process at the engine that it admits before this one, or has admitted. */
    readonly ownRequests: number;
    /** Slots of the engine that are this process's part by its part of the traffic; may be a fraction. */
    readonly ownSlots: number;
    readonly tenureMs: number;
}

/**
 * Estimates the wait for a slot under the assumption that all processes use the engine as this one does. Reports of
 * peers are too old to show that many processes have just chosen the same engine; each one's own part of the slots
 * holds without any report, so that together they never queue much more than the engine can begin in time.
 *
 * @example
 * estimateShareWaitMs({ ownRequests: 2, ownSlots: 1.33, tenureMs: 2000 }); // 2511
 */
export function estimateShareWaitMs({ ownRequests, ownSlots, tenureMs }: ShareWaitInput): number {
    const excess = ownRequests + 1 - Math.max(1, ownSlots);
    return excess <= 0 ? 0 : excess * tenureMs / Math.max(1, ownSlots);
}

/** The estimate of peers' requests changes by at most these factors, as it follows the traffic of one process only. */
const minGrowth = 0.5;
const maxGrowth = 2;
/** Fewer requests of this process say little about the fleet's traffic. */
const minRequestsForGrowth = 8;

/**
 * Estimates by which factor the requests of peers have changed since their reports, from the growth of those of this
 * process in the same time.
 */
export function estimateGrowth(requestsNow: number, requestsThen: number): number {
    if (Math.max(requestsNow, requestsThen) < minRequestsForGrowth) {
        return 1;
    }
    return Math.min(maxGrowth, Math.max(minGrowth, requestsNow / Math.max(1, requestsThen)));
}

/** A wait of this fraction of the objective refuses nothing: a long prompt must not starve because of its own length. */
const minWaitFraction = 0.25;
/** Fraction of the objective that the first event of an admitted request may take by the estimate. */
const maxFirstEventFraction = 0.9;

export interface AdmissionInput {
    /** Estimated time until the target begins with the request. */
    readonly waitMs: number;
    /** Estimated time from then to the first event. */
    readonly firstEventMs: number;
    readonly objectiveMs: number;
}

/**
 * True when a request can be expected to begin within its objective. One that cannot would only delay others: the
 * engines finish no more requests for a longer queue, and everything in it comes late.
 */
export const canBeginInTime = ({ waitMs, firstEventMs, objectiveMs }: AdmissionInput): boolean =>
    waitMs <= objectiveMs * minWaitFraction || waitMs + firstEventMs <= objectiveMs * maxFirstEventFraction;

/** True when the prompt alone takes so much of the objective that it is admitted by its wait only. */
export const isLongPrompt = ({ firstEventMs, objectiveMs }: Omit<AdmissionInput, "waitMs">): boolean =>
    firstEventMs > objectiveMs * (maxFirstEventFraction - minWaitFraction);

/** A refused caller finds room later the more callers are refused: its wait grows by up to this factor. */
const refusalReturnFactor = 4;
/** Returns are spread over this fraction of the wait either way, so that refused callers do not come back together. */
const returnSpread = 0.3;
/** Callers come back no sooner than this, about the time in which reports from other processes arrive. */
const minReturnMs = 250;

export interface ReturnInput extends AdmissionInput {
    /** Fraction of recent requests that were refused, 0 to 1. */
    readonly refusedShare: number;
    /** Random number in [0, 1). */
    readonly random: number;
}

/** Computes when a refused caller should come back: when the queue is expected to be short enough. */
export function computeReturnMs(input: ReturnInput): number {
    const { waitMs, firstEventMs, objectiveMs, refusedShare, random } = input;
    // A long prompt is admitted by its wait alone.
    const excessMs = Math.min(
        waitMs - objectiveMs * minWaitFraction,
        waitMs + firstEventMs - objectiveMs * maxFirstEventFraction,
    );
    return Math.max(minReturnMs, excessMs) * (1 + refusalReturnFactor * refusedShare)
        * (1 + returnSpread * (2 * random - 1));
}
