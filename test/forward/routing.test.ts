import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import type { AnswerFacts } from "../../src/forward/calls";
import { encodeMember, encodeOrder, memberPrefix, orderPrefix } from "../../src/forward/codec/fleetRows";
import type { ForwardEvent } from "../../src/forward/events";
import { toPartId, toWeightsVersion } from "../../src/forward/ids";
import { getNewestWeights } from "../../src/forward/tables/configuration";
import { toCallId, toDataCentreId, toMillis, toRequestId, toTargetId, toVmId } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildMember,
    buildMemberRows,
    buildPeerState,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listEffects,
    listNodeNames,
    model,
    plainService,
} from "../support/forwardNode";

const plainRoute = buildRoute({
    kind: "repeatable",
    objectiveMs: 100,
    timeoutMs: 600,
    services: [{ service: plainService, weight: 1 }],
});
const plainTargets = ["s1", "s2"].map(name => ({ name, target: buildTarget(name, { service: plainService }) }));

async function createReadyNode(
    changes: Parameters<ForwardTestNode["buildReadEvent"]>[0] = {
        document: buildDocument({ routes: [plainRoute] }),
        targets: plainTargets,
    },
): Promise<ForwardTestNode> {
    const node = await createForwardTestNode();
    node.run([]);
    node.runFor(20, createGrantingStore(node.getNow), [node.buildReadEvent(changes)]);
    return node;
}

function sendArrival(node: ForwardTestNode, id: string, options: Parameters<typeof buildArrival>[1] = {}) {
    const arrival = buildArrival(id, { arrivedAt: toMillis(node.getNow()), ...options });
    return node.run([{ kind: "requestArrived", arrival }]);
}

const plainRequest = {
    parts: [],
    model: undefined,
    hasTokens: false,
    promptTokens: 0,
    maxOutputTokens: 0,
    waitMs: 600,
};
const facts = { isSigned: true, isNotRun: false, isMisdirected: false, weights: undefined };

/** The answer to the first attempt of the request. */
const buildAnswer = (id: string, status: number, changes: Partial<AnswerFacts>): ForwardEvent => ({
    kind: "attemptAnswered",
    request: toRequestId(id),
    attempt: 1,
    status,
    facts: { ...facts, attemptId: id, ...changes },
    isOpenStream: false,
});

describe("attempts", () => {
    it("gives the second attempt its own time, not the rest of the first one's", async () => {
        const node = await createReadyNode();
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        node.run([{ kind: "attemptBytesHanded", request, attempt: 1 }], 1);
        const second = node.run([buildAnswer("r1", 500, {})], 190);
        expect(listEffects(second, "sendRequest")).toHaveLength(1);
        node.run([{ kind: "attemptBytesHanded", request, attempt: 2 }], 1);
        expect(listEffects(node.runFor(100), "refuseRequest")).toHaveLength(0);
    });

    it("refuses with a code that promises nothing once the request may have run", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        node.run([{ kind: "attemptBytesHanded", request, attempt: 1 }], 1);
        const effects = node.run(
            [{ kind: "attemptFailed", request, attempt: 1, fault: "closed", lastEventId: 0 }],
            1,
        );
        expect(listEffects(effects, "refuseRequest")[0]?.refusal).toMatchObject({
            code: "target_failed",
            verdict: "may_have_run",
        });
    });

    it("sends a single request again only when nothing was handed to a socket", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        const effects = node.run(
            [{ kind: "attemptFailed", request, attempt: 1, fault: "connect", lastEventId: 0 }],
            1,
        );
        expect(listEffects(effects, "sendRequest")).toHaveLength(1);
    });

    it("does not pass a target's 503 on, since it would promise that the request has not run", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        const effects = node.run([{ kind: "attemptBytesHanded", request, attempt: 1 }, buildAnswer("r1", 503, {})], 1);
        expect(listEffects(effects, "relayAnswer")).toHaveLength(0);
        expect(listEffects(effects, "refuseRequest")[0]?.refusal.code).toBe("target_failed");
    });

    it("relays no answer of another request", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const effects = node.run([buildAnswer("r1", 200, { attemptId: "other" })], 1);
        expect(listEffects(effects, "relayAnswer")).toHaveLength(0);
    });
});

describe("admission", () => {
    it("answers 503 and never 401 or 404 without a configuration", async () => {
        const node = await createForwardTestNode();
        node.run([]);
        expect(listEffects(sendArrival(node, "r1"), "refuseRequest")[0]?.refusal.code).toBe("configuration_missing");
    });

    it("never goes back to an older configuration", async () => {
        const node = await createReadyNode({ document: buildDocument({ version: 5 }) });
        node.run([node.buildChangeEvent({ document: buildDocument({ version: 3, routes: [] }) })]);
        expect(node.world.tables.configuration.version).toBe(5);
    });

    it("chooses the route with the longest prefix of the host", async () => {
        const routes = [buildRoute(), buildRoute({ id: "longer" as never, prefix: "/a/b/" })];
        const node = await createReadyNode({ document: buildDocument({ routes }) });
        const { findRoute } = node.world.tables.configuration;
        expect(findRoute("shop.example", "/a/b/c")?.id).toBe("longer");
        expect(findRoute("shop.example", "/a/c")?.id).toBe("route");
        expect(findRoute("other.example", "/a/c")).toBeUndefined();
    });
});

