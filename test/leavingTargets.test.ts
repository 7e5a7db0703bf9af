/** Leaving targets receive no new requests, and the requests that run on them can finish. */
import { afterEach, describe, expect, it } from "vitest";
import type { VmListEntry } from "../src/events";
import { startEngine } from "../standins/engine";
import { buildOpenDocument, postArrival, sendCompletion } from "./support/arrivals";
import { startFleet, waitUntil, waitUntilReady } from "./support/fleet";
import { addSimulatedEngine, type SimulatedEngine } from "./support/simulatedEngine";
import { createSimulation, type SimulatedNode, type Simulation, startSimulatedNode } from "./support/virtualFleet";

const addresses = ["10.1.0.1:80", "10.1.0.2:80"];

interface Traffic {
    readonly simulation: Simulation;
    readonly node: SimulatedNode;
    readonly engines: readonly SimulatedEngine[];
    /** Sends 20 requests a second and returns how many each engine received. */
    measureAttempts(durationMs: number): number[];
    postVmList(states: readonly ("live" | "leaving" | "absent")[]): void;
}

async function startTraffic(): Promise<Traffic> {
    const simulation = createSimulation();
    const engines = addresses.map(address => addSimulatedEngine(simulation, { address, version: "v1" }));
    simulation.writeConfiguration(1, buildOpenDocument(engines));
    const node = await startSimulatedNode(simulation, { vm: "entry-1" });
    simulation.runFor(1000);
    return {
        simulation,
        node,
        engines,
        measureAttempts: durationMs => {
            const countsBefore = engines.map(engine => engine.attempts.length);
            for (let elapsed = 0; elapsed < durationMs; elapsed += 100) {
                postArrival(simulation, node);
                postArrival(simulation, node);
                simulation.runFor(100);
            }
            return engines.map((engine, index) => engine.attempts.length - (countsBefore[index] ?? 0));
        },
        postVmList: states => {
            const vms = states.flatMap((state, index) =>
                state === "absent"
                    ? []
                    : [{ id: `vm-${index}`, address: `10.1.0.${index + 1}`, dataCentre: "dc-1", state } as VmListEntry]
            );
            node.post({ kind: "vmListRead", vms });
            simulation.runFor(1);
        },
    };
}

describe("leaving targets", () => {
    it("receive no requests once the VM list marks them as leaving, even when it no longer lists them", async () => {
        const traffic = await startTraffic();
        traffic.postVmList(["live", "live"]);
        expect(Math.min(...traffic.measureAttempts(2000))).toBeGreaterThan(0);
        traffic.postVmList(["leaving", "live"]);
        expect(traffic.measureAttempts(2000)).toEqual([0, 40]);
        traffic.postVmList(["absent", "live"]);
        expect(traffic.measureAttempts(2000)).toEqual([0, 40]);
        traffic.postVmList(["live", "live"]);
        expect(Math.min(...traffic.measureAttempts(2000))).toBeGreaterThan(0);
    });

    // Guards against an outdated VM list that takes new engines out of use.
    it("do not include targets that the VM list has never contained", async () => {
        const traffic = await startTraffic();
        traffic.postVmList(["absent", "live"]);
        expect(Math.min(...traffic.measureAttempts(2000))).toBeGreaterThan(0);
    });

    it("receive no requests a few seconds after they report that they leave, even from an idle process", async () => {
        const traffic = await startTraffic();
        traffic.simulation.runFor(20_000);
        traffic.engines[0]?.startLeaving();
        traffic.simulation.runFor(5000);
        expect(traffic.measureAttempts(2000)).toEqual([0, 40]);
    });

    it("receive no requests once the configuration marks them as leaving, whatever they report", async () => {
        const traffic = await startTraffic();
        const [first, second] = addresses.map(address => ({ address }));
        traffic.simulation.writeConfiguration(
            2,
            buildOpenDocument([{ address: "", ...first, leaving: true }, { address: "", ...second }]),
        );
        traffic.simulation.runFor(100);
        expect(traffic.measureAttempts(5000)).toEqual([0, 100]);
    });
});

describe("a leaving target over HTTP", () => {
    const stops: (() => Promise<void>)[] = [];

    afterEach(async () => {
        await Promise.all(stops.splice(0).map(stop => stop()));
    });

    it("finishes its running stream", async () => {
        const options = { model: "copywriter", version: "v1", decodeMs: 20 };
        const engines = [
            await startEngine({ ...options, host: "127.0.0.2" }),
            await startEngine({ ...options, host: "127.0.0.3" }),
        ];
        const vmListFleet = await startFleet({ count: 0 });
        const fleet = await startFleet({
            count: 1,
            document: buildOpenDocument(engines),
            overrides: { vmList: { address: vmListFleet.platform.address, everyMs: 100 } },
        });
        stops.push(fleet.stop, vmListFleet.stop, ...engines.map(engine => engine.stop));
        await waitUntilReady(fleet);
        const running = await sendCompletion(fleet, { max_tokens: 100 });
        const leavingIndex = engines.findIndex(engine => engine.runs.length > 0);
        const leavingEngine = engines[leavingIndex];
        vmListFleet.platform.updateVms([
            { id: "vm-x", address: leavingEngine?.address ?? "", dataCentre: "dc-1", state: "leaving" },
        ]);
        let lastCount = -1;
        await waitUntil(async () => {
            lastCount = engines[1 - leavingIndex]?.runs.length ?? 0;
            await (await sendCompletion(fleet, { max_tokens: 1 })).text();
            return engines[1 - leavingIndex]?.runs.length === lastCount + 1;
        });
        const runCountBefore = leavingEngine?.runs.length;
        for (let index = 0; index < 10; index += 1) {
            await (await sendCompletion(fleet, { max_tokens: 1 })).text();
        }
        expect(leavingEngine?.runs.length).toBe(runCountBefore);
        const text = await running.text();
        expect(text.match(/^data: /gm)?.length).toBe(101);
        expect(text).toContain("data: [DONE]");
    });
});
