/** Salts: which requests may share cached parts, and what targets hold under them. */
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

/** Tokens of the leading parts that the target is expected to hold. */
export function computeHeldTokens(
    world: ForwardWorld,
    target: TargetId,
    salt: CacheSalt,
    parts: readonly PromptPart[],
): number {
    let tokens = 0;
    for (const part of parts) {
        const held = world.tables.heldParts.getTokens(target, toCachedPartKey(salt, part.id));
        tokens += Math.min(held, part.tokens);
        if (held < part.tokens) {
            break;
        }
    }
    return tokens;
}

/** Part of an engine's memory that its cached parts are expected to have; the rest is used by running requests. */
const cachedFraction = 0.8;

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
    const { heldParts, configuration, members } = world.tables;
    const salt = computeSalt(row, attempt.weights);
    for (const part of row.arrival.parts) {
        heldParts.update(attempt.target, toCachedPartKey(salt, part.id), part.tokens);
    }
    const memory = configuration.document?.services.get(row.service)?.engine?.memoryTokens;
    if (memory !== undefined) {
        // A process that does not follow the events sees only its own share of what pushes parts out.
        const seen = heldParts.isKnown(attempt.target, tick.now) ? 1 : 1 / Math.max(1, members.countLive());
        heldParts.removeBeyond(attempt.target, memory * cachedFraction * seen);
    }
}
