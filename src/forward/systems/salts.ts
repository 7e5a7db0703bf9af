/** Salts: which requests may share cached parts, and what engines hold under them. */
import type { TargetId } from "../../ids";
import type { PromptPart } from "../calls";
import type { ForwardTick } from "../events";
import { type CacheSalt, toCachedPartKey, toCacheSalt, type WeightsVersion } from "../ids";
import type { ForwardAttempt, ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";

/**
 * The salt names the version of the weights, because stores of parts keep them over a change of weights, and the
 * account if it is isolated.
 */
export function computeSalt(row: ForwardRequestRow, version: WeightsVersion): CacheSalt {
    const scope = row.account?.isIsolated ? row.account.id : "";
    return toCacheSalt(`${row.arrival.model ?? ""}.${version}.${scope}`);
}

/** Tokens of the leading parts that the engine is expected to hold. */
export function computeHeldTokens(
    world: ForwardWorld,
    target: TargetId,
    salt: CacheSalt,
    parts: readonly PromptPart[],
): number {
    let tokens = 0;
    for (const part of parts) {
        if (!world.tables.heldParts.has(target, toCachedPartKey(salt, part.id))) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

/** Records that the engine of the attempt holds the prompt. */
export function recordSaltedParts(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: Pick<ForwardAttempt, "target" | "weights">,
): void {
    if (attempt.weights === undefined) {
        return;
    }
    const salt = computeSalt(row, attempt.weights);
    for (const part of row.arrival.parts) {
        world.tables.heldParts.add(attempt.target, toCachedPartKey(salt, part.id), part.tokens, tick.now);
    }
}
