/** Freshness: whether a process can assume that its configuration, with its API keys, is the latest accepted one. */

export type Freshness = "fresh" | "store_outage" | "isolated" | "unknown";

export interface FreshnessInputs {
    /** Active configuration version; 0 when there is none yet. */
    readonly version: number;
    /** Age of the latest confirmation of the version by the store, received by this process or by a peer. */
    readonly confirmedAgeMs: number;
    /** Size of the fleet, including this process. */
    readonly memberCount: number;
    /**
     * Members that reported within `freshForMs` a version that is at most this one and was confirmed since they
     * started. Includes this process if its version was confirmed since it started.
     */
    readonly notNewerMemberCount: number;
    /** Reachable peers that confirmed the configuration with the store within `freshForMs`. */
    readonly peersWithStoreAccess: number;
    /** True when a reachable member has a higher version. */
    readonly isBehind: boolean;
    readonly freshForMs: number;
}

/**
 * Decides how fresh the configuration is.
 *
 * A change is accepted only when a majority of members has acknowledged it. If a majority reports at most this
 * version, no newer one was accepted before those reports. A restarted process may have lost versions that it
 * acknowledged, so it counts only after the store has confirmed its version again.
 */
export function computeFreshness(inputs: FreshnessInputs): Freshness {
    if (inputs.version === 0) {
        return "unknown";
    }
    if (inputs.confirmedAgeMs <= inputs.freshForMs) {
        return "fresh";
    }
    const hasMajority = inputs.notNewerMemberCount * 2 > inputs.memberCount;
    return hasMajority && inputs.peersWithStoreAccess === 0 && !inputs.isBehind ? "store_outage" : "isolated";
}

/** True when API keys can be checked against the configuration, so that requests with a key may be admitted. */
export const canTrustKeys = (freshness: Freshness): boolean => freshness === "fresh" || freshness === "store_outage";
