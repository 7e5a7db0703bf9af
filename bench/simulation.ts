/** Virtual time for benchmarks and a clock for the runner; all actions due at the same time run as one batch. */
import type { Clock } from "../src/runner";
import { createVirtualClock, createVirtualTime } from "../standins/virtualTime";

export interface Simulation {
    readonly clock: Clock;
    getNow(): number;
    /** Runs the action after `delayMs`; actions of the same time run in the order in which they were scheduled. */
    schedule(delayMs: number, action: () => void): void;
    /** Runs actions in order of time until `isDone` returns true or none is left. */
    runUntil(isDone: () => boolean): void;
}

/** Creates a simulation at time 0. */
export function createSimulation(): Simulation {
    const time = createVirtualTime();
    let soonActions: (() => void)[] = [];

    function runSoonActions(): void {
        while (soonActions.length > 0) {
            const actions = soonActions;
            soonActions = [];
            for (const action of actions) {
                action();
            }
        }
    }

    const clock: Clock = {
        ...createVirtualClock({ time, getWallNow: () => Math.floor(time.getNow()) }),
        scheduleSoon: wake => {
            soonActions.push(wake);
        },
    };

    return {
        clock,
        getNow: time.getNow,
        schedule: time.schedule,
        runUntil: isDone => {
            runSoonActions();
            for (let at = time.getNext(); at !== undefined && !isDone(); at = time.getNext()) {
                // All actions of this time run before the next tick, like a batch of socket events in the event loop.
                while (time.getNext() === at) {
                    time.runNext();
                }
                runSoonActions();
            }
        },
    };
}
