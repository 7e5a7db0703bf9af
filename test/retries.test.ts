/** Retries, circuit breakers and refusals for lack of a target, checked by the requests that reach the engines. */
import { describe, expect, it } from "vitest";
import { startEngine } from "../standins/engine";
import { buildOpenDocument, postArrival, sendCompletion } from "./support/arrivals";
import { startFleet, waitUntil, waitUntilReady } from "./support/fleet";
import { addSimulatedEngine, type SimulatedEngine } from "./support/simulatedEngine";
import { createSimulation, type SimulatedNode, type Simulation, startSimulatedNode } from "./support/virtualFleet";

interface Traffic {
    readonly simulation: Simulation;
    readonly engines: readonly SimulatedEngine[];
    readonly nodes: readonly SimulatedNode[];
    readonly getSentCount: () => number;
    /** Sends 20 requests a second to each process. */
    runTraffic(durationMs: number): void;
}

async function startTraffic({ engineCount, nodeCount }: { engineCount: number; nodeCount: number; }): Promise<Traffic> {
    const simulation = createSimulation();
    const engines = Array.from(
        { length: engineCount },
        (_, index) =>
            addSimulatedEngine(simulation, { address: `10.1.0.${index + 1}:80`, version: "v1", decodeMs: 20 }),
    );
    simulation.writeConfiguration(1, buildOpenDocument(engines));
    const nodes: SimulatedNode[] = [];
    for (let index = 0; index < nodeCount; index += 1) {
        nodes.push(await startSimulatedNode(simulation, { vm: `entry-${index}`, seed: index + 11 }));
    }
    simulation.runFor(1000);
    let sent = 0;
    return {
        simulation,
        engines,
        nodes,
        getSentCount: () => sent,
        runTraffic: durationMs => {
            for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
                for (const node of nodes) {
                    postArrival(simulation, node, { timeoutMs: 3000 });
                    sent += 1;
                }
                simulation.runFor(50);
            }
        },
    };
}

const countAttempts = (engines: readonly SimulatedEngine[]): number =>
    engines.reduce((sum, engine) => sum + engine.attempts.length, 0);

describe("circuit breakers", () => {
    // Guards against a fleet that sends all of its traffic, plus retries, to an engine that fails.
    it.each([["down", 0], ["failing", 500], ["overloaded", 503]])(
        "four processes send few requests to their only engine while it is %s",
        async (_name, failingStatus) => {
            const { simulation, engines, runTraffic, getSentCount } = await startTraffic({
                engineCount: 1,
                nodeCount: 4,
            });
            const [engine] = engines;
            if (engine) {
                engine.faults.isDown = failingStatus === 0;
                engine.faults.failureStatus = failingStatus;
            }
            runTraffic(60_000);
            expect(getSentCount()).toBe(4800);
            // Ten trials a minute for each process, plus the requests in flight when the engine begins to fail.
            expect(countAttempts(engines)).toBeLessThanOrEqual(4 * 20);
            if (engine) {
                engine.faults.isDown = false;
                engine.faults.failureStatus = 0;
            }
            simulation.runFor(15_000);
            const attemptsBefore = countAttempts(engines);
            runTraffic(5000);
            expect(countAttempts(engines) - attemptsBefore).toBe(400);
        },
    );

    it("sends only one trial request after each back-off, although the engine's reports are good", async () => {
        const { engines, runTraffic } = await startTraffic({ engineCount: 1, nodeCount: 1 });
        const [engine] = engines;
        if (engine) {
            engine.faults.failureStatus = 503;
        }
        runTraffic(30_000);
        const times = engine?.attempts.map(attempt => attempt.at) ?? [];
        const gapsMs = times.slice(1).map((at, index) => at - (times[index] ?? 0));
        expect(Math.min(...gapsMs)).toBeGreaterThan(300);
    });
});

// Guards against a request that runs and delays a shutdown although its caller has already disconnected.
it("does not run a request whose caller disconnects in the tick in which it arrived", async () => {
    const { simulation, engines, nodes } = await startTraffic({ engineCount: 1, nodeCount: 1 });
    const [node] = nodes;
    if (node) {
        const request = postArrival(simulation, node);
        node.post({ kind: "callerDisconnected", request });
        node.post({ kind: "drainRequested" });
    }
    simulation.runFor(10_000);
    expect(countAttempts(engines)).toBe(0);
    expect(node?.exitCodes).toEqual([0]);
});

