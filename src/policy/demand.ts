/** Sizes of grants: how much a holder asks for and how much an owner gives. */
import type { Millis } from "../ids";

/** Tokens used lately, decaying over time: a steady use of r tokens a second tends to r * `overMs` / 1000. */
export interface Demand {
    tokens: number;
    at: Millis;
}

/** Part of the spare level that an owner gives in advance of need, so that other VMs find tokens too. */
const advanceShare = 0.25;

/** Adds a use of tokens. */
export function recordDemand(demand: Demand, tokens: number, now: Millis, overMs: number): void {
    demand.tokens = demand.tokens * Math.exp(-Math.max(0, now - demand.at) / overMs) + tokens;
    demand.at = now;
}

/**
 * Computes the tokens an owner gives: what is needed as far as the level reaches, and a share of the rest for the
 * use expected next. 0 when not even the least useful amount is there.
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
    const urgent = Math.min(level, Math.max(options.needed, options.atLeast));
    const advance = Math.min(Math.max(0, options.tokens - urgent), (level - urgent) * advanceShare);
    return urgent + Math.floor(advance);
}
