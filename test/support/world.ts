/** Runs systems over the world of one process on a virtual clock, without adapters. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { loadHasher } from "../../src/adapters/hasher";
import { parseSettings } from "../../src/config/settings";
import { createEffectQueue, type Effect } from "../../src/effects";
import { createEventBatch, type Event } from "../../src/events";
import { toIncarnation, toMillis } from "../../src/ids";
import { createTables } from "../../src/tables";
import { createTimerService } from "../../src/timers";
import type { System, World } from "../../src/world";

export interface VirtualNode {
    readonly world: World;
    getNow(): number;
    /** Advances the clock by `afterMs`, runs one tick and returns its effects. */
    run(events?: readonly Event[], afterMs?: number): readonly Effect[];
}

const buildVirtualSettings = (index: number) => ({
    vm: `entry-${index}`,
    dataCentre: "dc-0",
    fleetSecret: "a-secret-of-the-test-fleet",
    listen: {
        callers: `127.0.0.1:${1000 + index}`,
        operators: `127.0.0.1:${2000 + index}`,
        peers: `127.0.0.1:${3000 + index}`,
    },
    store: { address: "127.0.0.1:1" },
    peers: ["127.0.0.1:3000", "127.0.0.1:3001", "127.0.0.1:3002"],
});

/** Creates process `entry-{index}` of a fleet of three, with only the given systems. */
export async function createVirtualNode(systems: readonly System[], seed = 1, index = 0): Promise<VirtualNode> {
    const settings = parseSettings(buildVirtualSettings(index)).unwrap();
    const generator = xoroshiro128plus(seed);
    const world: World = {
        settings,
        incarnation: toIncarnation("run-0"),
        hasher: await loadHasher(),
        random: () => (generator.next() >>> 0) / 2 ** 32,
        tables: createTables(settings),
        effects: createEffectQueue(),
        timers: createTimerService(),
    };
    let now = 100_000;
    let number = 0;
    return {
        world,
        getNow: () => now,
        run: (events = [], afterMs = 0) => {
            now += afterMs;
            number += 1;
            const at = toMillis(now);
            const due = world.timers.takeDue(at);
            const tick = { number, now: at, wallNow: 1_800_000_000_000 + now, events: createEventBatch(events), due };
            for (const system of systems) {
                system(world, tick);
            }
            return world.effects.takeAll();
        },
    };
}
