/** What a process sends to targets that leave or want no requests, by the evidence that it has. */
import { describe, expect, it } from "vitest";
import type { ResponseHeaderFields } from "../../src/forward/calls";
import type { ForwardEvent, ForwardEventOf } from "../../src/forward/events";
import type { PeerState } from "../../src/forward/peers";
import { toCallId, toMillis, toRequestId, toTargetId } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildPeerState,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listEffects,
    plainService,
} from "../support/forwardNode";

const route = buildRoute({ kind: "repeatable", services: [{ service: plainService, weight: 1 }] });
const targets = ["s1", "s2"].map(name => ({ name, target: buildTarget(name, { service: plainService }) }));
const removal = { targets: [{ name: "s1", target: undefined }] };

/** Starts a process that has just read the store for the first time; it knows the targets `s1` and `s2`. */
async function startNode(): Promise<ForwardTestNode> {
    const node = await createForwardTestNode();
    node.run([]);
    const event = node.buildReadEvent({ document: buildDocument({ routes: [route] }), targets });
    node.runFor(20, createGrantingStore(node.getNow), [event]);
    return node;
}

const answerFields = {
    isSigned: true,
    isNotRun: false,
    isMisdirected: false,
    weightsVersion: undefined,
    requestsPerSecond: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
};

/** Answer of a target to the first attempt of a request. */
const buildAnswer = (id: string, changes: Partial<ResponseHeaderFields> = {}, status = 200): ForwardEvent => ({
    kind: "attemptAnswered",
    request: toRequestId(id),
    attempt: 1,
    status,
    headerFields: { ...answerFields, attemptId: id, ...changes },
    isOpenStream: false,
});

/** Lets a read or watch call fail that was sent `callMs` before. */
function runFailedCall(node: ForwardTestNode, afterMs: number, callMs = 0): void {
    const sentAt = toMillis(node.getNow() + afterMs - callMs);
    node.run([{ kind: "storeUnreachable", call: "watch", message: "timed out", receivedBytes: 0, sentAt }], afterMs);
}

/** State that the process reports to its peers. */
function buildReport(node: ForwardTestNode): PeerState | undefined {
    const call = { kind: "peerCallReceived", call: toCallId("c"), state: buildPeerState() } as const;
    return listEffects(node.run([call]), "answerPeer")[0]?.state;
}

/** Delivers the state of a peer. */
const applyReport = (node: ForwardTestNode, departures: NonNullable<PeerState["departures"]>): void => {
    node.run([{ kind: "peerCallReceived", call: toCallId("c"), state: buildPeerState({ departures }) }]);
};

/** Sends requests until one reaches `s1`, which answers it with the given fields. */
function answerFromFirst(node: ForwardTestNode, changes: Partial<ResponseHeaderFields>, status = 200): void {
    for (;;) {
        const sent = listEffects(node.run([buildRequest(node)]), "sendRequest");
        const isFirst = sent[0]?.call.instance === "s1";
        node.run(sent.map(({ request }) => isFirst ? buildAnswer(request, changes, status) : buildAnswer(request)));
        if (isFirst) {
            return;
        }
    }
}

let requestCount = 0;

function buildRequest(node: ForwardTestNode): ForwardEventOf<"requestArrived"> {
    requestCount += 1;
    return {
        kind: "requestArrived",
        arrival: buildArrival(`r${requestCount}`, {
            parts: [],
            model: undefined,
            hasTokenCounts: false,
            promptTokens: 0,
            maxOutputTokens: 0,
            arrivedAt: toMillis(node.getNow()),
        }),
    };
}

/** Sends enough requests that each usable target gets some, answers them, and lists the targets that got one. */
function listUsedTargets(node: ForwardTestNode): readonly string[] {
    const sent = listEffects(node.run(Array.from({ length: 12 }, () => buildRequest(node))), "sendRequest");
    node.run(sent.map(({ request }) => buildAnswer(request)));
    return [...new Set(sent.map(({ call }) => call.instance))].sort();
}

