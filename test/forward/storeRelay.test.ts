/** Reading of the store by a few processes for the others. */
import * as http from "node:http";
import { describe, expect, it, vi } from "vitest";
import { createStoreFeed } from "../../platform/storeFeed";
import { loadHasher } from "../../src/adapters/hasher";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import { createPeerLink } from "../../src/forward/adapters/peerLink";
import type { ForwardEvent } from "../../src/forward/events";
import { chooseReader, computeReaderCount, listReaders } from "../../src/forward/policy/storeReaders";
import type { RelayAnswer, StoreItem, StorePosition } from "../../src/forward/storeChanges";
import { computeLength, createStoreHistory } from "../../src/forward/tables/storeRelay";
import { toCallId, toMillis, toVmId } from "../../src/ids";
import { closeServer, openServer } from "../../standins/platformHttp";
import { startPlatformStore } from "../../standins/platformStore";
import {
    buildDocument,
    buildMemberRows,
    buildPosition,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
    listNodeNames,
} from "../support/forwardNode";
import { startPlatformFleet, waitUntil } from "../support/platformFleet";

const names = listNodeNames(20);

const buildItem = (revision: number, value = "dGVzdA=="): StoreItem => ({
    key: `key-${revision}`,
    value,
    createRevision: revision,
    revision,
});

/** Starts a process of a fleet of 20 that has read the store at revision 1. */
async function startNode(name: string): Promise<ForwardTestNode> {
    const node = await createForwardTestNode(name);
    node.run([]);
    const rows = buildMemberRows(names);
    node.run([node.buildReadEvent({
        document: buildDocument(),
        rows,
        targets: [{
            name: "e0",
            target: buildTarget("e0"),
        }],
    })]);
    return node;
}

async function listReaderNames(): Promise<readonly string[]> {
    return listReaders(await loadHasher(), names.map(toVmId));
}

async function startReader(): Promise<ForwardTestNode> {
    return startNode((await listReaderNames())[0] ?? "");
}

async function startFollower(): Promise<ForwardTestNode> {
    const readers = await listReaderNames();
    return startNode(names.find(name => !readers.includes(name)) ?? "");
}

const getRelay = (effects: ReturnType<ForwardTestNode["run"]>): string | undefined =>
    listEffects(effects, "updateStoreSource").at(-1)?.relay?.vm;

function requestChanges(node: ForwardTestNode, after: number): RelayAnswer | undefined {
    const effects = node.run([{ kind: "relayCallReceived", call: toCallId("c"), after: buildPosition(after) }]);
    return listEffects(effects, "answerRelayCall")[0]?.answer;
}

