/** State that the systems of a process work on: tables, effects, timers and the constants of the process. */
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
    /** Returns a random number in [0, 1); a seeded generator in tests. */
    readonly random: () => number;
    readonly tables: Tables;
    readonly effects: EffectQueue;
    readonly timers: TimerService;
}

/** One run of the systems over a batch of events. */
export interface TickOf<Batch> {
    /** Sequence number; the first tick of a process is 1. */
    readonly number: number;
    readonly now: Millis;
    /** Milliseconds since the Unix epoch, for records read by people or other processes. */
    readonly wallNow: number;
    readonly events: Batch;
    readonly due: DueTimers;
}

export type Tick = TickOf<EventBatch>;

/** A system reads events and tables, writes tables and appends effects. It never awaits. */
export type System = (world: World, tick: Tick) => void;
