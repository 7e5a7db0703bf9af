/** State of the fair queues: one for each priority and each model version or service. */
import { createFairQueue, type FairQueue } from "../policy/fairQueue";

export interface QueuesTable {
    readonly size: number;
    /** The queue of that name; a new one when there is none. */
    get(name: string): FairQueue;
    /** Forgets queues in which nothing waits. */
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
