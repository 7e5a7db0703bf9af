/** Key-value store of the benchmarks: applies `callStore` effects to the store stand-in without a network. */
import { headKey, snapshotKey } from "../src/config/records";
import type { EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { createKeyValueStore } from "../standins/keyValueStore";
import { runStoreCall } from "../standins/storeCalls";
import type { Simulation } from "./simulation";

const storeDelayMs = 2;

export interface FakeStore {
    call(effect: EffectOf<"callStore">): void;
}

/** Creates a store that holds version 1 of the configuration and answers every call. */
export function createFakeStore(
    { simulation, document, post }: {
        readonly simulation: Simulation;
        readonly document: unknown;
        readonly post: (event: Event) => void;
    },
): FakeStore {
    const store = createKeyValueStore({ getNow: simulation.getNow });
    store.runTransaction([], [
        { kind: "put", key: snapshotKey, value: JSON.stringify({ version: 1, document }) },
        { kind: "put", key: headKey, value: JSON.stringify({ version: 1, changeId: "benchmark" }) },
    ], []);
    return {
        call: ({ purpose, call }) => {
            const sentAt = simulation.clock.getNow();
            simulation.schedule(storeDelayMs, () => {
                post({ kind: "storeReplied", purpose, outcome: { sentAt, result: runStoreCall(store, call) } });
            });
        },
    };
}
