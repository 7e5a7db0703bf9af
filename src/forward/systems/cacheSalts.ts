/** Cache salts, which determine which requests may share cached parts, and the cached parts that targets have. */
import type { TargetId } from "../../ids";
import type { PromptPart } from "../calls";
import type { ForwardTick } from "../events";
import { type CacheSalt, toCachedPartKey, toCacheSalt, type WeightsVersion } from "../ids";
import type { ForwardAttempt, ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";

/**
 * Computes the salt from the model, the version of the weights (part stores keep parts across a change of weights), and
 * the account if it is isolated.
 */
export function computeSalt(row: ForwardRequestRow, version: WeightsVersion): CacheSalt {
    const scope = row.account?.isIsolated ? row.account.id : "";
    return toCacheSalt(`${row.arrival.model ?? ""}.${version}.${scope}`);
}

/** Tokens of the longest prefix of the parts that the target is recorded to have cached. */
export function computeCachedTokens(
    world: ForwardWorld,
    target: TargetId,
    salt: CacheSalt,
    parts: readonly PromptPart[],
): number {
    let tokens = 0;
    for (const part of parts) {
        const cachedTokens = world.tables.cachedParts.getTokens(target, toCachedPartKey(salt, part.id));
        tokens += Math.min(cachedTokens, part.tokens);
        if (cachedTokens < part.tokens) {
            break;
        }
    }
    return tokens;
}

/** Fraction of an engine's memory that is assumed to hold cached parts; running requests use the rest. */
const cacheMemoryFraction = 0.8;

/** Records that the engine of the attempt has cached the prompt. */
export function recordCachedParts(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: Pick<ForwardAttempt, "target" | "weights">,
): void {
    if (attempt.weights === undefined) {
        return;
    }
    const { cachedParts, configuration, members } = world.tables;
    const salt = computeSalt(row, attempt.weights);
    for (const part of row.arrival.parts) {
        cachedParts.update(attempt.target, toCachedPartKey(salt, part.id), part.tokens);
    }
    const memory = configuration.document?.services.get(row.service)?.engine?.memoryTokens;
    if (memory !== undefined) {
        // Without cache events, a process sees only its own share of the requests that evict parts.
        const visibleFraction = cachedParts.hasCacheEvents(attempt.target, tick.now)
            ? 1
            : 1 / Math.max(1, members.countLive());
        cachedParts.removeOldestBeyond(attempt.target, memory * cacheMemoryFraction * visibleFraction);
    }
}
