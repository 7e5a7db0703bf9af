import { describe, expect, it, vi } from "vitest";
import { decodeConfiguration, decodeTarget, decodeWeights } from "../../platform/documents";
import { platformHeaders } from "../../platform/headers";
import { createStoreFeed } from "../../platform/storeFeed";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import type { ForwardEvent } from "../../src/forward/events";
import { toCacheSalt, toWeightsVersion } from "../../src/forward/ids";
import { computeWatchTiming } from "../../src/forward/policy/watchTiming";
import { toMillis, toTargetId } from "../../src/ids";
import { startPlatformStore } from "../../standins/platformStore";

const call = {
    target: toTargetId("i-1@5"),
    address: "127.0.0.1:1",
    instance: "i-1",
    account: "shop",
    timeLeftMs: 250,
    idleTimeoutMs: undefined,
    resumeAfterEventId: undefined,
};

function toMap(flat: readonly string[]): Map<string, string> {
    const map = new Map<string, string>();
    for (let index = 0; index < flat.length; index += 2) {
        map.set((flat[index] ?? "").toLowerCase(), flat[index + 1] ?? "");
    }
    return map;
}

describe("headers of the platform", () => {
    it("forward the caller's headers except the key, hop-by-hop headers and headers reserved for the system", () => {
        const sent = [
            ["Host", "shop.example"],
            ["Authorization", "Token secret"],
            ["Connection", "keep-alive, X-Hop"],
            ["X-Hop", "1"],
            ["X-Own", "kept"],
            ["Transfer-Encoding", "chunked"],
            ["X-Marjoramvane-Attempt-Id", "9c41"],
            ["X-Marjoramvane-Tenant-Id", "another"],
            ["X-Marjoramvane-Cache-Salt", "stolen"],
            ["X-Marjoramvane-Hold", "1"],
            ["X-Marjoramvane-Pin-Ms", "1"],
            ["X-Marjoramvane-Kv-Backup", "1"],
            ["X-Marjoramvane-Kv-Source", "10.0.0.1:1"],
            ["Kv-From", "x"],
            ["X-Marjoramvane-Deadline-Ms", "9000"],
        ].flat();
        const headers = toMap(platformHeaders.encodeRequest(sent, call));
        expect(Object.fromEntries(headers)).toEqual({
            "host": "shop.example",
            "x-own": "kept",
            "x-marjoramvane-attempt-id": "9c41",
            "x-marjoramvane-tenant-id": "shop",
            "x-marjoramvane-target-instance": "i-1",
            "x-marjoramvane-deadline-ms": "250",
        });
    });

    it("send an engine the cache salt, the expected weights and the address to fetch prompt parts from", () => {
        const engine = {
            salt: toCacheSalt("m.2."),
            version: toWeightsVersion(2),
            priority: 3,
            fetchFrom: "10.0.0.2:8080",
            copyTo: undefined,
        };
        const headers = toMap(platformHeaders.encodeRequest([], { ...call, resumeAfterEventId: 7, engine }));
        expect(headers.get("x-marjoramvane-cache-salt")).toBe("m.2.");
        expect(headers.get("x-marjoramvane-expect-version")).toBe("2");
        expect(headers.get("x-marjoramvane-kv-source")).toBe("10.0.0.2:8080");
        expect(headers.has("x-marjoramvane-kv-target")).toBe(false);
        expect(headers.get("last-event-id")).toBe("7");
    });

    it("tell that a target leaves, on a refusal too", () => {
        expect(platformHeaders.decodeResponse(200, { "server-leaving": "1" }).isLeaving).toBe(true);
        expect(platformHeaders.decodeResponse(503, { "server-leaving": "1" }).isLeaving).toBe(true);
        expect(platformHeaders.decodeResponse(200, {}).isLeaving).toBe(false);
    });

    it("tell for how long a target that is busy wants no requests, and ignore the header on other answers", () => {
        expect(platformHeaders.decodeResponse(503, { "retry-after": "1.5" }).retryAfterMs).toBe(1500);
        expect(platformHeaders.decodeResponse(500, { "retry-after": "1.5" }).retryAfterMs).toBeUndefined();
        expect(platformHeaders.decodeResponse(503, { "retry-after": "soon" }).retryAfterMs).toBeUndefined();
    });

    it("yield key, token counts, prompt parts and deadline of a request", () => {
        const fields = platformHeaders.decodeRequest({
            "authorization": "Token secret",
            "x-marjoramvane-attempt-id": "9c41",
            "x-marjoramvane-token-usage": "1460,80",
            "x-marjoramvane-prompt-prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            "x-marjoramvane-deadline-ms": "5000",
        });
        expect(fields).toMatchObject({ attemptId: "9c41", key: "secret", promptTokens: 1460, maxOutputTokens: 80 });
        expect(fields.parts.map(part => part.tokens)).toEqual([800, 410, 250]);
        expect(fields.callerTimeoutMs).toBe(5000);
    });

    it("yield a key only in the platform's authorization scheme", () => {
        expect(platformHeaders.decodeRequest({ authorization: "Bearer secret" }).key).toBeUndefined();
    });
});

