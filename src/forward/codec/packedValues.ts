/** Compressed form of a value of the store, in which processes hand it on. */
import { gunzipSync, gzipSync } from "node:zlib";

/** Longer values are as quickly read from the store. */
const maxPackedLength = 512 * 1024;
/** The platform's values have up to 1 MiB; what unpacks to more is not one of them. */
const maxValueBytes = 2 * 1024 * 1024;
/** Higher levels take three times as long for a few percent. */
const level = 1;

/** Compresses a value that is given in base64; undefined when the result is too long to be handed on. */
export function encodePackedValue(value: string): string | undefined {
    const packed = gzipSync(Buffer.from(value, "base64"), { level }).toString("base64");
    return packed.length <= maxPackedLength ? packed : undefined;
}

/** Returns the value in base64. Throws when the packed value is damaged or too long. */
export const decodePackedValue = (packed: string): string =>
    gunzipSync(Buffer.from(packed, "base64"), { maxOutputLength: maxValueBytes }).toString("base64");
