/** Cache events of a fake engine as the router receives them: in batches, delayed, and with losses. */
import type { Event } from "../src/events";
import { type TargetId, toIncarnation } from "../src/ids";
import { parsePrefixId } from "../src/policy/prefix";
import type { CacheEvent } from "../src/targets";
import type { CacheChange } from "../standins/prefixCache";
import type { FaultCase } from "./cases";
import type { FakeEngine } from "./engine";
import { createRandom } from "./random";
import type { Simulation } from "./simulation";

/** Time for which the reader of cache events collects a batch. */
const cacheBatchMs = 50;

/** Delivers cache events of an engine in batches after a delay; lost events leave gaps in the sequence numbers. */
export function createCacheFeed(
    { simulation, post, fault, seed }: {
        readonly simulation: Simulation;
        readonly post: (event: Event) => void;
        readonly fault: FaultCase;
        readonly seed: number;
    },
): (engine: FakeEngine, change: CacheChange) => void {
    const random = createRandom(seed);
    let seq = 0;
    let incarnation = "";
    let batch: CacheEvent[] = [];
    return (engine: FakeEngine, { kind, blocks }: CacheChange): void => {
        if (incarnation !== engine.getIncarnation()) {
            incarnation = engine.getIncarnation();
            seq = 0;
            batch = [];
        }
        seq += 1;
        if (random.getNext() < fault.cacheEventLoss) {
            return;
        }
        const ids = blocks.flatMap(block => parsePrefixId(block) ?? []);
        batch.push(kind === "cleared" ? { seq, kind } : { seq, kind, blocks: ids });
        if (batch.length > 1) {
            return;
        }
        const sentBatch = batch;
        const sentIncarnation = incarnation;
        simulation.schedule(cacheBatchMs, () => {
            batch = batch === sentBatch ? [] : batch;
            simulation.schedule(fault.cacheEventDelayMs, () => {
                const event = {
                    target: engine.name as TargetId,
                    incarnation: toIncarnation(sentIncarnation),
                    events: sentBatch,
                };
                post({ kind: "cacheEventsReceived", ...event });
            });
        });
    };
}
