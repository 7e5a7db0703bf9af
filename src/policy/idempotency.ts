/** Idempotency keys: the store keys of their claims, and which keys are too old for a claim to be reliable. */
import { createHash } from "node:crypto";
import { type AccountId, type ClaimId, toClaimId } from "../ids";

export const claimPrefix = "claims/";
/** Index of the claims of dated (UUIDv7) keys, sorted by the time in the key. */
export const claimDatePrefix = "claim-dates/";

/** Scope of callers without an account on open routes. Account names never begin with a tilde, so it is unique. */
const openScope = "~open";

/** UUID of version 7 (RFC 9562): its first 48 bits are milliseconds since the Unix epoch. */
const uuidV7Pattern = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Upper bound of the margin for clock skew between VMs and for the time between checking a key and claiming it. */
const maxExpiryMarginMs = 3_600_000;
/** Largest accepted lead of a key's time over the clock of the VM that checks it. */
const maxFutureMs = 300_000;
/** Digits of a time in milliseconds in an index key; a 48-bit value needs 15. */
const timeDigits = 15;

/** Computes the store key of the claim for an idempotency key. Accounts never share claims. */
export function computeClaimId(account: AccountId | undefined, key: string): ClaimId {
    const hash = createHash("sha256").update(key).digest("hex");
    return toClaimId(`${claimPrefix}${account ?? openScope}/${hash}`);
}

/**
 * Parses the time in a UUIDv7 key, in milliseconds since the Unix epoch; undefined for any other key.
 *
 * @example
 * parseKeyTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); // 1645557742000
 */
export function parseKeyTime(key: string): number | undefined {
    const match = uuidV7Pattern.exec(key);
    return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : undefined;
}

export type KeyAge = "undated" | "current" | "expired" | "in_future";

/**
 * Checks the age of a key. The claim of an expired key may have been deleted already, so a repeated request could not
 * be recognised.
 */
export function checkKeyAge(
    keyTime: number | undefined,
    { wallNow, retentionMs }: { readonly wallNow: number; readonly retentionMs: number; },
): KeyAge {
    if (keyTime === undefined) {
        return "undated";
    }
    const marginMs = Math.min(maxExpiryMarginMs, retentionMs / 4);
    if (keyTime < wallNow - retentionMs + marginMs) {
        return "expired";
    }
    return keyTime > wallNow + maxFutureMs ? "in_future" : "current";
}

const formatTime = (time: number): string => String(Math.max(0, Math.floor(time))).padStart(timeDigits, "0");

/** Builds the index key for the claim of a dated key. */
export const toClaimDateKey = (claim: ClaimId, keyTime: number): string =>
    `${claimDatePrefix}${formatTime(keyTime)}/${claim.slice(claimPrefix.length)}`;

/** Derives the id of the claim from its index key. */
export const toClaimOfDateKey = (dateKey: string): ClaimId =>
    toClaimId(`${claimPrefix}${dateKey.slice(claimDatePrefix.length + timeDigits + 1)}`);

/** End (exclusive) of the index range of claims that are older than the retention. */
export const computeSweepEnd = (wallNow: number, retentionMs: number): string =>
    `${claimDatePrefix}${formatTime(wallNow - retentionMs)}`;
