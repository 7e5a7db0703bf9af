/** Requests that come to a process in its grace period. */
import { describe, expect, it } from "vitest";
import type { ForwardEffect } from "../../src/forward/effects";
import { toMillis } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listEffects,
    plainService,
} from "../support/forwardNode";

const graceMs = 8000;
const services = [{ service: plainService, weight: 1 }];
const routes = [
    buildRoute({ kind: "single", prefix: "/short/", timeoutMs: 600, services }),
    buildRoute({ kind: "single", prefix: "/long/", timeoutMs: 9000, services }),
    buildRoute({ kind: "repeatable", prefix: "/lookup/", timeoutMs: 9000, services }),
];

/** Starts a process that has been told to stop `leavingMs` before. */
async function startLeavingNode(leavingMs: number): Promise<ForwardTestNode> {
    const node = await createForwardTestNode();
    node.run([]);
    const targets = [{ name: "s1", target: buildTarget("s1", { service: plainService }) }];
    node.runFor(20, createGrantingStore(node.getNow), [
        node.buildReadEvent({ document: buildDocument({ routes }), targets }),
    ]);
    node.run([{ kind: "drainRequested" }]);
    node.run([], leavingMs);
    return node;
}

function sendRequest(node: ForwardTestNode, path: string, callerTimeoutMs: number): readonly ForwardEffect[] {
    const options = { path, callerTimeoutMs, parts: [], model: undefined, hasTokenCounts: false, promptTokens: 0 };
    const arrival = buildArrival("r1", { ...options, arrivedAt: toMillis(node.getNow()) });
    return node.run([{ kind: "requestArrived", arrival }]);
}

describe("a request in the grace period of a planned stop", () => {
    it("is passed on when it ends before the process exits", async () => {
        const node = await startLeavingNode(0.3 * graceMs);
        expect(listEffects(sendRequest(node, "/short/1", 600), "sendRequest")).toHaveLength(1);
    });

    // Guards against LOST: it was passed on and cut at the end of the grace period, although it may not be repeated.
    it.each(["/long/1", "/lookup/1"])(
        "is refused as not run when its time limit ends after the exit: %s",
        async path => {
            const node = await startLeavingNode(0.3 * graceMs);
            const effects = sendRequest(node, path, 7000);
            expect(listEffects(effects, "sendRequest")).toEqual([]);
            expect(listEffects(effects, "refuseRequest").map(({ refusal }) => [refusal.code, refusal.verdict])).toEqual(
                [
                    ["draining", "not_run"],
                ],
            );
        },
    );

    it("is passed on, whatever the route allows, when the caller's own time limit ends before the exit", async () => {
        const node = await startLeavingNode(0.3 * graceMs);
        expect(listEffects(sendRequest(node, "/long/1", 2000), "sendRequest")).toHaveLength(1);
    });
});
