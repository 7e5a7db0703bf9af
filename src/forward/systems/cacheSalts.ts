/** Cache salts, which determine which requests may share cached parts, and the cached parts that targets have. */
import type { TargetId } from "../../ids";
import type { PromptPart } from "../calls";
import type { ForwardTick } from "../events";
import { type CacheSalt, type CacheScope, toCachedPartKey, type WeightsVersion } from "../ids";
import { computeOwnScope, computeRequestScope, formatSalt } from "../policy/cacheScope";
import type { ForwardAttempt, ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";

/**
 * Finds the scope in which the request may share cached parts, by the configuration in force: its account may have been
 * isolated while it waited. A request whose account has been removed keeps what the account was at its arrival.
 */
export function findCacheScope(world: ForwardWorld, { account }: Pick<ForwardRequestRow, "account">): CacheScope {
    const { configuration } = world.tables;
    const current = account && (configuration.getAccount(account.id) ?? account);
    return current?.isIsolated ? computeOwnScope(current.id) : configuration.sharedScope;
}

/**
 * Computes the salt of the request on an engine with that version of the weights. A request whose version is not known
 * shares its parts with no other: without a salt, engines would let it share them with all such requests.
 */
export function computeSalt(
    { id, arrival }: Pick<ForwardRequestRow, "id" | "arrival">,
    version: WeightsVersion | undefined,
    scope: CacheScope,
): CacheSalt {
    return formatSalt(arrival.model ?? "", version, version === undefined ? computeRequestScope(scope, id) : scope);
}

/** True when the targets of the request's service are engines. */
const hasEngines = (world: ForwardWorld, { service }: Pick<ForwardRequestRow, "service">): boolean =>
    world.tables.configuration.document?.services.get(service)?.engine !== undefined;

/** The salt of a request without prompt parts that can be read; undefined for a plain service. */
export const findSaltWithoutParts = (world: ForwardWorld, row: ForwardRequestRow): CacheSalt | undefined =>
    hasEngines(world, row) ? computeSalt(row, undefined, findCacheScope(world, row)) : undefined;

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

/** Records that the engine of the attempt has cached the prompt, under the salt that went out with it. */
export function recordCachedParts(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    { target, salt, weights }: Pick<ForwardAttempt, "target" | "salt" | "weights">,
): void {
    if (salt === undefined || weights === undefined) {
        return;
    }
    const { cachedParts, configuration, members } = world.tables;
    for (const part of row.arrival.parts) {
        cachedParts.update(target, toCachedPartKey(salt, part.id), part.tokens);
    }
    const memory = configuration.document?.services.get(row.service)?.engine?.memoryTokens;
    if (memory !== undefined) {
        // Without cache events, a process sees only its own share of the requests that evict parts.
        const visibleFraction = cachedParts.hasCacheEvents(target, tick.now)
            ? 1
            : 1 / Math.max(1, members.countLive());
        cachedParts.removeOldestBeyond(target, memory * cacheMemoryFraction * visibleFraction);
    }
}
