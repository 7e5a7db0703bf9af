/** Failures of targets that processes of a large fleet tell each other. */
import { beforeEach, describe, expect, it } from "vitest";
import type { ForwardEvent } from "../../src/forward/events";
import type { PeerState } from "../../src/forward/peers";
import { estimateFailureShare, isUnreachable } from "../../src/forward/policy/failureEvidence";
import { toCallId, toMillis, toTargetId, toVmId } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildHeaderFields,
    buildMemberRows,
    buildPeerState,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
    listNodeNames,
} from "../support/forwardNode";

const engines = ["e0", "e1", "e2"];
const silentEngine = toTargetId("e0@1");

let node: ForwardTestNode;

async function startNode(processes: number): Promise<void> {
    const names = listNodeNames(processes);
    node = await createForwardTestNode(names[0] ?? "");
    node.run([]);
    const targets = engines.map(name => ({ name, target: buildTarget(name) }));
    node.run([node.buildReadEvent({ document: buildDocument(), targets, rows: buildMemberRows(names) })]);
}

/** State of a peer that found the engine unreachable `ageMs` ago. */
const buildSilenceReport = (peer: string, ageMs: number): ForwardEvent => ({
    kind: "peerCallReceived",
    call: toCallId(`call-${peer}`),
    state: buildPeerState({ vm: toVmId(peer), startedAt: 1, failures: [[silentEngine, 1, 0, ageMs, ageMs]] }),
});

let requestCount = 0;

/** Engines that get the next requests. */
function sendRequests(count: number): string[] {
    return Array.from({ length: count }, () => {
        requestCount += 1;
        const arrival = buildArrival(`r${requestCount}`, { arrivedAt: toMillis(node.getNow()) });
        const [sent] = listEffects(node.run([{ kind: "requestArrived", arrival }]), "sendRequest");
        return sent?.call.target ?? "";
    });
}

beforeEach(async () => {
    await startNode(24);
});

describe("a target that other processes cannot reach", () => {
    // Guards against each of many processes losing requests to a silent engine before all of them know it.
    it("gets no requests once two processes have reported it", () => {
        node.run([buildSilenceReport("front-02", 100), buildSilenceReport("front-03", 300)], 500);
        expect(sendRequests(60)).not.toContain(silentEngine);
    });

    // Guards against an engine that a whole fleet leaves because one process has lost its own path to it.
    it("goes on getting requests while only one process reports it", () => {
        node.run([buildSilenceReport("front-02", 100)], 500);
        expect(sendRequests(60)).toContain(silentEngine);
    });

    // Guards against a target that has answered since, but stays without requests until the reports are old.
    it("gets requests again once it has answered this process after the reports", () => {
        const probe = sendRequests(60).indexOf(silentEngine);
        const request = buildArrival(`r${requestCount - 59 + probe}`).request;
        node.run([buildSilenceReport("front-02", 100), buildSilenceReport("front-03", 300)], 500);
        expect(sendRequests(30)).not.toContain(silentEngine);
        const headerFields = buildHeaderFields(request);
        node.run(
            [{ kind: "attemptAnswered", request, attempt: 1, status: 200, headerFields, isOpenStream: false }],
            100,
        );
        expect(sendRequests(60)).toContain(silentEngine);
    });

    // Guards against requests that are refused although a reported engine is the only one left.
    it("gets requests when there is no other", () => {
        const others = engines.slice(1).map(name => ({ name, target: undefined }));
        node.run([node.buildChangeEvent({ targets: others })], 100);
        node.run([buildSilenceReport("front-02", 100), buildSilenceReport("front-03", 300)], 500);
        expect(sendRequests(1)).toEqual([silentEngine]);
    });

    // Guards against a recovered engine that stays without requests: reports end when they are old.
    it("gets requests again when the reports are old", () => {
        node.run([buildSilenceReport("front-02", 100), buildSilenceReport("front-03", 300)], 500);
        node.runFor(12_000);
        expect(sendRequests(60)).toContain(silentEngine);
    });

    // Guards against a change of behaviour in small fleets, whose processes learn from their own requests.
    it("is treated as before in a fleet of four", async () => {
        await startNode(4);
        node.run([buildSilenceReport("front-02", 100), buildSilenceReport("front-03", 300)], 500);
        expect(sendRequests(60)).toContain(silentEngine);
    });
});

describe("reports of failures", () => {
    const getReport = (): PeerState["failures"] => {
        const call: ForwardEvent = {
            kind: "peerCallReceived",
            call: toCallId("call"),
            state: buildPeerState({ vm: toVmId("front-02"), startedAt: 1 }),
        };
        return listEffects(node.run([call], 10), "answerPeer")[0]?.state.failures;
    };

    // Guards against a process that keeps what it knows of a failing engine to itself.
    it("name a target that this process found unreachable", () => {
        const [target] = sendRequests(1);
        const request = buildArrival(`r${requestCount}`).request;
        node.run([{ kind: "attemptFailed", request, attempt: 1, fault: "connect", lastEventId: 0 }], 100);
        expect(getReport()).toEqual([[target, 1, 0, 10, 10]]);
    });

    // Guards against messages that grow with the number of engines.
    it("are left out while no target fails", () => {
        sendRequests(10);
        expect(getReport()).toBeUndefined();
    });
});

describe("pooled failures", () => {
    it("count more the more processes report them", () => {
        const one = estimateFailureShare([{ failed: 1, answered: 0 }]);
        const many = estimateFailureShare(Array.from({ length: 10 }, () => ({ failed: 1, answered: 0 })));
        expect(one).toBeLessThan(0.1);
        expect(many).toBeGreaterThan(0.3);
    });

    it("show a target as unreachable only by reports that are newer than its last answer", () => {
        expect(isUnreachable([{ silentAt: 900 }, { silentAt: 950 }], 400)).toBe(true);
        expect(isUnreachable([{ silentAt: 900 }, { silentAt: 950 }], 920)).toBe(false);
    });
});
