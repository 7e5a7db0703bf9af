/** Placement: rolling changes of model versions, and the owner role under faults. */
import { describe, expect, it } from "vitest";
import { createProcessClock } from "../src/adapters/clock";
import { createTargetReader } from "../src/adapters/targetReader";
import { toFencingToken, toMillis, toModelId, toModelVersion, toOrderId, toTargetId } from "../src/ids";
import { placementKey } from "../src/systems/placementRole";
import { startEngine } from "../standins/engine";
import { waitUntil } from "./support/fleet";
import { addSimulatedEngine, type SimulatedEngine, type SimulatedEngineOptions } from "./support/simulatedEngine";
import { createSimulation, type Simulation, startSimulatedNode } from "./support/virtualFleet";

interface RollingChange {
    readonly simulation: Simulation;
    readonly engines: readonly SimulatedEngine[];
    readonly observed: { maxLoading: number; };
    /** Returns the smallest number of ready engines of a version since the start. */
    getMinReady(version: string): number;
    writeVersions(configVersion: number, desired: string | readonly string[], routeVersion: string): void;
}

function createRollingChange(count: number, options: Partial<SimulatedEngineOptions> = {}): RollingChange {
    const simulation = createSimulation();
    const engines = Array.from(
        { length: count },
        (_, index) => addSimulatedEngine(simulation, { address: `10.1.0.${index + 1}:80`, version: "v1", ...options }),
    );
    const observed = { maxLoading: 0 };
    const minReadyByVersion = new Map<string, number>();
    const measureEngines = (): void => {
        const states = engines.map(engine => engine.getState());
        observed.maxLoading = Math.max(observed.maxLoading, states.filter(({ state }) => state === "loading").length);
        for (const version of ["v1", "v2"]) {
            const ready = states.filter(entry => entry.state === "ready" && entry.version === version).length;
            minReadyByVersion.set(version, Math.min(minReadyByVersion.get(version) ?? Infinity, ready));
        }
        simulation.schedule(5, measureEngines);
    };
    measureEngines();
    const writeVersions: RollingChange["writeVersions"] = (configVersion, desired, routeVersion) => {
        simulation.writeConfiguration(configVersion, {
            models: { copywriter: {} },
            routes: { catalogue: { kind: "model", model: "copywriter", version: routeVersion } },
            targets: Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {
                kind: "engine",
                address: engine.address,
                dataCentre: "dc-1",
                model: "copywriter",
                version: typeof desired === "string" ? desired : desired[index],
            }])),
        });
    };
    writeVersions(1, "v1", "v1");
    return {
        simulation,
        engines,
        observed,
        getMinReady: version => minReadyByVersion.get(version) ?? 0,
        writeVersions,
    };
}

const countReadyEngines = ({ engines }: RollingChange, version: string): number =>
    engines.filter(engine => engine.getState().state === "ready" && engine.getState().version === version).length;

// Guards against an order that waits in the process and is sent after its owner's lease has expired.
it("does not send an order after its owner's lease has expired", async () => {
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
        fencingToken: toFencingToken(7),
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
    reader.sendOrder({ ...base, expiresAt: toMillis(performance.now() - 1) });
    await waitUntil(() => outcomes.length === 1);
    expect([outcomes, engine.orders.length]).toEqual([["not_sent"], 0]);
    reader.sendOrder({ ...base, expiresAt: toMillis(performance.now() + 60_000) });
    await waitUntil(() => outcomes.length === 2);
    expect([outcomes[1], engine.orders.length]).toEqual(["accepted", 1]);
    reader.close();
    await engine.stop();
});