describe("engines", () => {
    const buildEngines = (count: number, version = 1) =>
        Array.from({ length: count }, (_, index) => ({
            name: `e${index}`,
            target: buildTarget(`e${index}`, { weights: new Map([[model, toWeightsVersion(version)]]) }),
        }));

    it("refuses before sending when every engine's queue is longer than the objective", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(1) });
        const refusals = Array.from(
            { length: 60 },
            (_, index) =>
                listEffects(sendArrival(node, `r${index}`, { promptTokens: 5000 }), "refuseRequest")[0]?.refusal,
        );
        const refused = refusals.filter(refusal => refusal !== undefined);
        expect(refused.length).toBeGreaterThan(0);
        expect(refused.every(({ code, verdict }) => code === "overloaded" && verdict === "not_run")).toBe(true);
        expect(refused[0]?.retryAfterSeconds).toBeGreaterThan(0);
    });

    it("asks engines that are expected to load when there is no other, as the orders may be old news", async () => {
        const node = await createReadyNode({
            document: buildDocument(),
            targets: [{ name: "e1", target: buildTarget("e1") }],
        });
        const id = buildTarget("e1").id;
        const order = { vm: toVmId("other"), target: id, model, version: toWeightsVersion(2) };
        node.run([node.buildChangeEvent({
            rows: [{ key: `${orderPrefix}e1`, value: encodeOrder(order), createRevision: 1 }],
            weights: [{ model, version: toWeightsVersion(2) }],
        })]);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")[0]?.call.target).toBe(id);
    });

    it("sends nothing to an engine whose weights are too old", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(1) });
        node.run([node.buildChangeEvent({ weights: [{ model, version: toWeightsVersion(2) }] })]);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")).toHaveLength(1);
        node.runFor(9000, createGrantingStore(node.getNow));
        expect(listEffects(sendArrival(node, "r2"), "sendRequest")).toHaveLength(0);
    });

    it("sends nothing to an engine whose weights are too old by what a peer told, as after a suspension", async () => {
        const node = await createReadyNode({
            document: buildDocument(),
            targets: [{ name: "e1", target: buildTarget("e1") }],
        });
        const version = toWeightsVersion(2);
        node.run([node.buildChangeEvent({ weights: [{ model, version }] })], 1000);
        const state = buildPeerState({ named: [[model, version, 9000]] });
        node.run([{ kind: "peerAsked", call: toCallId("c"), state }], 10);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")).toHaveLength(0);
    });

    it("learns from peers of versions that were named and replaced before it started", async () => {
        const [version3, version4] = [toWeightsVersion(3), toWeightsVersion(4)];
        const node = await createReadyNode({
            document: buildDocument(),
            targets: [{ name: "e1", target: buildTarget("e1", { weights: new Map([[model, toWeightsVersion(2)]]) }) }],
            weights: [{ model, version: version4 }],
        });
        const state = buildPeerState({ named: [[model, version3, 9000], [model, version4, 1000]] });
        node.run([{ kind: "peerAsked", call: toCallId("c"), state }], 10);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")).toHaveLength(0);
        expect(getNewestWeights(node.world.tables.configuration, model)?.version).toBe(version4);
    });

    it("sends the first engines with new weights no more than they can serve, in a fleet that is slow to tell", async () => {
        const newest = toWeightsVersion(2);
        const names = Array.from({ length: 12 }, (_, index) => `e${index}`);
        const targets = names.map((name, index) => ({
            name,
            target: buildTarget(name, { weights: new Map([[model, index < 3 ? newest : toWeightsVersion(1)]]) }),
        }));
        const rows = buildMemberRows(listNodeNames(34));
        const node = await createReadyNode({ document: buildDocument(), targets, rows });
        node.run([node.buildChangeEvent({ weights: [{ model, version: newest }] })]);
        node.runFor(1500, createGrantingStore(node.getNow));
        const counts = new Map<string, number>();
        for (let index = 0; index < 90; index += 1) {
            // As every process of a large fleet sees it that has sent nothing there yet.
            const [call] = listEffects(sendArrival(node, `r${index}`), "sendRequest");
            counts.set(call?.call.instance ?? "", (counts.get(call?.call.instance ?? "") ?? 0) + 1);
            node.run([{ kind: "callerGone", request: toRequestId(`r${index}`) }]);
        }
        // Three engines of twelve would be sent thirty prompts each if nobody used the others.
        expect(Math.max(...counts.values())).toBeLessThan(25);
        for (const name of names.slice(0, 3)) {
            expect(counts.get(name) ?? 0).toBeGreaterThan(10);
        }
    });

    it("expects the weights that only a peer saw being named once an engine rejects the older ones", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(1) });
        const state = buildPeerState({ named: [[model, toWeightsVersion(2), 100]] });
        node.run([{ kind: "peerAsked", call: toCallId("c"), state }], 10);
        sendArrival(node, "r1");
        const request = toRequestId("r1");
        const again = node.run([
            { kind: "attemptBytesHanded", request, attempt: 1 },
            buildAnswer("r1", 421, { isSigned: false, isMisdirected: true }),
        ], 1);
        expect(listEffects(again, "sendRequest")[0]?.call.engine?.version).toBe(2);
    });

    it("tries an engine at once that was backed off and registers new weights", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(1) });
        sendArrival(node, "r1");
        const request = toRequestId("r1");
        const failed = node.run([{
            kind: "attemptFailed",
            request,
            attempt: 1,
            fault: "connect",
            lastEventId: 0,
        }], 1);
        expect(listEffects(failed, "sendRequest")).toHaveLength(0);
        const weights = [{ model, version: toWeightsVersion(2) }];
        const registered = node.run([node.buildChangeEvent({ targets: buildEngines(1, 2), weights })], 1);
        expect(listEffects(registered, "sendRequest")).toHaveLength(1);
    });

    it("fetches shared parts from the engine that holds them", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(2) });
        const parts = [{ id: toPartId("catalogue"), tokens: 5000 }, { id: toPartId("own"), tokens: 500 }];
        const first = listEffects(sendArrival(node, "r1", { parts, promptTokens: 5500 }), "sendRequest")[0];
        const request = toRequestId("r1");
        node.run([{ kind: "attemptBytesHanded", request, attempt: 1 }, {
            kind: "attemptFirstEvent",
            request,
            attempt: 1,
        }], 200);
        const again = [{ id: toPartId("catalogue"), tokens: 5000 }, { id: toPartId("own-2"), tokens: 500 }];
        const calls = Array.from(
            { length: 12 },
            (_, index) =>
                listEffects(sendArrival(node, `again${index}`, { parts: again, promptTokens: 5500 }), "sendRequest")[0]
                    ?.call,
        );
        const callToOtherEngine = calls.find(call => call && call.target !== first?.call.target);
        expect(callToOtherEngine?.engine?.fetchFrom).toBe("127.0.0.1:9");
    });

    it("keeps accounts that are isolated and versions apart by the salt", async () => {
        const document = buildDocument();
        const isolated = new Map([...document.accounts].map(([id, entry]) => [id, { ...entry, isIsolated: true }]));
        const node = await createReadyNode({ document: { ...document, accounts: isolated }, targets: buildEngines(1) });
        const salt = listEffects(sendArrival(node, "r1"), "sendRequest")[0]?.call.engine?.salt;
        expect(salt).toBe("model-a.1.shop");
    });
});

