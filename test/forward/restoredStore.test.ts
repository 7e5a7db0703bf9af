/** What processes do when the store comes back from an older copy, in which revisions are given out again. */
import { describe, expect, it, vi } from "vitest";
import { createStoreFeed } from "../../platform/storeFeed";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import type { ForwardEvent } from "../../src/forward/events";
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
    return { store, events, hasVersion, stop };
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
});
