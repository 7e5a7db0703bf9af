/** What processes do when the store comes back from an older copy, in which revisions are given out again. */
import { describe, expect, it, vi } from "vitest";
import { createStoreFeed } from "../../platform/storeFeed";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import type { ForwardEvent } from "../../src/forward/events";
import { toStoreEra } from "../../src/forward/ids";
import { computeWatchTiming } from "../../src/forward/policy/watchTiming";
import { toMillis } from "../../src/ids";
import { startPlatformStore } from "../../standins/platformStore";

/** The shortest bound of all deployments on changes of configurations and targets. */
const boundMs = 2000;

async function startFeed() {
    const store = await startPlatformStore();
    const events: ForwardEvent[] = [];
    const feed = createStoreFeed({
        access: { address: store.address, agent: createKeepAliveAgent(), timeoutMs: 500 },
        clock: { getNow: () => toMillis(performance.now()) },
        post: event => {
            events.push(event);
        },
        requestChanges: () => Promise.reject(new Error("no relay is set")),
    });
    feed.updateSource({ relay: undefined, pauseMs: 300, ...computeWatchTiming(boundMs) });
    feed.start();
    const hasVersion = (version: number): boolean =>
        events.some(event =>
            (event.kind === "publishedRead" || event.kind === "publishedChanged")
            && event.changes.weights.some(weights => weights.version === version)
        );
    const stop = async (): Promise<void> => {
        feed.stop();
        await store.close();
    };
    return { store, feed, events, hasVersion, stop };
}

describe("the feed of a store that was restored", () => {
    // Guards against CONFIG: a watch from a revision that was given out again misses the change and gets no 410.
    it("learns of a change whose revision it has seen before the store was restored", async () => {
        const { store, hasVersion, stop } = await startFeed();
        store.put("op/version/m", { model: "m", version: 2 });
        const copy = store.copy();
        store.put("op/version/m", { model: "m", version: 3 });
        await vi.waitUntil(() => hasVersion(3), { timeout: boundMs });
        store.restore(copy);
        store.put("op/version/m", { model: "m", version: 4 });
        const isKnown = await vi.waitUntil(() => hasVersion(4), { timeout: boundMs }).catch(() => false);
        await stop();
        expect(isKnown).toBe(true);
    });

    // Guards against a restore between two watch calls that only the answer to a renewal or a write shows.
    it("reads the store again when the answer to another call names the new era", async () => {
        const { store, feed, hasVersion, stop } = await startFeed();
        store.put("op/version/m", { model: "m", version: 3 });
        await vi.waitUntil(() => hasVersion(3), { timeout: boundMs });
        const reads = store.calls.get("kv-range") ?? 0;
        feed.recordEra(toStoreEra(2));
        // The stand-in is still in its first era, so its next answers come from a history that is taken for lost.
        await vi.waitUntil(() => (store.calls.get("kv-range") ?? 0) > reads, { timeout: boundMs });
        await stop();
    });
});