describe("placement", () => {
    it("loads at most two engines at once and keeps the last engine of a version that a route uses", async () => {
        const rollingChange = createRollingChange(5);
        await startSimulatedNode(rollingChange.simulation, { vm: "entry-1" });
        rollingChange.simulation.runFor(10_000);
        rollingChange.writeVersions(2, "v2", "v1");
        rollingChange.simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 4);
        rollingChange.simulation.runFor(30_000);
        expect(countReadyEngines(rollingChange, "v1")).toBe(1);
        rollingChange.writeVersions(3, "v2", "v2");
        rollingChange.simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 5);
        expect(rollingChange.observed.maxLoading).toBe(2);
        expect(rollingChange.engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1, 1]);
    });

    // Guards against a second order while an engine loads for an order whose answer was lost, which would exceed the
    // load limit.
    it("does not repeat an order whose answer was lost, and repeats an order that never arrived", async () => {
        const rollingChange = createRollingChange(4, { loadMs: 3000 });
        const [firstEngine, secondEngine] = rollingChange.engines;
        await startSimulatedNode(rollingChange.simulation, { vm: "entry-1" });
        rollingChange.simulation.runFor(10_000);
        rollingChange.engines.forEach(engine => {
            engine.faults.orderAnswersToLose = engine === firstEngine ? 1 : 0;
            engine.faults.ordersToLose = engine === secondEngine ? 1 : 0;
        });
        rollingChange.writeVersions(2, "v2", "v2");
        rollingChange.simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 4);
        expect(rollingChange.engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1]);
        expect(rollingChange.observed.maxLoading).toBe(2);
    });

    // Guards against two broken engines that use up the load limit permanently.
    it("loads other engines while some engines never load", async () => {
        const rollingChange = createRollingChange(6);
        await startSimulatedNode(rollingChange.simulation, { vm: "entry-1" });
        rollingChange.simulation.runFor(10_000);
        rollingChange.engines.slice(0, 2).forEach(engine => {
            engine.faults.ordersToLose = Infinity;
        });
        rollingChange.writeVersions(2, "v2", "v2");
        rollingChange.simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 4, 20_000);
        rollingChange.engines.slice(0, 2).forEach(engine => {
            engine.faults.ordersToLose = 0;
        });
        rollingChange.simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 6);
        expect(rollingChange.observed.maxLoading).toBe(2);
    });

    it("repeats an order after the engine crashed while loading", async () => {
        const rollingChange = createRollingChange(3, { loadMs: 1500 });
        const [firstEngine] = rollingChange.engines;
        await startSimulatedNode(rollingChange.simulation, { vm: "entry-1" });
        rollingChange.simulation.runFor(10_000);
        rollingChange.writeVersions(2, "v2", "v2");
        rollingChange.simulation.runUntil(() => firstEngine?.getState().state === "loading");
        rollingChange.simulation.runFor(500);
        firstEngine?.crash();
        rollingChange.simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 3);
        expect(firstEngine?.orders.length).toBe(2);
        expect(rollingChange.observed.maxLoading).toBe(2);
    });

    it.each([true, false])(
        "recovers from the late orders of a paused owner (fencing checked: %s)",
        async isFencingChecked => {
            const rollingChange = createRollingChange(4, { checksFencing: isFencingChecked });
            const { simulation, engines } = rollingChange;
            const nodes = [
                await startSimulatedNode(simulation, { vm: "entry-1" }),
                await startSimulatedNode(simulation, { vm: "entry-2", seed: 7 }),
            ];
            simulation.runFor(10_000);
            const owner = nodes.find(node => node.world.tables.orders.role.state === "owner");
            engines.forEach(engine => {
                engine.faults.orderDelayMs = 30_000;
            });
            rollingChange.writeVersions(2, "v2", "v1");
            simulation.runUntil(() => (owner?.world.tables.orders.size ?? 0) > 0);
            owner?.pause();
            engines.forEach(engine => {
                engine.faults.orderDelayMs = 1;
            });
            // Replaces v2 by v3 while the orders of the paused owner are still in flight.
            rollingChange.writeVersions(3, "v3", "v1");
            simulation.runFor(25_000);
            expect(countReadyEngines(rollingChange, "v3")).toBe(3);
            simulation.runFor(15_000);
            owner?.resume();
            simulation.runFor(20_000);
            expect(countReadyEngines(rollingChange, "v3")).toBe(3);
            expect(countReadyEngines(rollingChange, "v1")).toBe(1);
            expect(rollingChange.getMinReady("v1")).toBe(1);
            const lateOrders = engines.flatMap(engine => engine.orders).filter(order => order.version === "v2");
            expect(lateOrders.length).toBeGreaterThan(0);
            const hasLaterOrder = engines.flatMap(engine => engine.orders).some(order => order.version === "v3");
            expect(hasLaterOrder).toBe(true);
            expect(rollingChange.observed.maxLoading).toBeLessThanOrEqual(2);
        },
    );

    // Guards against a new owner that sends orders while orders of the former owner are still in flight.
    it("sends no orders until those of the former owner have appeared in reports", async () => {
        const rollingChange = createRollingChange(4, { loadMs: 3000 });
        const { simulation, engines } = rollingChange;
        const nodes = [
            await startSimulatedNode(simulation, { vm: "entry-1" }),
            await startSimulatedNode(simulation, { vm: "entry-2", seed: 7 }),
        ];
        simulation.runFor(10_000);
        const owner = nodes.find(node => node.world.tables.orders.role.state === "owner");
        engines.forEach(engine => {
            engine.faults.orderDelayMs = 1900;
        });
        rollingChange.writeVersions(2, ["v1", "v1", "v2", "v2"], "v1");
        simulation.runUntil(() => owner?.world.tables.orders.size === 2);
        owner?.pause();
        simulation.store.revokeLease(owner?.world.tables.node.memberLease.id ?? "");
        rollingChange.writeVersions(3, "v2", "v2");
        engines.forEach(engine => {
            engine.faults.orderDelayMs = 1;
        });
        simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 4);
        expect(rollingChange.observed.maxLoading).toBe(2);
        expect(engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1]);
    });

    // Guards against an owner that keeps sending orders on an expired lease, when another process may be the owner.
    it("sends no orders after its lease expired in a store outage, and resumes afterwards", async () => {
        const rollingChange = createRollingChange(8, { loadMs: 3000 });
        const { simulation, engines } = rollingChange;
        await startSimulatedNode(simulation, { vm: "entry-1" });
        simulation.runFor(10_000);
        rollingChange.writeVersions(2, "v2", "v2");
        simulation.runUntil(() => countReadyEngines(rollingChange, "v2") > 0);
        const outageStartedAt = simulation.getNow();
        simulation.faults.isStoreDown = true;
        simulation.runFor(60_000);
        const times = engines.flatMap(engine => engine.orders.map(order => order.at));
        expect(Math.max(...times)).toBeLessThan(outageStartedAt + 4000);
        simulation.store.extendLeases();
        simulation.faults.isStoreDown = false;
        simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 8);
        expect(rollingChange.observed.maxLoading).toBe(2);
        expect(engines.map(engine => engine.orders.length)).toEqual(Array(8).fill(1));
    });

    it("recognises its own owner key when the store's answer to its creation was lost", async () => {
        const rollingChange = createRollingChange(1);
        const node = await startSimulatedNode(rollingChange.simulation, { vm: "entry-1" });
        rollingChange.simulation.runUntil(() => node.world.tables.node.memberLease.id !== undefined);
        node.faults.storeAnswersToLose = 3;
        rollingChange.simulation.runFor(15_000);
        const [row] = rollingChange.simulation.store.listRange(placementKey, undefined);
        expect(node.world.tables.orders.role).toMatchObject({ state: "owner", fencingToken: row?.createRevision });
    });

    // Guards against an owner whose fencing token is refused permanently by every engine that checks it.
    it("releases the owner role when an engine received a higher fencing token, and acquires it again", async () => {
        const rollingChange = createRollingChange(2, { checksFencing: true });
        const { simulation, engines } = rollingChange;
        await startSimulatedNode(simulation, { vm: "entry-1" });
        simulation.runFor(10_000);
        const [before] = simulation.store.listRange(placementKey, undefined);
        const fencingToken = (before?.createRevision ?? 0) + 1;
        engines[0]?.handleOrder({ order: { fencingToken, version: "v1" } } as never, () => undefined);
        rollingChange.writeVersions(2, "v2", "v2");
        simulation.runUntil(() => countReadyEngines(rollingChange, "v2") === 2);
        const [after] = simulation.store.listRange(placementKey, undefined);
        expect(after?.createRevision).toBeGreaterThan(fencingToken);
        expect(engines[0]?.orders.map(order => order.accepted)).toEqual([true, false, true]);
    });
});
