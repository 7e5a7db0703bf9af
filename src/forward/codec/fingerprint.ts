/** Hashes by which copies of a value are compared. */
import { createHash } from "node:crypto";
import { type Fingerprint, toFingerprint } from "../ids";

/** 64 bits: two different values of one key share a fingerprint by accident once in 10^19 comparisons. */
const fingerprintLength = 16;

/** Computes the fingerprint of a value, as the store sends it or decoded. */
export const computeFingerprint = (value: string | Buffer): Fingerprint =>
    toFingerprint(createHash("sha256").update(value).digest("hex").slice(0, fingerprintLength));
