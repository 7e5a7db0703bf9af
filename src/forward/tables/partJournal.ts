/** Changes of what followed targets hold, numbered, so that each peer is told those that it lacks. */
import type { TargetId } from "../../ids";
import type { CachedPartKey } from "../ids";

/** A target that holds `tokens` of a part; without a part, one that is learned anew. */
export interface PartChange {
    readonly target: TargetId;
    readonly part: CachedPartKey | undefined;
    readonly tokens: number;
}

interface NumberedChange extends PartChange {
    readonly number: number;
}

export interface PartJournal {
    /** Number of the newest change; 0 before the first. */
    readonly newest: number;
    add(change: PartChange): void;
    /** Changes after the number, the oldest first, each part of a target once. */
    listAfter(number: number): readonly PartChange[];
}

/** Changes that are kept. A peer that lacks more misses some, which costs it a miss. */
const keptChanges = 4096;

const formatKey = ({ target, part }: PartChange): string => `${target} ${part ?? ""}`;

/** Creates an empty journal. */
export function createPartJournal(): PartJournal {
    let changes: NumberedChange[] = [];
    /** Number of the newest change of each part; older ones are not told any more. */
    const newestOf = new Map<string, number>();
    let newest = 0;

    function removeOld(): void {
        if (changes.length < keptChanges * 2) {
            return;
        }
        const dropped = changes.slice(0, -keptChanges);
        changes = changes.slice(-keptChanges);
        for (const change of dropped) {
            const key = formatKey(change);
            if (newestOf.get(key) === change.number) {
                newestOf.delete(key);
            }
        }
    }

    return {
        get newest() {
            return newest;
        },
        add: change => {
            newest += 1;
            changes.push({ ...change, number: newest });
            newestOf.set(formatKey(change), newest);
            removeOld();
        },
        listAfter: number => {
            const first = changes[0]?.number ?? newest + 1;
            return changes.slice(Math.max(0, number + 1 - first))
                .filter(change => newestOf.get(formatKey(change)) === change.number);
        },
    };
}
