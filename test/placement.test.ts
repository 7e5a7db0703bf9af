/** Placement: rolling changes of model versions, and the owner role under faults. */
import { describe, expect, it } from "vitest";
import { createProcessClock } from "../src/adapters/clock";
import { createTargetReader } from "../src/adapters/targetReader";
import { toFencingNumber, toMillis, toModelId, toModelVersion, toOrderId, toTargetId } from "../src/ids";
import { placementKey } from "../src/systems/placementRole";
import { startEngine } from "../standins/engine";
import { waitUntil } from "./support/fleet";
import { addSimulatedEngine, type SimulatedEngine, type SimulatedEngineOptions } from "./support/simulatedEngine";
import { createSimulation, type Simulation, startSimulatedNode } from "./support/virtualFleet";

interface Rolling {
    readonly simulation: Simulation;
    readonly engines: readonly SimulatedEngine[];
    readonly seen: { maxLoading: number; };
    /** Smallest number of ready engines of a version since the start. */
    getFewestReady(version: string): number;
    writeVersions(configVersion: number, wanted: string | readonly string[], route: string): void;
}

function createRolling(count: number, options: Partial<SimulatedEngineOptions> = {}): Rolling {
    const simulation = createSimulation();
    const engines = Array.from(
        { length: count },
        (_, index) => addSimulatedEngine(simulation, { address: `10.1.0.${index + 1}:80`, version: "v1", ...options }),
    );
    const seen = { maxLoading: 0 };
    const fewest = new Map<string, number>();
    const measureEngines = (): void => {
        const states = engines.map(engine => engine.getState());
        seen.maxLoading = Math.max(seen.maxLoading, states.filter(({ state }) => state === "loading").length);
        for (const version of ["v1", "v2"]) {
            const ready = states.filter(entry => entry.state === "ready" && entry.version === version).length;
            fewest.set(version, Math.min(fewest.get(version) ?? Infinity, ready));
        }
        simulation.schedule(5, measureEngines);
    };
    measureEngines();
    const writeVersions: Rolling["writeVersions"] = (configVersion, wanted, route) => {
        simulation.writeConfiguration(configVersion, {
            models: { copywriter: {} },
            routes: { catalogue: { kind: "model", model: "copywriter", version: route } },
            targets: Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {
                kind: "engine",
                address: engine.address,
                dataCentre: "dc-1",
                model: "copywriter",
                version: typeof wanted === "string" ? wanted : wanted[index],
            }])),
        });
    };
    writeVersions(1, "v1", "v1");
    return { simulation, engines, seen, getFewestReady: version => fewest.get(version) ?? 0, writeVersions };
}

const measureVersion = ({ engines }: Rolling, version: string): number =>
    engines.filter(engine => engine.getState().state === "ready" && engine.getState().version === version).length;

// Guards against an order that waited in the process until its lease was over.
it("does not send an order after the lease of its owner", async () => {
    const engine = await startEngine({ model: "copywriter", version: "v1" });
    const outcomes: string[] = [];
    const reader = createTargetReader({
        post: event => {
            if (event.kind === "orderAnswered") {
                outcomes.push(event.outcome);
            }
        },
        clock: createProcessClock(),
    });
    const order = {
        order: toOrderId("o1"),
        fencing: toFencingNumber(7),
        model: toModelId("copywriter"),
        version: toModelVersion("v2"),
    };
    const base = {
        kind: "sendOrder",
        target: toTargetId("e"),
        address: engine.address,
        order,
        timeoutMs: 1000,
    } as const;
    reader.sendOrder({ ...base, notAfter: toMillis(performance.now() - 1) });
    await waitUntil(() => outcomes.length === 1);
    expect([outcomes, engine.orders.length]).toEqual([["not_sent"], 0]);
    reader.sendOrder({ ...base, notAfter: toMillis(performance.now() + 60_000) });
    await waitUntil(() => outcomes.length === 2);
    expect([outcomes[1], engine.orders.length]).toEqual(["accepted", 1]);
    reader.close();
    await engine.stop();
});

