/** What processes do when the store comes back from an older copy, in which revisions are given out again. */
import { Ok } from "ts-results";
import { describe, expect, it, vi } from "vitest";
import { createStoreFeed } from "../../platform/storeFeed";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import { encodeQuarantine, quarantinePrefix } from "../../src/forward/codec/fleetRows";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toPartId, toStoreEra, toWeightsVersion } from "../../src/forward/ids";
import { computeWatchTiming } from "../../src/forward/policy/watchTiming";
import { isWorking } from "../../src/forward/tables/targets";
import { toCallId, toDataCentreId, toMillis } from "../../src/ids";
import { startPlatformStore } from "../../standins/platformStore";
import {
    buildDocument,
    buildMemberRows,
    buildPosition,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listEffects,
    model,
} from "../support/forwardNode";

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

const targets = ["e1", "e2"].map(name => ({ name, target: buildTarget(name) }));
const vms = ["front-1", "front-2", "front-3"];

/** Starts `front-1` of a fleet of three, which has read the store in its first era. */
async function startNode(): Promise<ForwardTestNode> {
    const node = await createForwardTestNode("front-1");
    node.run([]);
    const event = node.buildReadEvent({
        document: buildDocument({ version: 5 }),
        targets,
        rows: buildMemberRows(vms),
        position: buildPosition(40),
    });
    node.runFor(20, createGrantingStore(node.getNow), [event]);
    return node;
}

/** Full read of the store in its second era, without member rows and without the second target unless given. */
const buildRestoredRead = (
    node: ForwardTestNode,
    changes: Parameters<ForwardTestNode["buildReadEvent"]>[0] = {},
): ForwardEvent =>
    node.buildReadEvent({
        document: buildDocument({ version: 3 }),
        targets: targets.slice(0, 1),
        position: buildPosition(30, 2),
        ...changes,
    });

function listAddresses(node: ForwardTestNode): readonly string[] {
    const event = { kind: "addressesRequested", call: toCallId("c"), dataCentre: toDataCentreId("dc-0") } as const;
    return listEffects(node.run([event]), "answerAddresses")[0]?.addresses ?? [];
}

const listTargetNames = (node: ForwardTestNode): readonly string[] =>
    node.world.tables.targets.list().filter(row => isWorking(row, toMillis(node.getNow())))
        .map(({ registration }) => registration.instance);

describe("a process whose store was restored", () => {
    it("keeps the configuration in force, and takes the next one although its revision is lower", async () => {
        const node = await startNode();
        node.run([buildRestoredRead(node)], 100);
        expect(node.world.tables.configuration.version).toBe(5);
        const document = buildDocument({ version: 6 });
        node.run([node.buildChangeEvent({ document, position: buildPosition(31, 2) })], 100);
        expect(node.world.tables.configuration.version).toBe(6);
    });

    // Guards against a directory that sends all callers to one process, and against engines that are all gone at once.
    it("keeps members and targets that the copy lacks until they have had time to register again", async () => {
        const node = await startNode();
        node.run([buildRestoredRead(node)], 100);
        expect(listTargetNames(node)).toEqual(["e1", "e2"]);
        expect(listAddresses(node)).toEqual(expect.arrayContaining(["front-2:1", "front-3:1"]));
        const member = buildMemberRows(["front-2"]);
        node.run([node.buildChangeEvent({ rows: member, position: buildPosition(31, 2) })], 500);
        node.run([], 1600);
        expect(node.world.tables.members.listVms()).toEqual(["front-2"]);
        expect(listTargetNames(node)).toEqual(["e1"]);
    });

    // Guards against DRAIN: a target that had left stood in the copy again and got requests.
    it("does not use a target that left unless it registers again in the new era", async () => {
        const node = await startNode();
        node.run([node.buildChangeEvent({ targets: [{ name: "e2", target: undefined }] })], 3000);
        node.run([buildRestoredRead(node, { targets })], 500);
        expect(listTargetNames(node)).toEqual(["e1"]);
        node.run([node.buildChangeEvent({ targets: targets.slice(1), position: buildPosition(31, 2) })], 500);
        expect(listTargetNames(node)).toEqual(["e1", "e2"]);
    });
});

describe("rows that a process wrote and a restored store lacks", () => {
    const listWrites = (effects: readonly ForwardEffect[]): readonly string[] =>
        listEffects(effects, "callStore").flatMap(({ call }) =>
            call.kind === "transaction"
                ? call.success.flatMap(({ kind, ...rest }) => "key" in rest ? [rest.key] : [])
                : []
        );

    // Guards against a process whose lease is in the copy and whose row is not: it renewed on and stayed unlisted.
    it("are written again once: the member row, under a new lease", async () => {
        const node = await startNode();
        const grant = createGrantingStore(node.getNow);
        const effects = node.runFor(3000, grant, [buildRestoredRead(node)]);
        expect(listEffects(effects, "callStore").filter(({ call }) => call.kind === "grantLease")).toHaveLength(1);
        expect(listWrites(effects).filter(key => key === "marjoramvane/members/front-1")).toHaveLength(1);
    });

    // Guards against engines that crash again under a part which the fleet had in quarantine.
    it("are written again, and obeyed meanwhile: quarantined parts", async () => {
        const node = await startNode();
        const value = encodeQuarantine({ part: toPartId("p"), endsAt: node.getWallNow() + 60_000, offences: 1 });
        const row = { key: `${quarantinePrefix}p`, value, createRevision: 41 };
        node.run([node.buildChangeEvent({ rows: [row], position: buildPosition(41) })]);
        const effects = node.runFor(2000, createGrantingStore(node.getNow), [buildRestoredRead(node)]);
        expect(node.world.tables.quarantine.get(toPartId("p"))).toBeDefined();
        expect(listWrites(effects).filter(key => key === row.key)).toHaveLength(1);
    });
});

describe("the rollout leader of a fleet whose store was restored", () => {
    /** Weights that an engine does not have, and the engine's report when it is asked for one. */
    const weights = [{ model, version: toWeightsVersion(2) }];
    const answerReport = (effect: ForwardEffect): readonly ForwardEvent[] =>
        effect.kind === "readEngine"
            ? [{
                kind: "engineReported",
                target: effect.target,
                report: Ok({ weights: new Map([[model, toWeightsVersion(1)]]), isBusy: false, acceptedOrderCount: 0 }),
            }]
            : [];

    // Guards against ONE: the old leader and a new one ordered at once, and the new one under a lower fencing token,
    // since revisions had gone back.
    it("orders nothing for the guard time, and then under a higher fencing token", async () => {
        const node = await startNode();
        const grant = createGrantingStore(node.getNow);
        const answer = (effect: ForwardEffect): readonly ForwardEvent[] => [...grant(effect), ...answerReport(effect)];
        const first = node.runFor(5000, answer, [node.buildChangeEvent({ weights })]);
        const tokenBefore = listEffects(first, "orderWeights").at(-1)?.order.fencingToken ?? Infinity;
        const lowRevisions = createGrantingStore(node.getNow, 10);
        const answerAgain = (effect: ForwardEffect): readonly ForwardEvent[] => [
            ...lowRevisions(effect),
            ...answerReport(effect),
        ];
        const restored = buildRestoredRead(node, { weights, targets });
        expect(listEffects(node.runFor(3200, answerAgain, [restored]), "orderWeights")).toEqual([]);
        const orders = listEffects(node.runFor(4000, answerAgain), "orderWeights");
        expect(orders.length).toBeGreaterThan(0);
        expect(Math.min(...orders.map(({ order }) => order.fencingToken))).toBeGreaterThan(tokenBefore);
    });
});

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
