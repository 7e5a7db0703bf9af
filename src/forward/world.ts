/** The world of the forwarding mode: tables, effects, timers and the constants of this process. */
import type { Hasher } from "../policy/prefix";
import type { TimerService } from "../timers";
import type { ForwardEffectQueue } from "./effects";
import type { ForwardTick } from "./events";
import type { ForwardSettings } from "./settings";
import type { ForwardTables } from "./tables";

export interface ForwardWorld {
    settings: ForwardSettings;
    /** Milliseconds since the Unix epoch at the start of this process. */
    readonly startedAt: number;
    readonly hasher: Hasher;
    /** Random number in [0, 1), from a seeded generator in tests. */
    readonly random: () => number;
    readonly tables: ForwardTables;
    readonly effects: ForwardEffectQueue;
    readonly timers: TimerService;
}

/** A system reads events and tables, writes tables and appends effects. It never awaits. */
export type ForwardSystem = (world: ForwardWorld, tick: ForwardTick) => void;
