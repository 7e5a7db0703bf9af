/** Virtual time for simulations: scheduled actions on a heap, ordered by time. */
import { addToHeap, removeFirst } from "../src/heap";
import { toMillis } from "../src/ids";
import type { Clock } from "../src/runner";

interface ScheduledAction {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
}

const isBefore = (left: ScheduledAction, right: ScheduledAction): boolean =>
    left.at < right.at || (left.at === right.at && left.order < right.order);

export interface VirtualTime {
    /** Milliseconds since the start of the simulation. */
    getNow(): number;
    /** Time of the next action; undefined when none is left. */
    getNext(): number | undefined;
    /**
     * Runs the action at the given time, or at the current time if that is later. Actions of the same time run in the
     * order in which they were scheduled. The time is absolute, since adding a delay to the current time can round to
     * just before a timer, which would then be scheduled again without end.
     */
    scheduleAt(at: number, action: () => void): void;
    schedule(delayMs: number, action: () => void): void;
    /** Runs the next action at its time. */
    runNext(): void;
    /** Runs the actions due by `end`, then sets the time to `end`; stops early when `isDone` returns true. */
    runUntil(end: number, isDone?: () => boolean): void;
}

/** Creates a virtual time that begins at 0. */
export function createVirtualTime(): VirtualTime {
    const heap: ScheduledAction[] = [];
    let now = 0;
    let order = 0;

    function scheduleAt(at: number, action: () => void): void {
        order += 1;
        addToHeap(heap, { at: Math.max(now, at), order, action }, isBefore);
    }

    function runNext(): void {
        const { at, action } = removeFirst(heap, isBefore);
        now = at;
        action();
    }

    return {
        getNow: () => now,
        getNext: () => heap[0]?.at,
        scheduleAt,
        schedule: (delayMs, action) => {
            scheduleAt(now + delayMs, action);
        },
        runNext,
        runUntil: (end, isDone = () => false) => {
            while (!isDone()) {
                const next = heap[0];
                if (next === undefined || next.at > end) {
                    now = Math.max(now, end);
                    return;
                }
                runNext();
            }
        },
    };
}

export interface VirtualClockOptions {
    readonly time: VirtualTime;
    /** Converts virtual time to the monotonic time of the process; the same by default. */
    readonly toProcessTime?: (at: number) => number;
    readonly getWallNow?: () => number;
    /** Schedules an action of the process at a virtual time; a stopped or paused process runs it later or never. */
    readonly runAt?: (at: number, action: () => void) => void;
}

/**
 * Delay added to each wake-up. The clock of a process can be offset from virtual time, and rounding could wake it just
 * before its timer again and again.
 */
const wakeDelayMs = 0.01;

/** Creates the clock that the runner of one simulated process uses. */
export function createVirtualClock(
    { time, toProcessTime = at => at, getWallNow = time.getNow, runAt = time.scheduleAt }: VirtualClockOptions,
): Clock {
    let wakeNumber = 0;
    return {
        getNow: () => toMillis(toProcessTime(time.getNow())),
        getWallNow,
        scheduleWake: (at, wake) => {
            wakeNumber += 1;
            const number = wakeNumber;
            const delayMs = Math.max(0, at - toProcessTime(time.getNow()));
            runAt(time.getNow() + delayMs + wakeDelayMs, () => {
                if (number === wakeNumber) {
                    wake();
                }
            });
        },
        scheduleSoon: wake => {
            runAt(time.getNow(), wake);
        },
        cancelWake: () => {
            wakeNumber += 1;
        },
    };
}
