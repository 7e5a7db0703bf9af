/** Freshness: whether a process may trust that its configuration, and so its keys, are still in force. */

export type Freshness = "fresh" | "store_outage" | "isolated" | "unknown";

export interface FreshnessFacts {
    /** Version in force; 0 when there is none yet. */
    readonly version: number;
    /** Age of the freshest confirmation by the store, this process's own or a peer's. */
    readonly confirmedAgeMs: number;
    /** Members of the fleet, this process included. */
    readonly members: number;
    /** Members that vouched for at most this version within `freshForMs`, this process included if it does. */
    readonly vouching: number;
    /** Heard members that reached the store within `freshForMs`. */
    readonly reachingStore: number;
    /** True when a heard member has a higher version. */
    readonly isBehind: boolean;
    readonly freshForMs: number;
}

/**
 * Decides how fresh the configuration is.
 *
 * A change counts as accepted only when a majority of members acknowledged it. So when a majority vouched for at
 * most this version, nothing newer was accepted before. A process that restarted vouches only after its version was
 * confirmed again, because it may have forgotten what it acknowledged.
 */
export function computeFreshness(facts: FreshnessFacts): Freshness {
    if (facts.version === 0) {
        return "unknown";
    }
    if (facts.confirmedAgeMs <= facts.freshForMs) {
        return "fresh";
    }
    const hasMajority = facts.vouching * 2 > facts.members;
    return hasMajority && facts.reachingStore === 0 && !facts.isBehind ? "store_outage" : "isolated";
}

/** True when keyed requests may be admitted. */
export const canTrustKeys = (freshness: Freshness): boolean => freshness === "fresh" || freshness === "store_outage";
