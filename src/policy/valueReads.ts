/** Pace of the reads of a value that cannot be decoded. */

/** Delay of the next read after one that failed or returned other bytes that cannot be decoded either. */
const retryDelayMs = 200;
/** Delay after the first read that returned the same bytes, and the longest one. */
const sameBytesDelayMs = 1000;
const maxDelayMs = 60_000;

export interface ValueReadState {
    /** Reads in a row that returned the same bytes. */
    readonly sameReads: number;
    /** Reads in a row that failed. */
    readonly failedReads: number;
}

/**
 * Computes the delay until the next read of a value. Bytes that differ from read to read are damaged on their way, so the
 * next read may bring them whole. Bytes that stay the same stand in the store, and 1 MiB of them for each process must not
 * be asked for all the time.
 *
 * @example
 * computeValueReadDelayMs({ sameReads: 0, failedReads: 0 }); // 200
 * computeValueReadDelayMs({ sameReads: 3, failedReads: 0 }); // 4000
 */
export function computeValueReadDelayMs({ sameReads, failedReads }: ValueReadState): number {
    if (sameReads > 0) {
        return Math.min(maxDelayMs, sameBytesDelayMs * 2 ** (sameReads - 1));
    }
    return Math.min(maxDelayMs, retryDelayMs * 2 ** Math.max(0, failedReads - 1));
}