describe("processes that read the store for others", () => {
    // Guards against calls to the store that grow with the number of processes.
    it("are all of a small fleet, and one of 32 and a spare of a larger one", () => {
        expect([1, 4, 9, 10, 29, 79, 300, 710].map(computeReaderCount)).toEqual([1, 4, 9, 2, 2, 4, 11, 24]);
    });

    it("serve about the same number of processes each, and stay the same when another process leaves", async () => {
        const hasher = await loadHasher();
        const vms = listNodeNames(300).map(toVmId);
        const readers = listReaders(hasher, vms);
        const counts = new Map<string, number>();
        for (const vm of vms) {
            const reader = chooseReader(hasher, vm, readers) ?? "";
            counts.set(reader, (counts.get(reader) ?? 0) + 1);
        }
        expect(counts.size).toBe(readers.length);
        expect(Math.max(...counts.values())).toBeLessThan(2.5 * vms.length / readers.length);
        const left = vms.filter(vm => vm !== vms.find(other => !readers.includes(other)));
        expect(listReaders(hasher, left)).toEqual(readers);
    });

    it("answer a waiting call when the store delivers a change, with the changes after its revision", async () => {
        const node = await startReader();
        expect(requestChanges(node, 1)).toBeUndefined();
        const change = node.buildChangeEvent({ items: [buildItem(7)], position: buildPosition(7) });
        const answer = listEffects(node.run([change], 100), "answerRelayCall")[0]?.answer;
        expect(answer).toMatchObject({
            kind: "changes",
            changes: { items: [{ key: "key-7" }], position: buildPosition(7) },
        });
        expect(requestChanges(node, 7)).toBeUndefined();
    });

    it("answer without changes after a second, so that the caller knows how old its state is", async () => {
        const node = await startReader();
        requestChanges(node, 1);
        node.run([node.buildChangeEvent({})], 600);
        const effects = node.runFor(500);
        expect(listEffects(effects, "answerRelayCall")[0]?.answer).toMatchObject({
            kind: "changes",
            changes: { items: [] },
        });
    });

    // Guards against a caller that waits for a reader which the store no longer answers.
    it("pass nothing on from 1.5 s after the store's last confirmation", async () => {
        const node = await startReader();
        node.run([], 900);
        requestChanges(node, 1);
        const effects = node.runFor(650);
        expect(listEffects(effects, "answerRelayCall")[0]?.answer).toEqual({ kind: "unavailable", reason: "outdated" });
        expect(requestChanges(node, 1)).toEqual({ kind: "unavailable", reason: "outdated" });
    });

    // Guards against a whole fleet that reads the store itself because the store answers a little late.
    it("pass on what they know while each answer of the store comes at most 0.3 s late", async () => {
        const node = await startReader();
        const heldMs = 700;
        const answers: (RelayAnswer | undefined)[] = [];
        for (let round = 0; round < 6; round += 1) {
            const confirmedAt = toMillis(node.getNow());
            requestChanges(node, 1);
            answers.push(...listEffects(node.runFor(heldMs + 300), "answerRelayCall").map(({ answer }) => answer));
            node.run([{ ...node.buildChangeEvent({}), confirmedAt, heldMs } as ForwardEvent]);
        }
        expect(answers.length).toBeGreaterThan(4);
        expect(answers.map(answer => answer?.kind)).toEqual(answers.map(() => "changes"));
    });

    // Guards against a reader that was paused and passes on what it knew before; its monotonic clock stood still.
    it("pass nothing on after a suspension until the store has answered again", async () => {
        const node = await startReader();
        node.suspend(5000);
        expect(requestChanges(node, 1)).toEqual({ kind: "unavailable", reason: "outdated" });
        node.run([node.buildChangeEvent({ items: [buildItem(9)], position: buildPosition(9) })]);
        expect(requestChanges(node, 1)).toMatchObject({ kind: "changes", changes: { position: buildPosition(9) } });
    });

    it("pass nothing on while the store does not answer them", async () => {
        const node = await startReader();
        node.run([{
            kind: "storeUnreachable",
            call: "watch",
            message: "status 503",
            receivedBytes: 0,
            sentAt: toMillis(node.getNow()),
        }]);
        expect(requestChanges(node, 1)).toEqual({ kind: "unavailable", reason: "outdated" });
    });

    // Guards against CONFIG: a process that waits for a reader with a slow link has less time to read a large value itself.
    it("send their callers to the store as soon as a large answer arrives, and keep the others waiting", async () => {
        const node = await startReader();
        requestChanges(node, 1);
        const answers = listEffects(node.run([{ kind: "largeAnswerStarted" }], 100), "answerRelayCall");
        expect(answers.map(({ answer }) => answer)).toEqual([{ kind: "readStore" }]);
        node.run([], 1600);
        expect(requestChanges(node, 1)).toEqual({ kind: "readStore" });
        node.run([node.buildChangeEvent({ items: [buildItem(5)], position: buildPosition(5) })]);
        expect(requestChanges(node, 5)).toBeUndefined();
    });

    // Guards against callers that count their reader as failed because its answer took longer than its state may be old.
    it("send their callers to the store until the contents of a large answer are confirmed again", async () => {
        const node = await startReader();
        node.run([{ kind: "largeAnswerStarted" }]);
        const event = node.buildChangeEvent({ items: [buildItem(5)], position: buildPosition(5) });
        node.run([event], 2000);
        expect(requestChanges(node, 5)).toEqual({ kind: "readStore" });
        node.run([node.buildChangeEvent({ position: buildPosition(5) })]);
        expect(requestChanges(node, 5)).toBeUndefined();
    });

    // Guards against callers that are sent to the store for ever after a large answer that did not arrive.
    it.each(
        [
            { kind: "storeUnreachable", call: "watch", message: "reset", receivedBytes: 99_000, sentAt: toMillis(0) },
            { kind: "storeChangesSkipped", after: buildPosition(1), reason: "too long", receivedBytes: 99_000 },
        ] as const,
    )("take up their answers when a large answer ends: $kind", async event => {
        const node = await startReader();
        node.run([{ kind: "largeAnswerStarted" }]);
        node.run([event]);
        expect(requestChanges(node, 1)).not.toEqual({ kind: "readStore" });
    });

    it("send a caller to the store for a large value, or for changes before their first read", async () => {
        const node = await startReader();
        expect(requestChanges(node, 0)).toEqual({ kind: "readStore" });
        node.run([node.buildChangeEvent({ items: [buildItem(5, "A".repeat(20_000))], position: buildPosition(5) })]);
        expect(requestChanges(node, 1)).toEqual({ kind: "readStore" });
        expect(requestChanges(node, 5)).toBeUndefined();
    });

    // Guards against an answer of megabytes to each of dozens of processes over a slow link.
    it("send a caller to the store for more changes than 256 KiB", async () => {
        const node = await startReader();
        const items = Array.from({ length: 40 }, (_, index) => buildItem(index + 2, "A".repeat(8000)));
        node.run([node.buildChangeEvent({ items, position: buildPosition(41) })]);
        expect(requestChanges(node, 1)).toEqual({ kind: "readStore" });
        expect(requestChanges(node, 30)).toMatchObject({ kind: "changes" });
    });

    it("are not processes that get the changes from another one", async () => {
        expect(requestChanges(await startFollower(), 1)).toEqual({ kind: "unavailable", reason: "not_a_reader" });
    });
});

