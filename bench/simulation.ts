/** Virtual time for benchmarks: a queue of actions and the clock that the runner uses. */
import { type Millis, toMillis } from "../src/ids";
import type { Clock } from "../src/runner";

export interface Simulation {
    readonly clock: Clock;
    getNow(): number;
    /** Runs the action after `delayMs`; actions of the same time run in the order in which they were scheduled. */
    schedule(delayMs: number, action: () => void): void;
    /** Runs actions in order of time until the check holds or none is left. */
    runUntil(isDone: () => boolean): void;
}

interface ScheduledAction {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
}

const isBefore = (left: ScheduledAction, right: ScheduledAction): boolean =>
    left.at < right.at || (left.at === right.at && left.order < right.order);

function addAction(heap: ScheduledAction[], entry: ScheduledAction): void {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
        const parent = (index - 1) >> 1;
        const above = heap[parent] as ScheduledAction;
        if (!isBefore(entry, above)) {
            break;
        }
        heap[index] = above;
        index = parent;
    }
    heap[index] = entry;
}

function removeFirst(heap: ScheduledAction[]): ScheduledAction {
    const first = heap[0] as ScheduledAction;
    const last = heap.pop() as ScheduledAction;
    if (heap.length === 0) {
        return first;
    }
    let index = 0;
    for (;;) {
        let child = 2 * index + 1;
        if (child >= heap.length) {
            break;
        }
        const right = child + 1;
        if (right < heap.length && isBefore(heap[right] as ScheduledAction, heap[child] as ScheduledAction)) {
            child = right;
        }
        if (!isBefore(heap[child] as ScheduledAction, last)) {
            break;
        }
        heap[index] = heap[child] as ScheduledAction;
        index = child;
    }
    heap[index] = last;
    return first;
}

/** Creates a simulation at time 0. */
export function createSimulation(): Simulation {
    const heap: ScheduledAction[] = [];
    let soon: (() => void)[] = [];
    let now = 0;
    let order = 0;
    let wakeNumber = 0;

    /** Takes an absolute time: adding a difference to `now` can round to just before a timer and loop for ever. */
    function scheduleAt(at: number, action: () => void): void {
        order += 1;
        addAction(heap, { at: Math.max(now, at), order, action });
    }

    function runSoon(): void {
        while (soon.length > 0) {
            const actions = soon;
            soon = [];
            for (const action of actions) {
                action();
            }
        }
    }

    const clock: Clock = {
        getNow: (): Millis => toMillis(now),
        getWallNow: () => Math.floor(now),
        scheduleWake: (at, wake) => {
            wakeNumber += 1;
            const number = wakeNumber;
            scheduleAt(at, () => {
                if (number === wakeNumber) {
                    wake();
                }
            });
        },
        scheduleSoon: wake => {
            soon.push(wake);
        },
        cancelWake: () => {
            wakeNumber += 1;
        },
    };

    return {
        clock,
        getNow: () => now,
        schedule: (delayMs, action) => {
            scheduleAt(now + delayMs, action);
        },
        runUntil: isDone => {
            runSoon();
            while (heap.length > 0 && !isDone()) {
                now = (heap[0] as ScheduledAction).at;
                // Everything of this instant happens before the next tick, as with one batch of socket events.
                while (heap.length > 0 && (heap[0] as ScheduledAction).at <= now) {
                    removeFirst(heap).action();
                }
                runSoon();
            }
        },
    };
}
