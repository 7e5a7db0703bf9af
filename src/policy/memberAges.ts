/** Compact encoding of ages, one byte for each member of the fleet. */

/** Milliseconds per unit of a byte; 254 units cover every age that still matters for freshness. */
const ageUnitMs = 50;
const unknownAgeByte = 255;

/**
 * Formats ages in milliseconds, rounded up, as one byte each in base64. An exchange can thus cover a fleet of 710
 * members in 1 KB, where digests of all of them would take 180 KB.
 *
 * @example
 * parseAges(formatAges([0, 120, undefined])); // [0, 150, undefined]
 */
export function formatAges(ages: readonly (number | undefined)[]): string {
    const bytes = ages.map(
        age => (age === undefined ? unknownAgeByte : Math.min(unknownAgeByte, Math.ceil(age / ageUnitMs))),
    );
    return Buffer.from(Uint8Array.from(bytes)).toString("base64");
}

/** Parses ages; undefined stands for a member without a recent report. */
export const parseAges = (text: string): (number | undefined)[] =>
    [...Buffer.from(text, "base64")].map(byte => (byte === unknownAgeByte ? undefined : byte * ageUnitMs));