describe("processes that read a restored store for others", () => {
    // Guards against CONFIG behind a reader: revisions of two eras were compared with each other.
    it("send a caller of an older era to the store, and one of a newer era to it as well", async () => {
        const node = await startReader();
        node.run([node.buildReadEvent({ position: buildPosition(1, 2) })], 100);
        const request = (era: number): RelayAnswer | undefined => {
            const after = buildPosition(900, era);
            const effects = node.run([{ kind: "relayCallReceived", call: toCallId("c"), after }]);
            return listEffects(effects, "answerRelayCall")[0]?.answer;
        };
        expect(request(1)).toEqual({ kind: "readStore" });
        expect(request(3)).toEqual({ kind: "unavailable", reason: "outdated" });
        expect(request(2)).toBeUndefined();
    });

    // Guards against a rolling upgrade in which processes that know no eras read the store themselves all the time.
    it("serve a caller that knows no eras as one of their own era", async () => {
        const node = await startReader();
        node.run([node.buildReadEvent({ position: buildPosition(5, 2) })], 100);
        node.run([node.buildChangeEvent({ items: [buildItem(6)], position: buildPosition(6, 2) })]);
        const call = { kind: "relayCallReceived", call: toCallId("c"), after: buildPosition(5, 0) } as const;
        expect(listEffects(node.run([call]), "answerRelayCall")[0]?.answer).toMatchObject({
            kind: "changes",
            changes: { items: [{ key: "key-6" }], position: buildPosition(6, 2) },
        });
    });

    // Guards against a follower that asks an older reader for the same changes over and over.
    it("are taken to be of the caller's era when they know none", async () => {
        const server = http.createServer((_request, response) => {
            const changes = { items: [], revision: 9, confirmedAgeMs: 1, reachableMs: 1 };
            response.end(JSON.stringify({ kind: "changes", changes }));
        });
        const address = await openServer(server);
        const link = createPeerLink({ address: "127.0.0.1:1", post: () => undefined });
        const answer = await link.requestChanges(address, buildPosition(5, 2));
        expect(answer).toMatchObject({ kind: "changes", changes: { position: buildPosition(9, 2) } });
        link.close();
        await closeServer(server);
    });
});

describe("history of the store's changes", () => {
    it("keeps a bounded number of changes and whole revisions", () => {
        const history = createStoreHistory();
        history.restart(buildPosition(10));
        for (let revision = 11; revision < 5011; revision += 1) {
            history.add([buildItem(revision), buildItem(revision)], buildPosition(revision));
        }
        const start = history.startRevision ?? 0;
        expect(history.listAfter(start).length).toBeLessThanOrEqual(2048);
        expect(history.listAfter(start)[0]?.revision).toBe(start + 1);
        expect(history.position).toEqual(buildPosition(5010));
    });

    // Guards against a process that runs out of memory by configurations that it keeps for others and never passes on.
    it("keeps no value that is too long to be passed on, nor what came before it", () => {
        const history = createStoreHistory();
        history.restart(buildPosition(1));
        history.add([buildItem(2), buildItem(3, "A".repeat(1_400_000)), buildItem(4)], buildPosition(4));
        expect(history.startRevision).toBe(3);
        expect(history.listAfter(0).map(({ revision }) => revision)).toEqual([4]);
    });

    // Guards against a bound of items only, with which the memory that is kept grows with the length of their values.
    it("keeps at most 2 MiB of keys and values", () => {
        const history = createStoreHistory();
        history.restart(buildPosition(1));
        for (let revision = 2; revision < 1000; revision += 1) {
            history.add([buildItem(revision, "A".repeat(8000))], buildPosition(revision));
        }
        const kept = history.listAfter(0);
        expect(computeLength(kept)).toBeLessThanOrEqual(2 * 1024 * 1024);
        expect(kept.length).toBeGreaterThan(200);
        expect(kept[0]?.revision).toBe((history.startRevision ?? 0) + 1);
    });

    it("adds a change only once when it is delivered again", () => {
        const history = createStoreHistory();
        history.restart(buildPosition(1));
        history.add([buildItem(2)], buildPosition(2));
        history.add([buildItem(2), buildItem(3)], buildPosition(3));
        expect(history.listAfter(1).map(({ revision }) => revision)).toEqual([2, 3]);
    });
});