describe("targets in an outage of the store", () => {
    it("keeps a target whose row lapsed until the store has been back for a while", async () => {
        const node = await createReadyNode();
        node.run([{ kind: "storeSilent", message: "closed" }], 100);
        node.run([node.buildChangeEvent({ targets: [{ name: "s1", target: undefined }] })], 100);
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeDefined();
        node.runFor(2500, createGrantingStore(node.getNow));
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeUndefined();
    });

    it("keeps a target for good when its row comes back", async () => {
        const node = await createReadyNode();
        node.run([{ kind: "storeSilent", message: "closed" }], 100);
        node.run([node.buildChangeEvent({ targets: [{ name: "s1", target: undefined }] })], 100);
        node.run([node.buildChangeEvent({ targets: plainTargets })], 500);
        node.runFor(2500, createGrantingStore(node.getNow));
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeDefined();
    });

    it("drops a target at once while the store is steady", async () => {
        const node = await createReadyNode();
        node.runFor(3000, createGrantingStore(node.getNow));
        node.run([node.buildChangeEvent({ targets: [{ name: "s1", target: undefined }] })]);
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeUndefined();
    });
});

describe("addresses for callers", () => {
    const rows = ["front-1", "front-2", "front-3"].map(name => ({
        key: `${memberPrefix}${name}`,
        value: encodeMember(buildMember(name)),
        createRevision: 1,
    }));
    const addressRequest = { kind: "addressesAsked", call: toCallId("c"), dataCentre: toDataCentreId("dc-0") } as const;

    it("leave out a member that no exchange reaches, before its lease ends", async () => {
        const node = await createReadyNode({ document: buildDocument(), rows });
        node.runFor(2000, effect =>
            effect.kind === "askPeer" && effect.vm === "front-2"
                ? [{
                    kind: "peerReplied",
                    vm: effect.vm,
                    result: Ok({ ...effect.state, vm: effect.vm, startedAt: 1 }),
                }]
                : createGrantingStore(node.getNow)(effect));
        const [answer] = listEffects(node.run([addressRequest]), "answerAddresses");
        expect(answer?.addresses).toContain("front-2:1");
        expect(answer?.addresses).not.toContain("front-3:1");
    });

    it("name all members when no peer is heard, as the fault may be this process's own", async () => {
        const node = await createReadyNode({ document: buildDocument(), rows });
        node.runFor(2000, createGrantingStore(node.getNow));
        const [answer] = listEffects(node.run([addressRequest]), "answerAddresses");
        expect(answer?.addresses).toEqual(expect.arrayContaining(["front-2:1", "front-3:1"]));
    });
});
