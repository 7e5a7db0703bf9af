/** Numbered log of cache changes of followed targets, from which each peer gets those that it has not acknowledged. */
import type { TargetId } from "../../ids";
import type { CachedPartKey } from "../ids";

/** The target now has `tokens` of the part cached; without a part, everything recorded of the target is removed. */
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
    readonly newestNumber: number;
    add(change: PartChange): void;
    /** Changes after the given number, oldest first; for each part of a target only the newest one. */
    listAfter(number: number): readonly PartChange[];
}

/** Changes that are kept. A peer that is further behind misses some, which costs it cache misses. */
const maxKeptChanges = 4096;

const formatKey = ({ target, part }: PartChange): string => `${target} ${part ?? ""}`;

/** Creates an empty journal. */
export function createPartJournal(): PartJournal {
    let changes: NumberedChange[] = [];
    /** Number of the newest change of each part; older changes are no longer reported. */
    const newestNumbers = new Map<string, number>();
    let newestNumber = 0;

    function removeOldChanges(): void {
        if (changes.length < maxKeptChanges * 2) {
            return;
        }
        const dropped = changes.slice(0, -maxKeptChanges);
        changes = changes.slice(-maxKeptChanges);
        for (const change of dropped) {
            const key = formatKey(change);
            if (newestNumbers.get(key) === change.number) {
                newestNumbers.delete(key);
            }
        }
    }

    return {
        get newestNumber() {
            return newestNumber;
        },
        add: change => {
            newestNumber += 1;
            changes.push({ ...change, number: newestNumber });
            newestNumbers.set(formatKey(change), newestNumber);
            removeOldChanges();
        },
        listAfter: number => {
            const firstNumber = changes[0]?.number ?? newestNumber + 1;
            return changes.slice(Math.max(0, number + 1 - firstNumber))
                .filter(change => newestNumbers.get(formatKey(change)) === change.number);
        },
    };
}