describe("a process that gets the store's changes from another one", () => {
    it("asks another reader when its reader fails, the store when all fail, and its first reader again later", async () => {
        const node = await startFollower();
        const readers = await listReaderNames();
        const first = getRelay(node.run([node.buildReadEvent({ rows: buildMemberRows(names) })]))
            ?? node.world.tables.storeRelay.source;
        expect(readers).toContain(first);
        const second = getRelay(node.run([{ kind: "relayFailed", vm: toVmId(first ?? ""), message: "timeout" }]));
        expect(readers).toContain(second);
        expect(second).not.toBe(first);
        node.run([{ kind: "relayFailed", vm: toVmId(second ?? ""), message: "timeout" }]);
        expect(node.world.tables.storeRelay.source).toBeUndefined();
        node.runFor(5100);
        expect(node.world.tables.storeRelay.source).toBe(first);
    });

    it("reads the store itself while the fleet is small", async () => {
        const node = await createForwardTestNode("front-1");
        node.run([]);
        const effects = node.run([node.buildReadEvent({ rows: buildMemberRows(listNodeNames(4)) })]);
        expect(getRelay(effects)).toBeUndefined();
    });

    // Guards against dropping targets whose leases ran out in an outage that only the reader noticed, and against
    // keeping one that left while the store was sound.
    it("judges removed registrations by the outages of its reader", async () => {
        const removal = { targets: [{ name: "e0", target: undefined }] };
        for (
            const { rowsMayReturnMs, expected } of [
                { rowsMayReturnMs: 1900, expected: 1 },
                { rowsMayReturnMs: 0, expected: 0 },
            ]
        ) {
            const node = await startFollower();
            const change = node.buildChangeEvent(removal);
            node.run([{ ...change, reader: { reachableMs: 100, rowsMayReturnMs } } as ForwardEvent], 5000);
            expect(node.world.tables.targets.list().length).toBe(expected);
        }
    });
});

