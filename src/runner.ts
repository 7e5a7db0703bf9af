/** Runs ticks: collects events and due timers, runs the systems in order, hands the effects to the adapters. */
import { type EffectHandlers, runEffects } from "./effects";
import { createEventBatch, type Event } from "./events";
import type { Millis } from "./ids";
import type { System, World } from "./world";

/** Time as the runner needs it; tests pass a virtual clock. */
export interface Clock {
    getNow(): Millis;
    getWallNow(): number;
    /** Calls back once at the given time; a later call replaces the earlier one. */
    scheduleWake(at: Millis, wake: () => void): void;
    /** Calls back once after the events at hand have been handled. */
    scheduleSoon(wake: () => void): void;
    cancelWake(): void;
}

export interface RunnerOptions {
    readonly world: World;
    readonly systems: readonly System[];
    readonly handlers: EffectHandlers;
    readonly clock: Clock;
    /** Called after each tick with its processor-independent facts, for tests and benchmarks. */
    readonly observe?: (tick: { readonly number: number; readonly events: number; readonly effects: number; }) => void;
}

export interface Runner {
    /** Adds an event; the next tick reads it. */
    post(event: Event): void;
    /** Runs the first tick, in which systems set up their timers. */
    start(): void;
    stop(): void;
}

/** Creates the runner of one process. */
export function createRunner({ world, systems, handlers, clock, observe }: RunnerOptions): Runner {
    let pending: Event[] = [];
    let isScheduled = false;
    let isStopped = false;
    let number = 0;

    function runTick(): void {
        isScheduled = false;
        if (isStopped) {
            return;
        }
        const events = pending;
        pending = [];
        number += 1;
        const now = clock.getNow();
        const tick = {
            number,
            now,
            wallNow: clock.getWallNow(),
            events: createEventBatch(events),
            due: world.timers.takeDue(now),
        };
        for (const system of systems) {
            system(world, tick);
        }
        const effects = world.effects.takeAll();
        runEffects(effects, handlers);
        observe?.({ number, events: events.length, effects: effects.length });
        scheduleNext();
    }

    function scheduleNext(): void {
        const next = world.timers.getNextDue();
        if (next !== undefined && !isScheduled) {
            clock.scheduleWake(next, scheduleTick);
        }
    }

    function scheduleTick(): void {
        if (!isScheduled && !isStopped) {
            isScheduled = true;
            clock.scheduleSoon(runTick);
        }
    }

    return {
        post: event => {
            pending.push(event);
            scheduleTick();
        },
        start: scheduleTick,
        stop: () => {
            isStopped = true;
            clock.cancelWake();
        },
    };
}
