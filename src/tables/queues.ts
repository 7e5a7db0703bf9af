/** Fair queues: one for each combination of priority and model version or service. */
import { createFairQueue, type FairQueue } from "../policy/fairQueue";

export interface QueuesTable {
    readonly size: number;
    /** Returns the queue with this name, creating it if needed. */
    get(name: string): FairQueue;
    /** Removes all queues except the named ones. */
    removeExcept(names: ReadonlySet<string>): void;
}

/** Creates an empty table. */
export function createQueuesTable(): QueuesTable {
    const rows = new Map<string, FairQueue>();
    return {
        get size() {
            return rows.size;
        },
        get: name => {
            const row = rows.get(name) ?? createFairQueue();
            rows.set(name, row);
            return row;
        },
        removeExcept: names => {
            for (const name of rows.keys()) {
                if (!names.has(name)) {
                    rows.delete(name);
                }
            }
        },
    };
}
