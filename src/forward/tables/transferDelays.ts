/** Delays of first events, by the source from which their engines fetched cached parts. */
import type { Millis } from "../../ids";
import { computeDelay, type DelayAverage, updateDelay } from "../policy/transferDelay";

/** Stands for requests whose engines fetched nothing. */
export const noSource = "";

export interface TransferDelaysTable {
    /** Records by how much a first event was later than estimated, for the address of its source or `noSource`. */
    record(source: string, lateMs: number, now: Millis): void;
    /** Delay that fetching from the source adds; requests that fetched nothing show what has other causes. */
    computeAdded(source: string, now: Millis): number;
}

/** Averages beyond this number are dropped, the oldest first. */
const maxSources = 4096;

/** Creates an empty table. */
export function createTransferDelaysTable(): TransferDelaysTable {
    const averages = new Map<string, DelayAverage>();

    const computeAverage = (source: string, now: Millis): number => {
        const average = averages.get(source);
        return average ? computeDelay(average, now) : 0;
    };

    return {
        record: (source, lateMs, now) => {
            const average = updateDelay(averages.get(source), Math.max(0, lateMs), now);
            averages.delete(source);
            averages.set(source, average);
            const [oldest] = averages.keys();
            if (averages.size > maxSources && oldest !== undefined) {
                averages.delete(oldest);
            }
        },
        computeAdded: (source, now) => Math.max(0, computeAverage(source, now) - computeAverage(noSource, now)),
    };
}
