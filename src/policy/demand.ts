/** Sizes of grants: how many tokens a holder requests and how many the bucket owner grants. */
import type { Millis } from "../ids";

/** Recent token usage with exponential decay: a steady r tokens per second converges to r * `decayMs` / 1000. */
export interface Demand {
    tokens: number;
    updatedAt: Millis;
}

/** Share of the spare level that an owner grants ahead of need; the rest stays available to other VMs. */
const prefetchShare = 0.25;

/** Adds used tokens after decaying the earlier usage. */
export function recordDemand(demand: Demand, tokens: number, now: Millis, decayMs: number): void {
    demand.tokens = demand.tokens * Math.exp(-Math.max(0, now - demand.updatedAt) / decayMs) + tokens;
    demand.updatedAt = now;
}

/**
 * Computes the tokens to grant: the needed ones, limited by the level, plus a share of the remaining level for the
 * expected usage. Returns 0 if the level is below `atLeast`.
 *
 * @example
 * computeGrantSize({ level: 100, tokens: 60, needed: 20, atLeast: 5 }); // 40
 */
export function computeGrantSize(
    options: { readonly level: number; readonly tokens: number; readonly needed: number; readonly atLeast: number; },
): number {
    const level = Math.floor(options.level);
    if (level < options.atLeast) {
        return 0;
    }
    const required = Math.min(level, Math.max(options.needed, options.atLeast));
    const prefetched = Math.min(Math.max(0, options.tokens - required), (level - required) * prefetchShare);
    return required + Math.floor(prefetched);
}
