/** Ages of the evidence about every member of a fleet, one byte each. */

/** A byte counts this many milliseconds, so that 254 covers every age that still matters for freshness. */
const unitMs = 50;
const unknownAge = 255;

/**
 * Formats ages in milliseconds, rounded up, as one byte each in base64. An exchange can then tell of a whole fleet
 * of 710 in 1 KB, where digests of that many members would take 180 KB.
 *
 * @example
 * parseAges(formatAges([0, 120, undefined])); // [0, 150, undefined]
 */
export function formatAges(ages: readonly (number | undefined)[]): string {
    const bytes = ages.map(age => (age === undefined ? unknownAge : Math.min(unknownAge, Math.ceil(age / unitMs))));
    return Buffer.from(Uint8Array.from(bytes)).toString("base64");
}

/** Parses ages; undefined stands for a member that was not heard of lately. */
export const parseAges = (text: string): (number | undefined)[] =>
    [...Buffer.from(text, "base64")].map(byte => (byte === unknownAge ? undefined : byte * unitMs));
