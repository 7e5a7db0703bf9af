/** Runs ticks: collects events and due timers, runs the systems in order, passes the effects to the adapters. */
import {
    type Effect,
    type EffectHandlers,
    type EffectQueue,
    type HandlersOf,
    type LogFields,
    runEffects,
    type WithKind,
} from "./effects";
import { createEventBatch, type Event, type EventBatch } from "./events";
import type { Millis } from "./ids";
import type { TimerService } from "./timers";
import type { System, TickOf, World } from "./world";

/** Clock of the runner; tests use a virtual one. */
export interface Clock {
    getNow(): Millis;
    /** Milliseconds since the Unix epoch. */
    getWallNow(): number;
    /** Calls `wake` once at the given time. A later call replaces the scheduled one. */
    scheduleWake(at: Millis, wake: () => void): void;
    /** Calls `wake` once after the I/O events already in the queue. */
    scheduleSoon(wake: () => void): void;
    cancelWake(): void;
}

/** Receives the number of the tick and its counts of events and effects. */
export type TickObserver = (
    tick: { readonly number: number; readonly events: number; readonly effects: number; },
) => void;

/** Unexpected error that ends only the work during which it was thrown. */
export interface Failure {
    /** Name of the system, kind of the effect, or name of the adapter. */
    readonly part: string;
    readonly error: unknown;
    /** Ids of what the work belonged to, such as a request and its target. */
    readonly fields?: LogFields;
}

/** Receives unexpected errors. */
export type FailureReporter = (failure: Failure) => void;

/** Fields that name the request of an effect, for the effects that have one. */
const buildEffectFields = (effect: WithKind): LogFields =>
    "request" in effect && typeof effect.request === "string" ? { request: effect.request } : {};

/** Fields of a world that the runner uses. */
export interface RunnableWorld<AnyEffect extends WithKind> {
    readonly effects: EffectQueue<AnyEffect>;
    readonly timers: TimerService;
}

export interface TickRunnerOptions<
    AnyEvent,
    Batch,
    AnyEffect extends WithKind,
    AnyWorld extends RunnableWorld<AnyEffect>,
> {
    readonly world: AnyWorld;
    readonly systems: readonly ((world: AnyWorld, tick: TickOf<Batch>) => void)[];
    readonly handlers: HandlersOf<AnyEffect>;
    readonly clock: Clock;
    /** Groups the events of one tick. */
    readonly createBatch: (events: readonly AnyEvent[]) => Batch;
    /** Called after each tick with counts that do not depend on processor speed, for tests and benchmarks. */
    readonly observe?: TickObserver;
    /**
     * Receives unexpected errors. The tick goes on with the next system or effect, so that one malformed message does not
     * end the process; after `maxFailedTicks` failed ticks in a row the error is thrown. Without it, every error is thrown.
     */
    readonly reportFailure?: FailureReporter;
}

/** Ticks in a row with an unexpected error after which the state of the process is no longer trusted. */
const maxFailedTicks = 50;

export interface Runner<AnyEvent = Event> {
    /** Queues an event for the next tick. */
    post(event: AnyEvent): void;
    /** Schedules the first tick, in which systems set up their timers. */
    start(): void;
    stop(): void;
}

/** Creates a runner for any kind of world. */
export function createTickRunner<
    AnyEvent,
    Batch,
    AnyEffect extends WithKind,
    AnyWorld extends RunnableWorld<AnyEffect>,
>(
    { world, systems, handlers, clock, createBatch, observe, reportFailure }: TickRunnerOptions<
        AnyEvent,
        Batch,
        AnyEffect,
        AnyWorld
    >,
): Runner<AnyEvent> {
    let pendingEvents: AnyEvent[] = [];
    let isScheduled = false;
    let isStopped = false;
    let number = 0;
    let failedTicks = 0;
    let hasTickFailed = false;

    function handleFailure(failure: Failure): void {
        if (!reportFailure || failedTicks >= maxFailedTicks) {
            throw failure.error;
        }
        hasTickFailed = true;
        reportFailure(failure);
    }

    function runTick(): void {
        isScheduled = false;
        if (isStopped) {
            return;
        }
        const events = pendingEvents;
        pendingEvents = [];
        number += 1;
        const now = clock.getNow();
        const tick = {
            number,
            now,
            wallNow: clock.getWallNow(),
            events: createBatch(events),
            due: world.timers.takeDue(now),
        };
        hasTickFailed = false;
        for (const system of systems) {
            try {
                system(world, tick);
            }
            catch (error) {
                handleFailure({ part: system.name, error });
            }
        }
        const effects = world.effects.takeAll();
        runEffects(effects, handlers, (error, effect) => {
            handleFailure({ part: effect.kind, error, fields: buildEffectFields(effect) });
        });
        failedTicks = hasTickFailed ? failedTicks + 1 : 0;
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
            pendingEvents.push(event);
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
    readonly reportFailure?: FailureReporter;
}

/** Creates the runner of a `serve` process. */
export function createRunner(options: RunnerOptions): Runner {
    return createTickRunner<Event, EventBatch, Effect, World>({ ...options, createBatch: createEventBatch });
}
