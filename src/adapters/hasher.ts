/** Hasher for prefix ids, based on xxHash. */
import xxhash from "xxhash-wasm";
import type { Hasher } from "../policy/prefix";

/** Loads 64-bit xxHash. */
export async function loadHasher(): Promise<Hasher> {
    const { h64, h64Raw } = await xxhash();
    return { hashBytes: (bytes, seed) => h64Raw(bytes, seed), hashText: (text, seed) => h64(text, seed) };
}
