import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { toCachedPartKey, toCacheSalt, toPartId } from "../../src/forward/ids";
import { createPartJournal } from "../../src/forward/tables/partJournal";
import { toCallId, toTargetId } from "../../src/ids";
import {
    buildDocument,
    buildMemberRows,
    buildPeerState,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
    listNodeNames,
} from "../support/forwardNode";

const names = listNodeNames(20);
const engines = Array.from({ length: 30 }, (_, index) => `e${index}`);
const part = toCachedPartKey(toCacheSalt("s"), toPartId("a"));
const otherPart = toCachedPartKey(toCacheSalt("s"), toPartId("b"));

async function startNodes(
    maxFollowers = 12,
): Promise<{ readonly node: ForwardTestNode; readonly followed: ReadonlySet<string>; }[]> {
    const rows = buildMemberRows(names);
    const services = new Map([...buildDocument().services].map(([id, service]) => [
        id,
        service.engine ? { ...service, engine: { ...service.engine, maxFollowers } } : service,
    ]));
    return Promise.all(names.map(async name => {
        const node = await createForwardTestNode(name);
        node.run([]);
        const targets = engines.map(engine => ({ name: engine, target: buildTarget(engine) }));
        const effects = node.runFor(1500, () => [], [
            node.buildReadEvent({ document: { ...buildDocument(), services }, targets, rows }),
        ]);
        return { node, followed: new Set<string>(listEffects(effects, "followParts").map(({ target }) => target)) };
    }));
}

const buildReport = (epoch: number, changes: { readonly part: typeof part; readonly tokens: number; }[]) =>
    Ok({ epoch, nextEventNumber: 1, hasGap: false, changes }).val;

describe("cache event subscriptions in a fleet with more processes than an engine accepts followers", () => {
    it("give each engine two followers", async () => {
        const nodes = await startNodes();
        for (const engine of engines) {
            const count = nodes.filter(({ followed }) => followed.has(`${engine}@1`)).length;
            expect(count).toBe(2);
        }
    });

    // Guards against followers beyond the limit of an engine that accepts fewer than are kept free for restarts.
    it("give an engine that accepts three followers one", async () => {
        const nodes = await startNodes(3);
        for (const engine of engines) {
            expect(nodes.filter(({ followed }) => followed.has(`${engine}@1`)).length).toBe(1);
        }
    });

    // Guards against processor time per poll that grows with the number of targets times the number of processes.
    it("are assigned again only when a member, a target or the configuration changes", async () => {
        const [first] = await startNodes();
        if (!first) {
            throw new Error("No node was started.");
        }
        const { node } = first;
        let hashCount = 0;
        const { hasher } = node.world;
        Object.assign(node.world, {
            hasher: {
                ...hasher,
                hashText: (text: string, seed: bigint) => {
                    hashCount += 1;
                    return hasher.hashText(text, seed);
                },
            },
        });
        node.runFor(5000);
        expect(hashCount).toBe(0);
        node.run([node.buildChangeEvent({ rows: buildMemberRows(["front-200"]) })]);
        node.runFor(1100);
        expect(hashCount).toBeGreaterThan(engines.length * names.length);
    });

    it("pass cached parts on to processes that do not follow the engine, also after the engine restarts", async () => {
        const nodes = await startNodes();
        const target = toTargetId("e0@1");
        const follower = nodes.find(({ followed }) => followed.has(target))?.node;
        const peer = nodes.find(({ followed }) => !followed.has(target))?.node;
        if (!follower || !peer) {
            throw new Error("The fleet needs a process that follows the engine and one that does not.");
        }
        const runExchange = (): void => {
            const followerEffects = follower.run([{
                kind: "peerCallReceived",
                call: toCallId("c"),
                state:
                    listEffects(peer.run([{ kind: "peerCallReceived", call: toCallId("d"), state }]), "answerPeer")[0]
                        ?.state ?? state,
            }]);
            const followerState = listEffects(followerEffects, "answerPeer")[0]?.state;
            peer.run(followerState ? [{ kind: "peerReplied", vm: followerState.vm, result: Ok(followerState) }] : []);
        };
        const state = buildPeerState({ vm: follower.world.settings.vm, startedAt: 0 });
        follower.run([{ kind: "partsReported", target, report: buildReport(1, [{ part, tokens: 800 }]) }]);
        runExchange();
        expect(peer.world.tables.cachedParts.getTokens(target, part)).toBe(800);
        follower.run([{ kind: "partsReported", target, report: buildReport(2, [{ part: otherPart, tokens: 100 }]) }]);
        runExchange();
        expect(peer.world.tables.cachedParts.getTokens(target, part)).toBe(0);
        expect(peer.world.tables.cachedParts.getTokens(target, otherPart)).toBe(100);
    });

    it("discard parts that a peer reports for a removed target, since they would never be deleted", async () => {
        const [startedNode] = await startNodes();
        const removedTarget = toTargetId("gone@1");
        const state = buildPeerState({ partsTold: 1, parts: [[removedTarget, [[part, 800]]]] });
        startedNode?.node.run([{ kind: "peerCallReceived", call: toCallId("c"), state }]);
        expect(startedNode?.node.world.tables.cachedParts.getTokens(removedTarget, part)).toBe(0);
        expect(startedNode?.node.world.tables.cachedParts.peerReportedAt.has(removedTarget)).toBe(false);
    });
});

describe("journal of cached parts", () => {
    it("lists only the latest change of each part after the given sequence number", () => {
        const journal = createPartJournal();
        const target = toTargetId("e0@1");
        journal.add({ target, part, tokens: 5 });
        journal.add({ target, part: otherPart, tokens: 7 });
        const sequenceNumber = journal.newestNumber;
        journal.add({ target, part, tokens: 0 });
        expect(journal.listAfter(0).map(change => [change.part, change.tokens])).toEqual([[otherPart, 7], [part, 0]]);
        expect(journal.listAfter(sequenceNumber).map(change => change.tokens)).toEqual([0]);
        expect(journal.listAfter(journal.newestNumber)).toEqual([]);
    });

    it("keeps a bounded number of changes", () => {
        const journal = createPartJournal();
        const target = toTargetId("e0@1");
        for (let index = 0; index < 20_000; index += 1) {
            journal.add({ target, part: toCachedPartKey(toCacheSalt("s"), toPartId(`${index}`)), tokens: 1 });
        }
        expect(journal.listAfter(0).length).toBeLessThanOrEqual(8192);
    });
});
