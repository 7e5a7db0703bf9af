/**
 * Rendezvous hashing: independent processes choose the same member for a key, and few keys move when members change.
 */
import type { Hasher } from "./prefix";

/** Lists the members in descending order of their weight for the key. */
export function listByRendezvous<Member extends string>(
    hasher: Hasher,
    key: string,
    members: Iterable<Member>,
): Member[] {
    const seed = hasher.hashText(key, 0n);
    return [...members]
        .map(member => ({ member, weight: hasher.hashText(member, seed) }))
        .sort((left, right) => (left.weight === right.weight ? 0 : left.weight > right.weight ? -1 : 1))
        .map(({ member }) => member);
}
