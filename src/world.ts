/** The world that systems run over: tables, effects, timers and the constants of this process. */
import type { Settings } from "./config/settings";
import type { EffectQueue } from "./effects";
import type { EventBatch } from "./events";
import type { Incarnation, Millis } from "./ids";
import type { Hasher } from "./policy/prefix";
import type { Tables } from "./tables";
import type { DueTimers, TimerService } from "./timers";

export interface World {
    readonly settings: Settings;
    /** Incarnation of this process. */
    readonly incarnation: Incarnation;
    readonly hasher: Hasher;
    /** Random number in [0, 1), from a seeded generator in tests. */
    readonly random: () => number;
    readonly tables: Tables;
    readonly effects: EffectQueue;
    readonly timers: TimerService;
}

/** One run of the systems over the events of a batch. */
export interface TickOf<Batch> {
    /** Counts up by one; the first tick of a process is 1. */
    readonly number: number;
    readonly now: Millis;
    /** Milliseconds since the Unix epoch, for records that people or other processes read. */
    readonly wallNow: number;
    readonly events: Batch;
    readonly due: DueTimers;
}

export type Tick = TickOf<EventBatch>;

/** A system reads events and tables, writes tables and appends effects. It never awaits. */
export type System = (world: World, tick: Tick) => void;
