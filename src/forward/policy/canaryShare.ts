/**
 * Bound on the requests that a process sends to a service version on trial. Each process keeps it by its own counts, so
 * the sum over any set of processes keeps it, too.
 */

/** Fraction of the operators' share that is used; the rest covers answers and retries that are counted differently. */
const usedShareFraction = 0.8;
/** Fraction of the operators' slack that all processes together may expect to use as their first credits. */
const creditSlackFraction = 0.25;
/** Load of a trial server, relative to that of an old one, up to which no further trial server is used. */
const maxLoadExcess = 0.15;

export interface CanaryCounts {
    /** Requests of the service that this process has sent since it saw the order. */
    readonly sent: number;
    /** Those of them that were sent to the new version. */
    readonly canarySent: number;
    /** Requests to the new version allowed beyond the share, less than 1. */
    readonly credit: number;
}

/** Share of its requests that a process sends to a version on trial. */
export const computeUsedShare = (canaryShare: number): number => canaryShare * usedShareFraction;

/**
 * Computes the credit of a process: without one, each process of a large fleet would round its share down, and send its
 * first trial request only after `1 / share` others. `point` in [0, 1) differs from process to process. The credits add
 * up to a quarter of the slack on average, and to at most half of it.
 */
export const computeCanaryCredit = (
    { point, slack, processes }: { readonly point: number; readonly slack: number; readonly processes: number; },
): number => point * Math.min(1, 2 * creditSlackFraction * slack / Math.max(1, processes));

/**
 * True when another request may go to the new version.
 *
 * @example
 * canSendCanary({ sent: 13, canarySent: 0, credit: 0 }, 0.1); // true: 0.08 * 13 is at least 1
 */
export const canSendCanary = ({ sent, canarySent, credit }: CanaryCounts, canaryShare: number): boolean =>
    canarySent + 1 <= computeUsedShare(canaryShare) * sent + credit;

/** Number of new servers that get the share, so that each of them has about the load of an old server. */
export function countCanaryServers(oldServers: number, canaryShare: number): number {
    const share = Math.min(0.5, computeUsedShare(canaryShare));
    return Math.max(1, Math.ceil(oldServers * share / (1 - share) - maxLoadExcess));
}
