/** Token bucket for one process's share of a target's request limit. */
import type { Millis } from "../../ids";

export interface RequestBucket {
    /** Requests that may be sent now. */
    level: number;
    /** Maximum of `level`. */
    burst: number;
    updatedAt: Millis;
    /** Requests that were refused and told to come back, and for which no token has been added yet. */
    promised: number;
}

/** Creates an empty bucket: what was sent before the limit was known is not counted. */
export const createRequestBucket = (now: Millis): RequestBucket => ({
    level: 0,
    burst: 1,
    updatedAt: now,
    promised: 0,
});

/** Adds the tokens since the last update. `perSecond` is the share of this process. */
export function updateRequestBucket(bucket: RequestBucket, perSecond: number, now: Millis): void {
    const added = Math.max(0, now - bucket.updatedAt) / 1000 * perSecond;
    bucket.level = Math.min(bucket.burst, bucket.level + added);
    bucket.promised = Math.max(0, bucket.promised - added);
    bucket.updatedAt = now;
}

/**
 * Milliseconds until the bucket has a token for a request that comes back then, after those that were promised one.
 *
 * @example
 * computeBucketWait({ level: 0, burst: 1, updatedAt: toMillis(0), promised: 1 }, 2); // 1000
 */
export const computeBucketWait = ({ level, promised }: RequestBucket, perSecond: number): number =>
    perSecond > 0 ? Math.max(0, 1 + promised - level) / perSecond * 1000 : Infinity;

/** 0 while the bucket is full, near 1 when its last token would be used. */
export const computeScarcity = ({ level, burst }: RequestBucket): number => Math.max(0, 1 - level / burst);
