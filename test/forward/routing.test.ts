import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import type { ResponseHeaderFields } from "../../src/forward/calls";
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
    latencyObjectiveMs: 100,
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
    hasTokenCounts: false,
    promptTokens: 0,
    maxOutputTokens: 0,
    callerTimeoutMs: 600,
};
const headerFields = {
    isSigned: true,
    isNotRun: false,
    isMisdirected: false,
    weightsVersion: undefined,
    requestsPerSecond: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
};

/** Builds the answer to the first attempt of the request. */
const buildAnswer = (id: string, status: number, changes: Partial<ResponseHeaderFields>): ForwardEvent => ({
    kind: "attemptAnswered",
    request: toRequestId(id),
    attempt: 1,
    status,
    headerFields: { ...headerFields, attemptId: id, ...changes },
    isOpenStream: false,
});

describe("attempts", () => {
    it("gives the second attempt its own timeout, not the remainder of the first one's", async () => {
        const node = await createReadyNode();
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        node.run([{ kind: "attemptWriteStarted", request, attempt: 1 }], 1);
        const retryEffects = node.run([buildAnswer("r1", 500, {})], 190);
        expect(listEffects(retryEffects, "sendRequest")).toHaveLength(1);
        node.run([{ kind: "attemptWriteStarted", request, attempt: 2 }], 1);
        expect(listEffects(node.runFor(100), "refuseRequest")).toHaveLength(0);
    });

    it("refuses with the verdict `may_have_run` once the request may have run", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        node.run([{ kind: "attemptWriteStarted", request, attempt: 1 }], 1);
        const effects = node.run(
            [{ kind: "attemptFailed", request, attempt: 1, fault: "closed", lastEventId: 0 }],
            1,
        );
        expect(listEffects(effects, "refuseRequest")[0]?.refusal).toMatchObject({
            code: "target_failed",
            verdict: "may_have_run",
        });
    });

    it("retries a non-repeatable request only when nothing was written to a socket", async () => {
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

    it("does not relay a target's 503, since callers take a 503 to mean that the request has not run", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const request = toRequestId("r1");
        const effects = node.run([{ kind: "attemptWriteStarted", request, attempt: 1 }, buildAnswer("r1", 503, {})], 1);
        expect(listEffects(effects, "relayAnswer")).toHaveLength(0);
        expect(listEffects(effects, "refuseRequest")[0]?.refusal.code).toBe("target_failed");
    });

    it("does not relay an answer with the id of another request", async () => {
        const route = { ...plainRoute, kind: "single" as const, maxTargets: 1 };
        const node = await createReadyNode({ document: buildDocument({ routes: [route] }), targets: plainTargets });
        sendArrival(node, "r1", plainRequest);
        const effects = node.run([buildAnswer("r1", 200, { attemptId: "other" })], 1);
        expect(listEffects(effects, "relayAnswer")).toHaveLength(0);
    });
});

describe("a plain service whose targets name a limit", () => {
    // Guards against limits that are kept for engines only, and against repeats that do not count.
    it("gets first sends and repeats only as far as the limit allows", async () => {
        const node = await createReadyNode({
            document: buildDocument({ routes: [plainRoute] }),
            targets: plainTargets.slice(0, 1),
        });
        let sendCount = 0;
        for (let request = 0; request < 40; request += 1) {
            const id = `r${request}`;
            const sent = listEffects(sendArrival(node, id, plainRequest), "sendRequest");
            sendCount += sent.length;
            if (sent.length > 0) {
                const writeStarted = { kind: "attemptWriteStarted" as const, request: toRequestId(id), attempt: 1 };
                const effects = node.run([writeStarted, buildAnswer(id, 500, { requestsPerSecond: 2 })], 1);
                sendCount += listEffects(effects, "sendRequest").length;
            }
            node.runFor(100);
        }
        expect(sendCount).toBeGreaterThanOrEqual(6);
        expect(sendCount).toBeLessThanOrEqual(2 * 4 + 2);
    });
});

