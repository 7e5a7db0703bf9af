/** How long a target is kept whose row in the store may have lapsed in an outage of the store. */

/** Time after a store outage within which targets have written lapsed rows again. */
const rowReturnMs = 2000;
/**
 * A row lapses three report intervals after it was last written, so it outlives an outage of fewer than two. Targets
 * report approximately at the interval, which the difference to two allows for.
 */
const minOutageIntervals = 1.5;
/** Fraction of `bounds.contactMs` after which no lapsed row is waited for, so that a request has time to arrive. */
const maxContactFraction = 0.9;

export interface StoreOutage {
    /** Longest time that the outage can have lasted: from the last answer before it to the first one after it. */
    readonly outageMs: number;
    /** Milliseconds since the last call that failed was sent; the store may have returned at any time since then. */
    readonly lastFailureMs: number;
    /** Interval at which targets report to the store. */
    readonly reportMs: number;
    /** Time after the store's return from which on the bound on leaving targets holds again. */
    readonly contactMs: number;
}

/**
 * Milliseconds, from the end of an outage, for which targets without a row are kept. 0 after an outage in which no row
 * can have lapsed: a row that is missing then was deleted by its target.
 *
 * @example
 * computeRowReturnMs({ outageMs: 5000, lastFailureMs: 300, reportMs: 1200, contactMs: 3000 }); // 2000
 * computeRowReturnMs({ outageMs: 900, lastFailureMs: 300, reportMs: 1200, contactMs: 3000 }); // 0
 */
export function computeRowReturnMs({ outageMs, lastFailureMs, reportMs, contactMs }: StoreOutage): number {
    if (outageMs < reportMs * minOutageIntervals) {
        return 0;
    }
    return Math.max(0, Math.min(rowReturnMs, contactMs * maxContactFraction - lastFailureMs));
}
