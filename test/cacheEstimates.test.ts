/** Cache estimates are used only for the model version and the engine incarnation that they were made for. */
import { describe, expect, it } from "vitest";
import type { Event } from "../src/events";
import {
    toConfigVersion,
    toIncarnation,
    toKeyHash,
    toMillis,
    toModelId,
    toModelVersion,
    toRequestId,
    toTargetId,
} from "../src/ids";
import { formatPrefixId } from "../src/policy/prefix";
import { systems } from "../src/systems";
import { applyDocument } from "../src/systems/applyConfiguration";
import { applyPrefixUpdates } from "../src/systems/prefixUpdates";
import { createVirtualNode, type VirtualNode } from "./support/world";

const engine = toTargetId("engine-0");
const blockBytes = 1024;
const prompt = Buffer.from("policy ".repeat(blockBytes));

const keyHashes = { shop: toKeyHash("a".repeat(64)), desk: toKeyHash("b".repeat(64)) };

function buildDocument(version: string): unknown {
    return {
        accounts: { shop: { rate: 1e9, burst: 1e9 }, desk: { rate: 1e9, burst: 1e9 } },
        keys: { [keyHashes.shop]: { account: "shop" }, [keyHashes.desk]: { account: "desk" } },
        models: { copy: { bytesPerToken: 1, blockTokens: blockBytes } },
        routes: { write: { kind: "model", model: "copy", version, open: true } },
        targets: {
            [engine]: { kind: "engine", address: "127.0.0.1:1", dataCentre: "dc-0", model: "copy", version },
        },
    };
}

function buildReportEvent(incarnation: string, version = "v1"): Event {
    return {
        kind: "targetReported",
        target: engine,
        report: {
            incarnation: toIncarnation(incarnation),
            state: "ready",
            model: toModelId("copy"),
            version: toModelVersion(version),
            runningRequests: 0,
            waitingRequests: 0,
            waitingTokens: 0,
        },
    };
}

let requestCount = 0;

/** Sends one request and returns its id and the estimated cache hit of the routing decision. */
function routeRequest(node: VirtualNode): { id: ReturnType<typeof toRequestId>; hitTokens: number | undefined; } {
    requestCount += 1;
    const id = toRequestId(`request-${requestCount}`);
    node.world.tables.configuration.confirmedAt = toMillis(node.getNow());
    node.run([{
        kind: "requestArrived",
        arrival: {
            request: id,
            keyHash: undefined,
            endpoint: "completions",
            routeName: "write",
            method: "POST",
            path: "",
            stream: true,
            prompt,
            maxTokens: 1,
            priority: undefined,
            bodyBytes: prompt.length,
            bodyHash: "",
            idempotencyKey: undefined,
            timeoutMs: undefined,
            arrivedAt: toMillis(node.getNow()),
        },
    }]);
    const decision = node.world.tables.requests.get(id)?.decisions[0];
    return { id, hitTokens: decision?.candidates[0]?.hitTokens };
}

/** Runs one request to its end, after which its prefixes count as cached. */
function runRequest(node: VirtualNode): void {
    const { id } = routeRequest(node);
    const usage = { promptTokens: prompt.length, completionTokens: 1, cachedTokens: 0 };
    node.run([
        { kind: "attemptWriteStarted", request: id, attempt: 1 },
        { kind: "attemptAnswered", request: id, attempt: 1, status: 200, isRefusedBeforeRun: false },
        { kind: "attemptFirstToken", request: id, attempt: 1, usage },
        { kind: "attemptFinished", request: id, attempt: 1, usage },
    ]);
}

async function createNode(version = "v1"): Promise<VirtualNode> {
    const node = await createVirtualNode(systems);
    applyDocument(node.world, toConfigVersion(1), buildDocument(version), "test");
    node.run([buildReportEvent("run-1", version)]);
    return node;
}

const promptTokens = Math.floor(prompt.length / blockBytes) * blockBytes;

describe("cache estimates", () => {
    it("count prefixes that the same engine computed", async () => {
        const node = await createNode();
        expect(routeRequest(node).hitTokens).toBe(0);
        runRequest(node);
        expect(routeRequest(node).hitTokens).toBe(promptTokens);
    });

    it("are dropped when the engine restarts, even if cache events from before the restart arrive later", async () => {
        const node = await createNode();
        runRequest(node);
        const blocks = [...(node.world.tables.requests.get(toRequestId(`request-${requestCount}`))?.blocks ?? [])];
        node.run([buildReportEvent("run-2")], 10);
        // No request is sent in between, because its prefixes would count as expected on the new incarnation.
        node.run([{
            kind: "cacheEventsReceived",
            target: engine,
            incarnation: toIncarnation("run-1"),
            events: [{ seq: 99, kind: "stored", blocks }],
        }], 10);
        expect(routeRequest(node).hitTokens).toBe(0);
    });

    it("ignore a request that began before a restart of the engine and ended after it", async () => {
        const node = await createNode();
        const { id } = routeRequest(node);
        node.run([buildReportEvent("run-2")], 10);
        const usage = { promptTokens: prompt.length, completionTokens: 1, cachedTokens: 0 };
        node.run([
            { kind: "attemptAnswered", request: id, attempt: 1, status: 200, isRefusedBeforeRun: false },
            { kind: "attemptFirstToken", request: id, attempt: 1, usage },
            { kind: "attemptFinished", request: id, attempt: 1, usage },
        ]);
        expect(routeRequest(node).hitTokens).toBe(0);
    });

    it("are dropped when the engine reports that its cache was cleared", async () => {
        const node = await createNode();
        runRequest(node);
        node.run([{
            kind: "cacheEventsReceived",
            target: engine,
            incarnation: toIncarnation("run-1"),
            events: [{ seq: 1, kind: "cleared" }],
        }], 10);
        expect(routeRequest(node).hitTokens).toBe(0);
    });

    it("are not used for another version of the model on the same engine", async () => {
        const node = await createNode();
        runRequest(node);
        applyDocument(node.world, toConfigVersion(2), buildDocument("v2"), "test");
        node.run([buildReportEvent("run-1", "v2")], 10);
        expect(routeRequest(node).hitTokens).toBe(0);
    });

    it("of a peer count only for the engine's current incarnation", async () => {
        const otherNode = await createNode();
        const blocks = otherNode.world.tables.requests.get(routeRequest(otherNode).id)?.blocks ?? [];
        const node = await createNode();
        const buildUpdates = (incarnation: string) =>
            blocks.map(block => ({
                target: engine,
                incarnation: toIncarnation(incarnation),
                prefix: formatPrefixId(block),
            }));
        applyPrefixUpdates(node.world, toMillis(node.getNow()), buildUpdates("run-0"));
        expect(routeRequest(node).hitTokens).toBe(0);
        applyPrefixUpdates(otherNode.world, toMillis(otherNode.getNow()), buildUpdates("run-1"));
        expect(routeRequest(otherNode).hitTokens).toBe(promptTokens);
    });

    it("are sent to peers once a second request has used the prefix", async () => {
        const node = await createNode();
        runRequest(node);
        expect(node.world.tables.prefixes.takeUnreportedReuses(10)).toHaveLength(0);
        runRequest(node);
        expect(node.world.tables.prefixes.takeUnreportedReuses(1000)).toHaveLength(promptTokens / blockBytes);
        expect(node.world.tables.prefixes.takeUnreportedReuses(10)).toHaveLength(0);
    });
});
