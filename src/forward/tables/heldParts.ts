/** Which engine holds which part of prompts, as far as this process can tell from its own requests. */
import type { Millis, TargetId } from "../../ids";
import type { CachedPartKey } from "../ids";

interface HeldPart {
    readonly tokens: number;
    usedAt: Millis;
}

export interface HeldPartsTable {
    /** True when the engine is expected to hold the part. */
    has(target: TargetId, part: CachedPartKey): boolean;
    /** Records that the engine holds the part and drops what it is expected to have evicted. */
    add(target: TargetId, part: CachedPartKey, tokens: number, now: Millis): void;
    /** Forgets everything about an engine that restarted, left or took new weights. */
    removeTarget(target: TargetId): void;
    /** Tokens of one engine that this process accounts for. */
    updateCapacity(target: TargetId, tokens: number): void;
}

interface TargetParts {
    /** Least recently used first. */
    readonly parts: Map<CachedPartKey, HeldPart>;
    tokens: number;
    capacity: number;
}

/** Creates an empty table. */
export function createHeldPartsTable(): HeldPartsTable {
    const targets = new Map<TargetId, TargetParts>();

    function findOrAdd(target: TargetId): TargetParts {
        const known = targets.get(target);
        if (known) {
            return known;
        }
        const added = { parts: new Map<CachedPartKey, HeldPart>(), tokens: 0, capacity: Number.POSITIVE_INFINITY };
        targets.set(target, added);
        return added;
    }

    function removeOldest(row: TargetParts): void {
        for (const [key, part] of row.parts) {
            if (row.tokens <= row.capacity) {
                return;
            }
            row.parts.delete(key);
            row.tokens -= part.tokens;
        }
    }

    return {
        has: (target, part) => targets.get(target)?.parts.has(part) ?? false,
        add: (target, part, tokens, now) => {
            const row = findOrAdd(target);
            const known = row.parts.get(part);
            if (known) {
                row.parts.delete(part);
                row.tokens -= known.tokens;
            }
            row.parts.set(part, { tokens, usedAt: now });
            row.tokens += tokens;
            removeOldest(row);
        },
        removeTarget: target => {
            targets.delete(target);
        },
        updateCapacity: (target, tokens) => {
            findOrAdd(target).capacity = tokens;
        },
    };
}
