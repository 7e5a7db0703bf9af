/** Clock of the process: monotonic time, wall-clock time and one scheduled wake-up. */
import { toMillis } from "../ids";
import type { Clock } from "../runner";

/** Longest delay that `setTimeout` supports. */
const maxDelayMs = 2 ** 31 - 1;

/** Creates the clock of a running process. */
export function createProcessClock(): Clock {
    let timeout: NodeJS.Timeout | undefined;
    const cancelWake = (): void => {
        clearTimeout(timeout);
        timeout = undefined;
    };
    return {
        getNow: () => toMillis(performance.now()),
        getWallNow: () => Date.now(),
        scheduleWake: (at, wake) => {
            cancelWake();
            timeout = setTimeout(wake, Math.min(maxDelayMs, Math.max(0, Math.ceil(at - performance.now()))));
        },
        scheduleSoon: wake => {
            setImmediate(wake);
        },
        cancelWake,
    };
}