describe("placement", () => {
    it("loads at most two engines at once and keeps the last one of a version that a route names", async () => {
        const rolling = createRolling(5);
        await startSimulatedNode(rolling.simulation, { vm: "entry-1" });
        rolling.simulation.runFor(10_000);
        rolling.writeVersions(2, "v2", "v1");
        rolling.simulation.runUntil(() => measureVersion(rolling, "v2") === 4);
        rolling.simulation.runFor(30_000);
        expect(measureVersion(rolling, "v1")).toBe(1);
        rolling.writeVersions(3, "v2", "v2");
        rolling.simulation.runUntil(() => measureVersion(rolling, "v2") === 5);
        expect(rolling.seen.maxLoading).toBe(2);
        expect(rolling.engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1, 1]);
    });

    // Guards against a second order while the first one's load runs unseen, which would exceed the load limit.
    it("does not repeat an order whose answer was lost, and repeats one that never arrived", async () => {
        const rolling = createRolling(4, { loadMs: 3000 });
        const [first, second] = rolling.engines;
        await startSimulatedNode(rolling.simulation, { vm: "entry-1" });
        rolling.simulation.runFor(10_000);
        rolling.engines.forEach(engine => {
            engine.faults.orderAnswersToLose = engine === first ? 1 : 0;
            engine.faults.ordersToLose = engine === second ? 1 : 0;
        });
        rolling.writeVersions(2, "v2", "v2");
        rolling.simulation.runUntil(() => measureVersion(rolling, "v2") === 4);
        expect(rolling.engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1]);
        expect(rolling.seen.maxLoading).toBe(2);
    });

    // Guards against two broken engines that use up the load limit for ever.
    it("does not let engines that never load keep the others from loading", async () => {
        const rolling = createRolling(6);
        await startSimulatedNode(rolling.simulation, { vm: "entry-1" });
        rolling.simulation.runFor(10_000);
        rolling.engines.slice(0, 2).forEach(engine => {
            engine.faults.ordersToLose = Infinity;
        });
        rolling.writeVersions(2, "v2", "v2");
        rolling.simulation.runUntil(() => measureVersion(rolling, "v2") === 4, 20_000);
        rolling.engines.slice(0, 2).forEach(engine => {
            engine.faults.ordersToLose = 0;
        });
        rolling.simulation.runUntil(() => measureVersion(rolling, "v2") === 6);
        expect(rolling.seen.maxLoading).toBe(2);
    });

    it("orders again after an engine crashed during its load", async () => {
        const rolling = createRolling(3, { loadMs: 1500 });
        const [first] = rolling.engines;
        await startSimulatedNode(rolling.simulation, { vm: "entry-1" });
        rolling.simulation.runFor(10_000);
        rolling.writeVersions(2, "v2", "v2");
        rolling.simulation.runUntil(() => first?.getState().state === "loading");
        rolling.simulation.runFor(500);
        first?.crash();
        rolling.simulation.runUntil(() => measureVersion(rolling, "v2") === 3);
        expect(first?.orders.length).toBe(2);
        expect(rolling.seen.maxLoading).toBe(2);
    });

    it.each([true, false])("a paused owner's late order does no lasting harm (fencing checked: %s)", async checks => {
        const rolling = createRolling(4, { checksFencing: checks });
        const { simulation, engines } = rolling;
        const nodes = [
            await startSimulatedNode(simulation, { vm: "entry-1" }),
            await startSimulatedNode(simulation, { vm: "entry-2", seed: 7 }),
        ];
        simulation.runFor(10_000);
        const owner = nodes.find(node => node.world.tables.orders.role.state === "owner");
        engines.forEach(engine => {
            engine.faults.orderDelayMs = 30_000;
        });
        rolling.writeVersions(2, "v2", "v1");
        simulation.runUntil(() => (owner?.world.tables.orders.size ?? 0) > 0);
        owner?.pause();
        engines.forEach(engine => {
            engine.faults.orderDelayMs = 1;
        });
        // The operator takes the change back while the orders of the paused owner are on their way.
        rolling.writeVersions(3, "v3", "v1");
        simulation.runFor(25_000);
        expect(measureVersion(rolling, "v3")).toBe(3);
        simulation.runFor(15_000);
        owner?.resume();
        simulation.runFor(20_000);
        expect(measureVersion(rolling, "v3")).toBe(3);
        expect(measureVersion(rolling, "v1")).toBe(1);
        expect(rolling.getFewestReady("v1")).toBe(1);
        const late = engines.flatMap(engine => engine.orders).filter(order => order.version === "v2");
        expect(late.length).toBeGreaterThan(0);
        const orderedLater = engines.flatMap(engine => engine.orders).some(order => order.version === "v3");
        expect(orderedLater).toBe(true);
        expect(rolling.seen.maxLoading).toBeLessThanOrEqual(2);
    });

    // Guards against a new owner that orders while orders of the former one are still on their way.
    it("lets the orders of a former owner show in reports before it orders itself", async () => {
        const rolling = createRolling(4, { loadMs: 3000 });
        const { simulation, engines } = rolling;
        const nodes = [
            await startSimulatedNode(simulation, { vm: "entry-1" }),
            await startSimulatedNode(simulation, { vm: "entry-2", seed: 7 }),
        ];
        simulation.runFor(10_000);
        const owner = nodes.find(node => node.world.tables.orders.role.state === "owner");
        engines.forEach(engine => {
            engine.faults.orderDelayMs = 1900;
        });
        rolling.writeVersions(2, ["v1", "v1", "v2", "v2"], "v1");
        simulation.runUntil(() => owner?.world.tables.orders.size === 2);
        owner?.pause();
        simulation.store.revokeLease(owner?.world.tables.node.memberLease.id ?? "");
        rolling.writeVersions(3, "v2", "v2");
        engines.forEach(engine => {
            engine.faults.orderDelayMs = 1;
        });
        simulation.runUntil(() => measureVersion(rolling, "v2") === 4);
        expect(rolling.seen.maxLoading).toBe(2);
        expect(engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1]);
    });

    // Guards against an owner that goes on ordering on a lease that the store may have given to another.
    it("sends no order after its lease ended in a store outage, and goes on afterwards", async () => {
        const rolling = createRolling(8, { loadMs: 3000 });
        const { simulation, engines } = rolling;
        await startSimulatedNode(simulation, { vm: "entry-1" });
        simulation.runFor(10_000);
        rolling.writeVersions(2, "v2", "v2");
        simulation.runUntil(() => measureVersion(rolling, "v2") > 0);
        const downAt = simulation.getNow();
        simulation.faults.isStoreDown = true;
        simulation.runFor(60_000);
        const times = engines.flatMap(engine => engine.orders.map(order => order.at));
        expect(Math.max(...times)).toBeLessThan(downAt + 4000);
        simulation.store.extendLeases();
        simulation.faults.isStoreDown = false;
        simulation.runUntil(() => measureVersion(rolling, "v2") === 8);
        expect(rolling.seen.maxLoading).toBe(2);
        expect(engines.map(engine => engine.orders.length)).toEqual(Array(8).fill(1));
    });

    it("recognises its own owner key when the store's answer was lost", async () => {
        const rolling = createRolling(1);
        const node = await startSimulatedNode(rolling.simulation, { vm: "entry-1" });
        rolling.simulation.runUntil(() => node.world.tables.node.memberLease.id !== undefined);
        node.faults.storeAnswersToLose = 3;
        rolling.simulation.runFor(15_000);
        const [row] = rolling.simulation.store.listRange(placementKey, undefined);
        expect(node.world.tables.orders.role).toMatchObject({ state: "owner", fencing: row?.createRevision });
    });

    // Guards against a role whose fencing number every checking engine refuses for ever.
    it("gives the role up when an engine has seen a higher fencing number, and acquires it again", async () => {
        const rolling = createRolling(2, { checksFencing: true });
        const { simulation, engines } = rolling;
        await startSimulatedNode(simulation, { vm: "entry-1" });
        simulation.runFor(10_000);
        const [before] = simulation.store.listRange(placementKey, undefined);
        const fence = (before?.createRevision ?? 0) + 1;
        engines[0]?.handleOrder({ order: { fencing: fence, version: "v1" } } as never, () => undefined);
        rolling.writeVersions(2, "v2", "v2");
        simulation.runUntil(() => measureVersion(rolling, "v2") === 2);
        const [after] = simulation.store.listRange(placementKey, undefined);
        expect(after?.createRevision).toBeGreaterThan(fence);
        expect(engines[0]?.orders.map(order => order.accepted)).toEqual([true, false, true]);
    });
});