describe("retries", () => {
    // Guards against retries that multiply the load when all engines fail.
    it("stay within the retry budgets of all processes", async () => {
        const { engines, runTraffic, nodes } = await startTraffic({ engineCount: 12, nodeCount: 4 });
        engines.forEach(engine => {
            engine.faults.failureStatus = 500;
        });
        runTraffic(30_000);
        const attemptedRequestCount =
            new Set(engines.flatMap(engine => engine.attempts.map(attempt => attempt.request))).size;
        const burst = 20 * nodes.length;
        expect(attemptedRequestCount).toBeGreaterThan(burst);
        expect(countAttempts(engines)).toBeLessThanOrEqual(attemptedRequestCount * 1.1 + burst);
    });

    it("return to the engine that failed when no other serves the model", async () => {
        const { simulation, engines, nodes } = await startTraffic({ engineCount: 1, nodeCount: 1 });
        const [engine] = engines;
        const [node] = nodes;
        if (!engine || !node) {
            return;
        }
        engine.faults.failureStatus = 503;
        const request = postArrival(simulation, node);
        simulation.runFor(100);
        engine.faults.failureStatus = 0;
        simulation.runFor(5000);
        expect(engine.attempts.map(attempt => attempt.request)).toEqual([request, request]);
        expect(node.refusals).toEqual([]);
    });
});

describe("a request without a target", () => {
    it("is refused as not run after a short wait, unless its target is loading", async () => {
        const { simulation, engines, nodes } = await startTraffic({ engineCount: 2, nodeCount: 1 });
        const [node] = nodes;
        const document = buildOpenDocument(engines);
        const routes = {
            missing: { kind: "model", model: "copywriter", version: "v9", open: true },
            coming: { kind: "model", model: "copywriter", version: "v2", open: true },
        };
        const targets = document["targets"] as Record<string, object>;
        simulation.writeConfiguration(2, {
            ...document,
            routes,
            targets: { ...targets, "engine-1": { ...targets["engine-1"], version: "v2" } },
        });
        simulation.runFor(500);
        if (node) {
            postArrival(simulation, node, { routeName: "missing" });
            postArrival(simulation, node, { routeName: "coming" });
        }
        const sentAt = simulation.getNow();
        simulation.runUntil(() => node?.refusals.length === 1);
        expect(simulation.getNow() - sentAt).toBeLessThanOrEqual(2500);
        expect(node?.refusals[0]?.refusal).toMatchObject({ code: "no_target", verdict: "not_run" });
        simulation.runFor(20_000);
        expect(node?.refusals).toHaveLength(1);
        expect(engines[1]?.attempts).toHaveLength(1);
    });
});

// Guards against a retry budget or a circuit breaker that refuses requests when a single engine crashes.
it("answers every request that is waiting for its first token on an engine that crashes", async () => {
    const options = { model: "copywriter", version: "v1", decodeMs: 1 };
    const engines = [await startEngine(options), await startEngine(options)];
    const fleet = await startFleet({ count: 1, document: buildOpenDocument(engines) });
    await waitUntilReady(fleet);
    engines.forEach(engine => {
        engine.faults.delayMs = 500;
    });
    const answers = Array.from({ length: 16 }, async (_, index) => {
        const response = await sendCompletion(fleet, { prompt: `${index}`, max_tokens: 2 });
        return (await response.text()).includes("data: [DONE]");
    });
    await waitUntil(() => engines.reduce((sum, engine) => sum + engine.runs.length, 0) === 16);
    engines[0]?.crash();
    expect(await Promise.all(answers)).toEqual(Array(16).fill(true));
    await fleet.stop();
    await Promise.all(engines.map(engine => engine.stop()));
});

it("passes the remaining time until the deadline to the engine", async () => {
    const engine = await startEngine({ model: "copywriter", version: "v1", decodeMs: 1 });
    const fleet = await startFleet({ count: 1, document: buildOpenDocument([engine]) });
    await waitUntilReady(fleet);
    await (await sendCompletion(fleet, { max_tokens: 1 }, { "x-request-timeout-ms": "7000" })).text();
    const timeLeftMs = Number(engine.runs[0]?.headers["x-request-timeout-ms"]);
    expect(timeLeftMs).toBeGreaterThan(0);
    expect(timeLeftMs).toBeLessThanOrEqual(7000);
    await fleet.stop();
    await engine.stop();
});
