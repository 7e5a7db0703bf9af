/** Timer service: systems subscribe to periodic timers and schedule single ones; due timers start a tick. */
import { addToHeap, removeFirst } from "./heap";
import { addMillis, type Millis } from "./ids";

export type TimerName =
    | "attemptIdleTimeout"
    | "claimRetry"
    | "changeConfirmation"
    | "changeDeadline"
    | "changeRetry"
    | "claimSweep"
    | "copyCall"
    | "copyRequest"
    | "crashEvaluation"
    | "crashExpiry"
    | "configurationComparison"
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
    | "quarantineEnd"
    | "quarantineWrite"
    | "relayCall"
    | "requestDeadline"
    | "requestRetry"
    | "rollout"
    | "serviceRollout"
    | "silentAttempt"
    | "slotRenewal"
    | "slotSample"
    | "slotSearch"
    | "storeReader"
    | "streamMove"
    | "targetReports"
    | "missingMember"
    | "missingTarget"
    | "usageSample"
    | "valueRead"
    | "vmList"
    | "watchRetry";

export interface Subscription {
    readonly name: TimerName;
    readonly everyMs: number;
    /** Delay of the first occurrence; defaults to one period. */
    readonly firstAfterMs?: number;
}

export interface SingleTimer {
    readonly name: TimerName;
    readonly at: Millis;
    /** Id of the row that the timer is for; empty for a timer of a whole system. */
    readonly key?: string;
}

/** Timers due in a tick. */
export interface DueTimers {
    has(name: TimerName): boolean;
    listKeys(name: TimerName): readonly string[];
}

export interface TimerService {
    subscribe(subscription: Subscription, now: Millis): void;
    schedule(timer: SingleTimer): void;
    /** Returns the time of the next timer, or undefined when there is none. */
    getNextDue(): Millis | undefined;
    /** Removes and returns the timers that are due, and reschedules the periodic ones. */
    takeDue(now: Millis): DueTimers;
}

interface HeapEntry {
    readonly at: Millis;
    readonly name: TimerName;
    readonly key: string;
    readonly everyMs: number;
}

const isBefore = (left: HeapEntry, right: HeapEntry): boolean => left.at < right.at;

/**
 * Creates a timer service. It has no clock of its own; callers pass the current time.
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
            addToHeap(heap, { at: addMillis(now, firstAfterMs), name, key: "", everyMs }, isBefore);
        },
        schedule: ({ name, at, key = "" }) => {
            addToHeap(heap, { at, name, key, everyMs: 0 }, isBefore);
        },
        getNextDue: () => heap[0]?.at,
        takeDue: now => {
            const due = new Map<TimerName, string[]>();
            while (heap.length > 0 && (heap[0] as HeapEntry).at <= now) {
                const dueTimer = removeFirst(heap, isBefore);
                due.set(dueTimer.name, [...(due.get(dueTimer.name) ?? []), dueTimer.key]);
                if (dueTimer.everyMs > 0) {
                    // Counted from now, so that a paused process does not catch up on missed periods.
                    addToHeap(heap, { ...dueTimer, at: addMillis(now, dueTimer.everyMs) }, isBefore);
                }
            }
            return { has: name => due.has(name), listKeys: name => due.get(name) ?? [] };
        },
    };
}
