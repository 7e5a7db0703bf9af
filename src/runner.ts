/** Runs ticks: collects events and due timers, runs the systems in order, hands the effects to the adapters. */
import {
    type Effect,
    type EffectHandlers,
    type EffectQueue,
    type HandlersOf,
    type Kinded,
    runEffects,
} from "./effects";
import { createEventBatch, type Event, type EventBatch } from "./events";
import type { Millis } from "./ids";
import type { TimerService } from "./timers";
import type { System, TickOf, World } from "./world";

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

/** Receives the numbers of events and effects of a tick. */
export type TickObserver = (
    tick: { readonly number: number; readonly events: number; readonly effects: number; },
) => void;

/** What the runner needs of a world. */
export interface RunnableWorld<AnyEffect extends Kinded> {
    readonly effects: EffectQueue<AnyEffect>;
    readonly timers: TimerService;
}

export interface TickRunnerOptions<
    AnyEvent,
    Batch,
    AnyEffect extends Kinded,
    AnyWorld extends RunnableWorld<AnyEffect>,
> {
    readonly world: AnyWorld;
    readonly systems: readonly ((world: AnyWorld, tick: TickOf<Batch>) => void)[];
    readonly handlers: HandlersOf<AnyEffect>;
    readonly clock: Clock;
    /** Groups the events of one tick. */
    readonly createBatch: (events: readonly AnyEvent[]) => Batch;
    /** Called after each tick with its processor-independent facts, for tests and benchmarks. */
    readonly observe?: TickObserver;
}

export interface Runner<AnyEvent = Event> {
    /** Adds an event; the next tick reads it. */
    post(event: AnyEvent): void;
    /** Runs the first tick, in which systems set up their timers. */
    start(): void;
    stop(): void;
}

/** Creates the runner of any world. */
export function createTickRunner<
    AnyEvent,
    Batch,
    AnyEffect extends Kinded,
    AnyWorld extends RunnableWorld<AnyEffect>,
>(
    { world, systems, handlers, clock, createBatch, observe }: TickRunnerOptions<AnyEvent, Batch, AnyEffect, AnyWorld>,
): Runner<AnyEvent> {
    let pending: AnyEvent[] = [];
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
            events: createBatch(events),
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

export interface RunnerOptions {
    readonly world: World;
    readonly systems: readonly System[];
    readonly handlers: EffectHandlers;
    readonly clock: Clock;
    readonly observe?: TickObserver;
}

/** Creates the runner of one process. */
export function createRunner(options: RunnerOptions): Runner {
    return createTickRunner<Event, EventBatch, Effect, World>({ ...options, createBatch: createEventBatch });
}
