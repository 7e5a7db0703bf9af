/** Prefix ids: chained hashes of the blocks of a prompt, scoped to client account, model and version. */
import type { ModelReference } from "../config/document";
import { type AccountId, type PrefixId, toPrefixId } from "../ids";

/** 64-bit hash with a seed. */
export interface Hasher {
    hashBytes(bytes: Uint8Array, seed: bigint): bigint;
    hashText(text: string, seed: bigint): bigint;
}

export interface PrefixScope extends ModelReference {
    /** Undefined on open routes, which share one scope. */
    readonly account: AccountId | undefined;
}

/** Computes the seed of the first block. Different accounts, models or versions never share prefix ids. */
export function computeScopeSeed(hasher: Hasher, scope: PrefixScope): bigint {
    return hasher.hashText(JSON.stringify([scope.account ?? "", scope.model, scope.version]), 0n);
}

/**
 * Hashes the complete blocks of a prompt. The hash of block n - 1 is the seed of block n, so equal ids mean equal
 * prefixes.
 *
 * @example
 * hashBlocks(hasher, prompt, { seed, blockBytes: 16_384 }).length; // number of whole blocks
 */
export function hashBlocks(
    hasher: Hasher,
    prompt: Uint8Array,
    { seed, blockBytes }: { readonly seed: bigint; readonly blockBytes: number; },
): PrefixId[] {
    const blocks: PrefixId[] = [];
    let parent = seed;
    for (let start = 0; start + blockBytes <= prompt.length; start += blockBytes) {
        parent = hasher.hashBytes(prompt.subarray(start, start + blockBytes), parent);
        blocks.push(toPrefixId(parent));
    }
    return blocks;
}

export const formatPrefixId = (prefix: PrefixId): string => prefix.toString(16).padStart(16, "0");

/** Parses a prefix id; undefined when the text is invalid. */
export function parsePrefixId(text: string): PrefixId | undefined {
    return /^[0-9a-f]{16}$/.test(text) ? toPrefixId(BigInt(`0x${text}`)) : undefined;
}