describe("feed of the platform's store with a relay", () => {
    const relay = { vm: toVmId("front-9"), address: "127.0.0.1:1" };

    async function startFeed(answerCall: (after: StorePosition) => Promise<RelayAnswer>) {
        const store = await startPlatformStore();
        const events: ForwardEvent[] = [];
        const feed = createStoreFeed({
            access: { address: store.address, agent: createKeepAliveAgent(), timeoutMs: 500 },
            clock: { getNow: () => toMillis(performance.now()) },
            post: event => {
                events.push(event);
            },
            requestChanges: (_address, after) => answerCall(after),
        });
        feed.updateSource({ relay, pauseMs: 300, cycleMs: 1000, marginMs: 300 });
        feed.start();
        const stop = async (): Promise<void> => {
            feed.stop();
            await store.close();
        };
        return { store, events, stop };
    }

    const listWeights = (events: readonly ForwardEvent[]): string[] =>
        events.flatMap(event =>
            event.kind === "publishedChanged" ? event.changes.weights.map(({ version }) => `${version}`) : []
        );

    // Guards against an early or empty answer that counts as written when the wait was over.
    it("tells for how long the store held a call that ended without changes", async () => {
        const { store, events, stop } = await startFeed(() => Promise.resolve({ kind: "readStore" }));
        const listHeld = (isEmpty: boolean): number[] =>
            events.flatMap(event =>
                event.kind === "publishedChanged" && (event.changes.weights.length === 0) === isEmpty
                    ? [event.heldMs ?? -1]
                    : []
            );
        await waitUntil(() => listHeld(true).some(heldMs => heldMs > 0));
        store.put("op/version/m", { model: "m", version: 2 });
        await waitUntil(() => listHeld(false).length > 0, 1500);
        await stop();
        expect(listHeld(true).filter(heldMs => heldMs > 0)[0]).toBe(700);
        expect(listHeld(false)).toEqual([0]);
    });

    it("reads a change from the store when the relay fails, and reports the failure", async () => {
        const { store, events, stop } = await startFeed(() => Promise.reject(new Error("connection refused")));
        await waitUntil(() => events.some(({ kind }) => kind === "relayFailed"));
        store.put("op/version/m", { model: "m", version: 2 });
        await waitUntil(() => listWeights(events).includes("2"), 1500);
        await stop();
    });

    it("decodes relayed changes, and never returns to an older revision of a reader that is behind", async () => {
        const asked: number[] = [];
        const value = Buffer.from(JSON.stringify({ model: "m", version: 3 })).toString("base64");
        const { events, stop } = await startFeed(async after => {
            asked.push(after.revision);
            await new Promise(resolve => setTimeout(resolve, 20));
            const isFirst = asked.length === 1;
            const item = { key: "op/version/m", value, createRevision: 40, revision: 40 };
            const changes = {
                items: isFirst ? [item] : [],
                position: buildPosition(isFirst ? 40 : 12, 1),
                confirmedAgeMs: 5,
                reachableMs: 9,
            };
            return { kind: "changes", changes };
        });
        await waitUntil(() => asked.length > 4);
        await stop();
        expect(listWeights(events)).toEqual(["3"]);
        expect(new Set(asked.slice(1))).toEqual(new Set([40]));
    });

    it("reads the store once when the reader says so, and asks the reader again after it", async () => {
        let count = 0;
        const { store, events, stop } = await startFeed(async () => {
            count += 1;
            await new Promise(resolve => setTimeout(resolve, 20));
            return { kind: "readStore" };
        });
        await vi.waitUntil(() => count > 0);
        store.put("op/version/m", { model: "m", version: 2 });
        await waitUntil(() => listWeights(events).includes("2"), 1500);
        await waitUntil(() => count > 1, 2000);
        expect(events.some(({ kind }) => kind === "relayFailed")).toBe(false);
        await stop();
    });
});

describe("a fleet of 12 processes over real connections", () => {
    // The bound is the time within which the platform's larger deployments want a configuration in force.
    const configurationBoundMs = 3000;

    it(
        "makes few calls to the store and has each configuration everywhere in time, also when a reader stops",
        async () => {
            const fleet = await startPlatformFleet({ nodes: 12 });
            const getWatchCount = (): number => fleet.store.calls.get("kv-watch") ?? 0;
            const countActive = (): number =>
                fleet.nodes.filter(({ logs }) => {
                    const last = logs.filter(line => line.includes("Configuration is active.")).at(-1) ?? "";
                    return last.includes(`"routes":${routeCount}`);
                }).length;
            let routeCount = 0;
            const writeRoutes = (count: number): void => {
                routeCount = count;
                fleet.writeConfiguration({
                    routes: Array.from({ length: count }, (_, index) => ({
                        "name": `r${index}`,
                        "host": "shop.example",
                        "prefix": `/r${index}/`,
                        "kind": "idempotent",
                        "timeout-ms": 3000,
                        "target-latency-ms": 500,
                        "priority": 1,
                        "service": "orders",
                        "max-attempts": 2,
                        "no-auth": false,
                        "resumable": false,
                    })),
                });
            };
            await waitUntil(
                () =>
                    fleet.nodes.filter(({ logs }) => logs.some(line => line.includes("source of the store's changes")))
                        .length
                        >= 10,
                8000,
            );
            await new Promise(resolve => setTimeout(resolve, 1500));
            const before = getWatchCount();
            await new Promise(resolve => setTimeout(resolve, 3000));
            // Two readers with a watch of at most a second each; 12 processes of their own would make 20 calls or more.
            expect(getWatchCount() - before).toBeLessThanOrEqual(10);
            writeRoutes(7);
            await waitUntil(() => countActive() === 12, configurationBoundMs);
            const reader = fleet.nodes.find(({ logs }) => !logs.some(line => line.includes("\"after\":\"front-")));
            reader?.node.stop();
            writeRoutes(8);
            await waitUntil(() => countActive() >= 11, configurationBoundMs);
            await fleet.close();
        },
        30_000,
    );
});