describe("documents of the platform", () => {
    const registration = { service: "s", address: "10.0.0.1:80", zone: "z", version: "v1", slots: 4, state: "ready" };

    it("decode to no target when a field is missing, has the wrong type or has an unknown value", () => {
        const malformedEntries: unknown[] = [
            undefined,
            [],
            { ...registration, address: 5 },
            { ...registration, address: "nowhere" },
            { ...registration, state: "perhaps" },
            { ...registration, slots: "4" },
            { ...registration, born: 1.5 },
            { ...registration, zone: undefined },
        ];
        for (const entry of malformedEntries) {
            expect(decodeTarget("i-1", JSON.stringify(entry) ?? "{")).toBeUndefined();
        }
        expect(decodeTarget("i-1", JSON.stringify(registration))).toBeDefined();
    });

    it("give two runs of one instance different target ids", () => {
        const first = decodeTarget("i-1", JSON.stringify({ ...registration, born: 1 }));
        const second = decodeTarget("i-1", JSON.stringify({ ...registration, born: 2 }));
        expect(first?.id).not.toBe(second?.id);
        expect(first?.instance).toBe(second?.instance);
    });

    it("contain keys only as hashes", () => {
        const text = JSON.stringify({
            version: 3,
            routes: [],
            services: [],
            tenants: [{ "name": "shop", "api-keys": ["secret"], "isolated": true }],
        });
        const document = decodeConfiguration(text);
        expect(JSON.stringify([...document?.accounts.values() ?? []])).not.toContain("secret");
        expect([...document?.accounts.values() ?? []][0]?.isIsolated).toBe(true);
    });

    it("are rejected when they are malformed", () => {
        expect(decodeConfiguration("{")).toBeUndefined();
        expect(decodeWeights("{\"model\":1}")).toBeUndefined();
        expect(decodeWeights("{\"model\":\"m\",\"version\":2}")).toEqual({ model: "m", version: 2 });
    });
});

describe("feed of the platform's store", () => {
    it(
        "keeps the set pause between watches, whether or not the store changes all the time",
        async () => {
            for (const changeEveryMs of [50, 10_000]) {
                const store = await startPlatformStore();
                const feed = createStoreFeed({
                    access: { address: store.address, agent: createKeepAliveAgent(), timeoutMs: 500 },
                    clock: { getNow: () => toMillis(performance.now()) },
                    post: () => undefined,
                    requestChanges: () => Promise.reject(new Error("no relay is set")),
                });
                feed.updateSource({ relay: undefined, pauseMs: 1000, cycleMs: 1800, marginMs: 700 });
                feed.start();
                const changes = setInterval(() => {
                    store.put("op/other", {});
                }, changeEveryMs);
                await new Promise(resolve => setTimeout(resolve, 2700));
                clearInterval(changes);
                feed.stop();
                // The feed starts a watch every 1 s, or every 1.5 s when nothing changes.
                expect(store.calls.get("kv-watch")).toBeLessThanOrEqual(3);
                await store.close();
            }
        },
        10_000,
    );

    // Guards against DRAIN and CONFIG: a change that a lost answer carried was known only 2.6 s later.
    it("knows a change within the bound of 2 s, with room, when the answer that carried it never came", async () => {
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
        feed.updateSource({ relay: undefined, pauseMs: 300, ...computeWatchTiming(2000) });
        feed.start();
        await vi.waitUntil(() => events.some(({ kind }) => kind === "publishedRead"));
        store.faults.mode = "silent";
        await vi.waitUntil(() => events.some(({ kind }) => kind === "publishedChanged"), { timeout: 3000 });
        const changedAt = performance.now();
        store.put("op/version/m", { model: "m", version: 2 });
        setTimeout(() => {
            store.faults.mode = "none";
        }, 600);
        const isKnown = (): boolean =>
            events.some(event => event.kind === "publishedChanged" && event.changes.weights.length > 0);
        await vi.waitUntil(isKnown, { timeout: 5000 });
        expect(performance.now() - changedAt).toBeLessThan(0.85 * 2000);
        feed.stop();
        await store.close();
    });

    it("detects within 1.5 s that an unresponsive store is back", async () => {
        const store = await startPlatformStore();
        const events: { readonly kind: string; readonly at: number; }[] = [];
        const feed = createStoreFeed({
            access: { address: store.address, agent: createKeepAliveAgent(), timeoutMs: 500 },
            clock: { getNow: () => toMillis(performance.now()) },
            post: ({ kind }) => {
                events.push({ kind, at: performance.now() });
                if (kind === "publishedRead") {
                    store.faults.mode = "silent";
                }
            },
            requestChanges: () => Promise.reject(new Error("no relay is set")),
        });
        feed.start();
        await vi.waitUntil(() => events.some(({ kind }) => kind === "storeUnreachable"), { timeout: 5000 });
        // The next watch begins while the store still does not respond.
        await new Promise(resolve => setTimeout(resolve, 450));
        store.faults.mode = "none";
        const recoveredAt = performance.now();
        await vi.waitUntil(() => events.at(-1)?.kind === "publishedChanged", { timeout: 5000 });
        expect(performance.now() - recoveredAt).toBeLessThan(1500);
        feed.stop();
        await store.close();
    }, 10_000);
});
