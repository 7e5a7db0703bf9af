/** Which engine or store of parts holds which part of prompts, by its events, by peers and by own requests. */
import type { Millis, TargetId } from "../../ids";
import type { CachedPartKey } from "../ids";
import { createPartJournal, type PartJournal } from "./partJournal";

/** Following the events of one engine or store of parts. */
export interface PartFollower {
    epoch: number | undefined;
    /** Number from which the next report goes on. */
    next: number;
    isPending: boolean;
    /** True when this process follows the target for the whole fleet and tells its peers. */
    readonly isForAll: boolean;
}

export interface HeldPartsTable {
    readonly followers: Map<TargetId, PartFollower>;
    /** Targets that peers follow, with the last time at which one told of them. */
    readonly toldAt: Map<TargetId, Millis>;
    /** What this process has to tell of the targets that it follows for the fleet. */
    readonly journal: PartJournal;
    /** True when the events of the target reach this process, its own or told. */
    isKnown(target: TargetId, now: Millis): boolean;
    /** Tokens of the part that the target holds, as far as is known. */
    getTokens(target: TargetId, part: CachedPartKey): number;
    /** Records how many tokens of a part the target holds; 0 removes it. */
    update(target: TargetId, part: CachedPartKey, tokens: number): void;
    /** Forgets everything about a target that restarted, left or took new weights. */
    removeTarget(target: TargetId): void;
    /** Drops what was recorded longest ago until the target holds no more than `tokens` in all. */
    removeBeyond(target: TargetId, tokens: number): void;
}

/** A target of which no peer has told for this long is no longer known. */
const toldMs = 8000;

interface TargetParts {
    /** Tokens by part, the part that was recorded longest ago first. */
    readonly parts: Map<CachedPartKey, number>;
    tokens: number;
}

/** Creates an empty table. */
export function createHeldPartsTable(): HeldPartsTable {
    const targets = new Map<TargetId, TargetParts>();
    const followers = new Map<TargetId, PartFollower>();
    const toldAt = new Map<TargetId, Millis>();

    function findOrAdd(target: TargetId): TargetParts {
        const known = targets.get(target) ?? { parts: new Map<CachedPartKey, number>(), tokens: 0 };
        targets.set(target, known);
        return known;
    }

    return {
        followers,
        toldAt,
        journal: createPartJournal(),
        isKnown: (target, now) => followers.has(target) || now - (toldAt.get(target) ?? -Infinity) < toldMs,
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
