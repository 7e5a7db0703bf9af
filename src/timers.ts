/** Timer service: parts subscribe to periods and schedule single timers; due timers wake a tick. */
import { addMillis, type Millis } from "./ids";

export type TimerName =
    | "attemptSilence"
    | "claimRetry"
    | "changeConfirmation"
    | "changeDeadline"
    | "changeRetry"
    | "claimSweep"
    | "configurationRetry"
    | "drain"
    | "exchange"
    | "freshness"
    | "grantExpiry"
    | "leaseRenewal"
    | "memberRetry"
    | "outageExchange"
    | "ownership"
    | "partReports"
    | "placement"
    | "prefixExpiry"
    | "requestDeadline"
    | "requestRetry"
    | "rollout"
    | "slotRenewal"
    | "slotSearch"
    | "streamMove"
    | "targetReports"
    | "targetReturn"
    | "vmList"
    | "watchRetry";

export interface Subscription {
    readonly name: TimerName;
    readonly everyMs: number;
    /** Delay of the first call; one period when absent. */
    readonly firstAfterMs?: number;
}

export interface SingleTimer {
    readonly name: TimerName;
    readonly at: Millis;
    /** Id of the row the timer is for; empty when the timer is for the whole system. */
    readonly key?: string;
}

/** Timers that are due in a tick. */
export interface DueTimers {
    has(name: TimerName): boolean;
    listKeys(name: TimerName): readonly string[];
}

export interface TimerService {
    subscribe(subscription: Subscription, now: Millis): void;
    schedule(timer: SingleTimer): void;
    /** Time of the next timer, or undefined when there is none. */
    getNextDue(): Millis | undefined;
    takeDue(now: Millis): DueTimers;
}

interface HeapEntry {
    readonly at: Millis;
    readonly name: TimerName;
    readonly key: string;
    readonly everyMs: number;
}

function addToHeap(heap: HeapEntry[], entry: HeapEntry): void {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
        const parent = (index - 1) >> 1;
        const above = heap[parent] as HeapEntry;
        if (above.at <= entry.at) {
            break;
        }
        heap[index] = above;
        index = parent;
    }
    heap[index] = entry;
}

function removeFirst(heap: HeapEntry[]): HeapEntry {
    const first = heap[0] as HeapEntry;
    const last = heap.pop() as HeapEntry;
    if (heap.length === 0) {
        return first;
    }
    let index = 0;
    for (;;) {
        const left = 2 * index + 1;
        if (left >= heap.length) {
            break;
        }
        const right = left + 1;
        const child = right < heap.length && (heap[right] as HeapEntry).at < (heap[left] as HeapEntry).at
            ? right
            : left;
        if ((heap[child] as HeapEntry).at >= last.at) {
            break;
        }
        heap[index] = heap[child] as HeapEntry;
        index = child;
    }
    heap[index] = last;
    return first;
}

/**
 * Creates a timer service. It holds no clock: the runner passes the time in.
 *
 * @example
 * const timers = createTimerService();
 * timers.subscribe({ name: "exchange", everyMs: 1000 }, toMillis(0));
 * timers.takeDue(toMillis(1000)).has("exchange"); // true
 */
export function createTimerService(): TimerService {
    const heap: HeapEntry[] = [];
    return {
        subscribe: ({ name, everyMs, firstAfterMs = everyMs }, now) => {
            addToHeap(heap, { at: addMillis(now, firstAfterMs), name, key: "", everyMs });
        },
        schedule: ({ name, at, key = "" }) => {
            addToHeap(heap, { at, name, key, everyMs: 0 });
        },
        getNextDue: () => heap[0]?.at,
        takeDue: now => {
            const due = new Map<TimerName, string[]>();
            while (heap.length > 0 && (heap[0] as HeapEntry).at <= now) {
                const entry = removeFirst(heap);
                due.set(entry.name, [...(due.get(entry.name) ?? []), entry.key]);
                if (entry.everyMs > 0) {
                    // Counted from now, so that a paused process does not run the periods it missed.
                    addToHeap(heap, { ...entry, at: addMillis(now, entry.everyMs) });
                }
            }
            return { has: name => due.has(name), listKeys: name => due.get(name) ?? [] };
        },
    };
}