describe("admission", () => {
    it("refuses with `configuration_missing`, not with 401 or 404, before it has a configuration", async () => {
        const node = await createForwardTestNode();
        node.run([]);
        expect(listEffects(sendArrival(node, "r1"), "refuseRequest")[0]?.refusal.code).toBe("configuration_missing");
    });

    it("ignores an older configuration", async () => {
        const node = await createReadyNode({ document: buildDocument({ version: 5 }) });
        node.run([node.buildChangeEvent({ document: buildDocument({ version: 3, routes: [] }) })]);
        expect(node.world.tables.configuration.version).toBe(5);
    });

    it("chooses the host's route with the longest matching prefix", async () => {
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

    it("refuses a request as not run when every engine's queue exceeds the latency objective", async () => {
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

    it("uses engines that may be loading weights when there is no other, as their orders may be outdated", async () => {
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

    it("stops sending to an engine whose weights have been outdated for too long", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(1) });
        node.run([node.buildChangeEvent({ weights: [{ model, version: toWeightsVersion(2) }] })]);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")).toHaveLength(1);
        node.runFor(9000, createGrantingStore(node.getNow));
        expect(listEffects(sendArrival(node, "r2"), "sendRequest")).toHaveLength(0);
    });

    it("uses a peer's higher age of a version, as that of this process is too low after a suspension", async () => {
        const node = await createReadyNode({
            document: buildDocument(),
            targets: [{ name: "e1", target: buildTarget("e1") }],
        });
        const version = toWeightsVersion(2);
        node.run([node.buildChangeEvent({ weights: [{ model, version }] })], 1000);
        const state = buildPeerState({ named: [[model, version, 9000]] });
        node.run([{ kind: "peerCallReceived", call: toCallId("c"), state }], 10);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")).toHaveLength(0);
    });

    it("takes into account a version that a peer reports and that was replaced before the start", async () => {
        const [version3, version4] = [toWeightsVersion(3), toWeightsVersion(4)];
        const node = await createReadyNode({
            document: buildDocument(),
            targets: [{ name: "e1", target: buildTarget("e1", { weights: new Map([[model, toWeightsVersion(2)]]) }) }],
            weights: [{ model, version: version4 }],
        });
        const state = buildPeerState({ named: [[model, version3, 9000], [model, version4, 1000]] });
        node.run([{ kind: "peerCallReceived", call: toCallId("c"), state }], 10);
        expect(listEffects(sendArrival(node, "r1"), "sendRequest")).toHaveLength(0);
        expect(getNewestWeights(node.world.tables.configuration, model)?.version).toBe(version4);
    });

    it("does not overload the first engines with new weights in a fleet that exchanges load rarely", async () => {
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
            // Each request is cancelled at once, so every choice is that of a process without requests in flight.
            const [call] = listEffects(sendArrival(node, `r${index}`), "sendRequest");
            counts.set(call?.call.instance ?? "", (counts.get(call?.call.instance ?? "") ?? 0) + 1);
            node.run([{ kind: "callerDisconnected", request: toRequestId(`r${index}`) }]);
        }
        // If the other nine engines were not used, these three would get thirty prompts each.
        expect(Math.max(...counts.values())).toBeLessThan(25);
        for (const name of names.slice(0, 3)) {
            expect(counts.get(name) ?? 0).toBeGreaterThan(10);
        }
    });

    it("expects newer weights that only a peer has reported once an engine rejects the older ones", async () => {
        const node = await createReadyNode({ document: buildDocument(), targets: buildEngines(1) });
        const state = buildPeerState({ named: [[model, toWeightsVersion(2), 100]] });
        node.run([{ kind: "peerCallReceived", call: toCallId("c"), state }], 10);
        sendArrival(node, "r1");
        const request = toRequestId("r1");
        const resendEffects = node.run([
            { kind: "attemptWriteStarted", request, attempt: 1 },
            buildAnswer("r1", 421, { isSigned: false, isMisdirected: true }),
        ], 1);
        expect(listEffects(resendEffects, "sendRequest")[0]?.call.engine?.version).toBe(2);
    });

    it("ends the back-off of an engine that registers new weights", async () => {
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
        const firstEffect = listEffects(sendArrival(node, "r1", { parts, promptTokens: 5500 }), "sendRequest")[0];
        const request = toRequestId("r1");
        node.run([{ kind: "attemptWriteStarted", request, attempt: 1 }, {
            kind: "attemptFirstEvent",
            request,
            attempt: 1,
        }], 200);
        const laterParts = [{ id: toPartId("catalogue"), tokens: 5000 }, { id: toPartId("own-2"), tokens: 500 }];
        const calls = Array.from(
            { length: 12 },
            (_, index) =>
                listEffects(
                    sendArrival(node, `again${index}`, { parts: laterParts, promptTokens: 5500 }),
                    "sendRequest",
                )[0]
                    ?.call,
        );
        const callToOtherEngine = calls.find(call => call && call.target !== firstEffect?.call.target);
        expect(callToOtherEngine?.engine?.fetchFrom).toBe("127.0.0.1:9");
    });

    it("includes the weights version and an isolated account in the cache salt", async () => {
        const document = buildDocument();
        const isolatedAccounts = new Map(
            [...document.accounts].map(([id, account]) => [id, { ...account, isIsolated: true }]),
        );
        const node = await createReadyNode({
            document: { ...document, accounts: isolatedAccounts },
            targets: buildEngines(1),
        });
        const salt = listEffects(sendArrival(node, "r1"), "sendRequest")[0]?.call.engine?.salt;
        expect(salt).toBe("model-a.1.bI0e72MwID5PUTsZt8Jaaw");
    });
});

describe("targets during a store outage", () => {
    /** Lets a call fail in an outage that is long enough for rows to lapse. */
    function runOutage(node: ForwardTestNode, outageMs = 4000): void {
        node.runFor(outageMs, createGrantingStore(node.getNow));
        node.run([{
            kind: "storeUnreachable",
            call: "watch",
            message: "closed",
            receivedBytes: 0,
            sentAt: toMillis(node.getNow()),
        }], 100);
    }

    it("keeps a target whose row expired until the store has been reachable for some time", async () => {
        const node = await createReadyNode();
        runOutage(node);
        node.run([node.buildChangeEvent({ targets: [{ name: "s1", target: undefined }] })], 100);
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeDefined();
        node.runFor(2500, createGrantingStore(node.getNow));
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeUndefined();
    });

    it("keeps a target when its row reappears", async () => {
        const node = await createReadyNode();
        runOutage(node);
        node.run([node.buildChangeEvent({ targets: [{ name: "s1", target: undefined }] })], 100);
        node.run([node.buildChangeEvent({ targets: plainTargets })], 500);
        node.runFor(2500, createGrantingStore(node.getNow));
        expect(node.world.tables.targets.get(toTargetId("s1@1"))).toBeDefined();
    });

    it("removes a target at once while the store is reachable without interruption", async () => {
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
    const addressRequest = {
        kind: "addressesRequested",
        call: toCallId("c"),
        dataCentre: toDataCentreId("dc-0"),
    } as const;

    it("leave out a member that does not answer exchanges, before its lease expires", async () => {
        const node = await createReadyNode({ document: buildDocument(), rows });
        node.runFor(2000, effect =>
            effect.kind === "callPeer" && effect.vm === "front-2"
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

    it("include all members when no peer answers, as the fault may be in this process", async () => {
        const node = await createReadyNode({ document: buildDocument(), rows });
        node.runFor(2000, createGrantingStore(node.getNow));
        const [answer] = listEffects(node.run([addressRequest]), "answerAddresses");
        expect(answer?.addresses).toEqual(expect.arrayContaining(["front-2:1", "front-3:1"]));
    });
});
