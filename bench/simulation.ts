/** Virtual time for benchmarks: actions of one instant are one batch, and the clock that the runner uses. */
import type { Clock } from "../src/runner";
import { createVirtualClock, createVirtualTime } from "../standins/virtualTime";

export interface Simulation {
    readonly clock: Clock;
    getNow(): number;
    /** Runs the action after `delayMs`; actions of the same time run in the order in which they were scheduled. */
    schedule(delayMs: number, action: () => void): void;
    /** Runs actions in order of time until the check holds or none is left. */
    runUntil(isDone: () => boolean): void;
}

/** Creates a simulation at time 0. */
export function createSimulation(): Simulation {
    const time = createVirtualTime();
    let soon: (() => void)[] = [];

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
        ...createVirtualClock({ time, getWallNow: () => Math.floor(time.getNow()) }),
        scheduleSoon: wake => {
            soon.push(wake);
        },
    };

    return {
        clock,
        getNow: time.getNow,
        schedule: time.schedule,
        runUntil: isDone => {
            runSoon();
            for (let at = time.getNext(); at !== undefined && !isDone(); at = time.getNext()) {
                // Everything of this instant happens before the next tick, as with one batch of socket events.
                while (time.getNext() === at) {
                    time.runNext();
                }
                runSoon();
            }
        },
    };
}
