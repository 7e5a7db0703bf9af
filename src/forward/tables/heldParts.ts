/** Which engine or store of parts holds which part of prompts, by its events and this process's own requests. */
import type { TargetId } from "../../ids";
import type { CachedPartKey } from "../ids";

/** Following the events of one engine or store of parts. */
export interface PartFollower {
    epoch: number | undefined;
    /** Number from which the next report goes on. */
    next: number;
    isPending: boolean;
}

export interface HeldPartsTable {
    readonly followers: Map<TargetId, PartFollower>;
    /** Tokens of the part that the target holds, as far as is known. */
    getTokens(target: TargetId, part: CachedPartKey): number;
    /** Records how many tokens of a part the target holds; 0 removes it. */
    update(target: TargetId, part: CachedPartKey, tokens: number): void;
    /** Forgets everything about a target that restarted, left or took new weights. */
    removeTarget(target: TargetId): void;
    /** Drops what was recorded longest ago until the target holds no more than `tokens` in all. */
    removeBeyond(target: TargetId, tokens: number): void;
}

interface TargetParts {
    /** Tokens by part, the part that was recorded longest ago first. */
    readonly parts: Map<CachedPartKey, number>;
    tokens: number;
}

/** Creates an empty table. */
export function createHeldPartsTable(): HeldPartsTable {
    const targets = new Map<TargetId, TargetParts>();

    function findOrAdd(target: TargetId): TargetParts {
        const known = targets.get(target) ?? { parts: new Map<CachedPartKey, number>(), tokens: 0 };
        targets.set(target, known);
        return known;
    }

    return {
        followers: new Map(),
        getTokens: (target, part) => targets.get(target)?.parts.get(part) ?? 0,
        update: (target, part, tokens) => {
            const row = findOrAdd(target);
            row.tokens += tokens - (row.parts.get(part) ?? 0);
            row.parts.delete(part);
            if (tokens > 0) {
                row.parts.set(part, tokens);
            }
        },
        removeTarget: target => {
            targets.delete(target);
        },
        removeBeyond: (target, tokens) => {
            const row = findOrAdd(target);
            for (const [part, held] of row.parts) {
                if (row.tokens <= tokens) {
                    return;
                }
                row.parts.delete(part);
                row.tokens -= held;
            }
        },
    };
}
