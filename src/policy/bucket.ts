/**
 * Token buckets that count outstanding tokens.
 *
 * `level` tokens can be reserved; `outstanding` tokens are reserved and neither settled nor returned yet. Refill keeps
 * `level + outstanding <= burst`, so the tokens reserved in any window of length w are at most burst + rate * w.
 */
import type { Millis } from "../ids";

export interface Bucket {
    /** Tokens per second. */
    rate: number;
    burst: number;
    level: number;
    outstanding: number;
    refilledAt: Millis;
}

/** Creates an empty bucket. */
export function createBucket(options: {
    readonly rate: number;
    readonly burst: number;
    readonly now: Millis;
    readonly outstanding?: number;
}): Bucket {
    const { rate, burst, now, outstanding = 0 } = options;
    return { rate, burst, level: 0, outstanding, refilledAt: now };
}

/** Refills the bucket with the tokens that accrued since the last refill. */
export function updateBucket(bucket: Bucket, now: Millis): void {
    const accrued = (Math.max(0, now - bucket.refilledAt) / 1000) * bucket.rate;
    const room = Math.max(0, bucket.burst - bucket.level - bucket.outstanding);
    bucket.level += Math.min(accrued, room);
    bucket.refilledAt = now;
}

/** Reserves tokens if the level suffices. The caller refills the bucket with `updateBucket` first. */
export function reserveFromBucket(bucket: Bucket, tokens: number): boolean {
    if (tokens > bucket.level) {
        return false;
    }
    bucket.level -= tokens;
    bucket.outstanding += tokens;
    return true;
}

/** Settles outstanding tokens: `spent` tokens are consumed, `unused` tokens return to the level. */
export function settleBucket(
    bucket: Bucket,
    { spent = 0, unused = 0 }: { readonly spent?: number; readonly unused?: number; },
): void {
    const credit = Math.min(unused, Math.max(0, bucket.outstanding - spent));
    bucket.outstanding = Math.max(0, bucket.outstanding - spent - unused);
    bucket.level = Math.min(bucket.level + credit, Math.max(0, bucket.burst - bucket.outstanding));
}

/** Computes the milliseconds until the level can reach `tokens`; undefined when it never can. */
export function computeRefillWait(bucket: Bucket, tokens: number): number | undefined {
    if (tokens > bucket.burst || bucket.rate <= 0) {
        return undefined;
    }
    return Math.max(0, ((tokens - bucket.level) / bucket.rate) * 1000);
}

/** Applies a changed rate or burst without adding tokens. */
export function applyBucketLimits(bucket: Bucket, limits: { readonly rate: number; readonly burst: number; }): void {
    bucket.rate = limits.rate;
    bucket.burst = limits.burst;
    bucket.level = Math.min(bucket.level, Math.max(0, limits.burst - bucket.outstanding));
}

/** Counts tokens as outstanding that were not reserved from this bucket, such as grants of an earlier owner. */
export function addOutstanding(bucket: Bucket, tokens: number): void {
    bucket.outstanding += tokens;
    bucket.level = Math.min(bucket.level, Math.max(0, bucket.burst - bucket.outstanding));
}
