/**
 * Histogram of response times with fixed buckets, so that the counts of all processes can be added. Bucket 0 ends at
 * 1 ms, and each further one ends at a time larger by the square root of two.
 */

/** The last bucket begins at about 2.8 h, longer than any time limit. */
const bucketCount = 48;
const bucketsPerDoubling = 2;

/** Counts by bucket; missing ones are 0. */
export type ResponseHistogram = number[];

/** The bucket of a response time. */
const computeBucket = (ms: number): number =>
    Math.min(bucketCount - 1, Math.max(0, Math.ceil(bucketsPerDoubling * Math.log2(Math.max(1, ms)))));

/** Adds a response time. */
export function recordResponse(histogram: ResponseHistogram, ms: number): void {
    const bucket = computeBucket(ms);
    histogram[bucket] = (histogram[bucket] ?? 0) + 1;
}

/** Adds the counts of another histogram, or subtracts them with factor -1. */
export function addResponses(
    histogram: ResponseHistogram,
    added: Iterable<readonly [number, number]>,
    factor = 1,
): void {
    for (const [bucket, count] of added) {
        if (bucket >= 0 && bucket < bucketCount) {
            histogram[bucket] = (histogram[bucket] ?? 0) + count * factor;
        }
    }
}

/** Buckets that are not empty, with their counts. */
export const listBuckets = (histogram: ResponseHistogram): (readonly [number, number])[] =>
    Array.from(histogram, (count, bucket) => [bucket, count ?? 0] as const).filter(([, count]) => count > 0);

export const countResponses = (histogram: ResponseHistogram): number =>
    histogram.reduce((sum, count) => sum + (count ?? 0), 0);

/** Number of response times in buckets above the given one. */
export const countAbove = (histogram: ResponseHistogram, bucket: number): number =>
    countResponses(histogram.slice(bucket + 1));

/** The bucket in which the quantile lies; undefined for an empty histogram. */
export function findQuantileBucket(histogram: ResponseHistogram, quantile: number): number | undefined {
    const total = countResponses(histogram);
    let sum = 0;
    for (const [bucket, count] of listBuckets(histogram)) {
        sum += count;
        if (sum >= total * quantile) {
            return bucket;
        }
    }
    return undefined;
}

/** Upper end of a bucket in milliseconds. */
export const computeBucketEndMs = (bucket: number): number => 2 ** (bucket / bucketsPerDoubling);