describe("a target whose row is deleted", () => {
    // Guards against DRAIN: a process took its own start for the end of a store outage and kept using the target.
    it("gets no request from a process that has started a short time before", async () => {
        const node = await startNode();
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
        node.run([node.buildChangeEvent({})], 1700);
        node.run([node.buildChangeEvent(removal)], 60);
        expect(listUsedTargets(node)).toEqual(["s2"]);
    });

    // Guards against DRAIN: after one failed call, which no row can have lapsed in, the target was used for 2.3 s more.
    it("gets no request after an interruption in which its row cannot have lapsed", async () => {
        const node = await startNode();
        node.run([node.buildChangeEvent({})], 3000);
        runFailedCall(node, 900);
        node.run([node.buildChangeEvent(removal)], 300);
        expect(listUsedTargets(node)).toEqual(["s2"]);
    });

    it("is kept after an outage until rows have returned, counted from the end of the outage", async () => {
        const node = await startNode();
        runFailedCall(node, 4000);
        node.run([node.buildChangeEvent({})], 300);
        node.run([node.buildChangeEvent(removal)], 1400);
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
        node.run([], 650);
        expect(listUsedTargets(node)).toEqual(["s2"]);
    });

    // Guards against DRAIN: the store had been back for a while when the process got its first answer.
    it("is kept no longer than until the bound holds again after the last failed call", async () => {
        const node = await startNode();
        runFailedCall(node, 4000, 1900);
        node.run([node.buildChangeEvent(removal)], 100);
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
        node.run([], 750);
        expect(listUsedTargets(node)).toEqual(["s2"]);
    });
});

describe("a target that says in an answer that it leaves", () => {
    // Guards against DRAIN: the row in the store was the only sign of leaving that a process knew.
    it("gets no further request, also while its row says that it is ready", async () => {
        const node = await startNode();
        answerFromFirst(node, { isLeaving: true });
        expect(listUsedTargets(node)).toEqual(["s2"]);
        node.run([node.buildChangeEvent({ targets })], 500);
        expect(listUsedTargets(node)).toEqual(["s2"]);
    });

    it("gets requests again after a restart under the same name", async () => {
        const node = await startNode();
        answerFromFirst(node, { isLeaving: true });
        const target = buildTarget("s1", { service: plainService, id: toTargetId("s1@2") });
        node.run([node.buildChangeEvent({ targets: [{ name: "s1", target }] })], 500);
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
    });

    // Guards against a process that has just started, is cut off from the store or hears of the change late.
    it("is reported to the other processes, which pass it on", async () => {
        const node = await startNode();
        answerFromFirst(node, { isLeaving: true });
        node.run([], 200);
        const report = buildReport(node)?.departures;
        expect(report).toEqual([["s1@1", 200, true]]);
        const peer = await startNode();
        applyReport(peer, report ?? []);
        expect(listUsedTargets(peer)).toEqual(["s2"]);
        expect(buildReport(peer)?.departures).toEqual([["s1@1", 200, true]]);
    });
});

describe("a departure that peers report to each other", () => {
    // Guards against departures that never end, since each report on its way is taken for a little younger than it is.
    it("is not renewed by reports about what is known", async () => {
        const node = await startNode();
        answerFromFirst(node, { isLeaving: true });
        for (let second = 1; second <= 12; second += 1) {
            node.run([], 1000);
            applyReport(node, [[toTargetId("s1@1"), 10, true]]);
        }
        expect(buildReport(node)?.departures).toBeUndefined();
    });
});

describe("a removal that a peer reports", () => {
    // Guards against DRAIN: a watch call whose answer is lost delays the removal by more than two seconds.
    it("keeps requests from the target until the store confirms a newer state", async () => {
        const node = await startNode();
        node.run([], 1000);
        applyReport(node, [[toTargetId("s1@1"), 100, false]]);
        expect(listUsedTargets(node)).toEqual(["s2"]);
        node.run([node.buildChangeEvent({ targets })], 200);
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
    });

    it("is ignored when this process knows a newer state of the store", async () => {
        const node = await startNode();
        node.run([], 1000);
        node.run([node.buildChangeEvent({})]);
        applyReport(node, [[toTargetId("s1@1"), 500, false]]);
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
    });
});

describe("a target that wants no requests for some time", () => {
    const refusal = { isNotRun: true, retryAfterMs: 1500 };

    // Guards against BUDGET: the target's own Retry-After was not read, and it was tried again after 60 ms.
    it("gets none until the time has passed, whatever its row says meanwhile", async () => {
        const node = await startNode();
        answerFromFirst(node, refusal, 503);
        node.run([node.buildChangeEvent({ targets })], 700);
        expect(listUsedTargets(node)).toEqual(["s2"]);
        node.run([], 790);
        expect(listUsedTargets(node)).toEqual(["s2"]);
        node.run([], 20);
        expect(listUsedTargets(node)).toEqual(["s1", "s2"]);
    });

    it("has requests refused at once, with the time to come back, when there is no other target", async () => {
        const node = await startNode();
        node.run([node.buildChangeEvent({ targets: [{ name: "s2", target: undefined }] })], 3000);
        answerFromFirst(node, refusal, 503);
        const refusals = listEffects(node.run([buildRequest(node)], 500), "refuseRequest");
        expect(refusals.map(({ refusal: { code, retryAfterSeconds } }) => [code, retryAfterSeconds])).toEqual([
            ["overloaded", 1],
        ]);
    });
});
