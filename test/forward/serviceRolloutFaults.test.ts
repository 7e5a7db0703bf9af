/** Rollouts of service versions while a process, a link or the store fails, and the bound on the share over histories. */
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    canaryShare,
    canarySlack,
    countServed,
    maxWatchMs,
    type RolloutFleet,
    startRolloutFleet,
} from "../support/rolloutFleet";
import type { RolloutFleetOptions, ServerLoad } from "../support/rolloutFleetTypes";

const periodMs = 12_000;

/** Requests to the ordered version beyond the bound between the order and the end of its period. */
function computeExcess({ served }: RolloutFleet, orderedAt: number): number {
    const inPeriod = served.filter(({ at }) => at >= orderedAt && at < orderedAt + periodMs);
    const trial = inPeriod.filter(({ version }) => version === "v2").length;
    return trial - canaryShare * inPeriod.length - canarySlack;
}

async function startOrdered(options: RolloutFleetOptions = {}) {
    const fleet = await startRolloutFleet({ ...options, newServers: 0 });
    fleet.addServers("v2", 6);
    const orderedAt = fleet.getNow();
    fleet.order("v2");
    return { fleet, orderedAt };
}

const createFailingAnswer = (share: number) => (load: ServerLoad) =>
    load.version === "v2" && load.random < share ? { ms: 30, status: 500 } : undefined;

const getStates = (fleet: RolloutFleet) =>
    fleet.nodes.filter(({ isDown }) => !isDown).map(({ test }) =>
        [...test.world.tables.serviceRollouts.rows.values()].map(({ current }) => current?.state)
    );

describe("a decider that is killed", () => {
    // Guards against a rollout that ends with its decider, at each of its steps.
    for (const killedAfterMs of [20, 300, 4000, 7500, 8600, 9200]) {
        it(`${killedAfterMs} ms after the order leaves a good version that completes, with nothing under way on the old`, async () => {
            const { fleet } = await startOrdered();
            fleet.run(killedAfterMs);
            fleet.killNode(fleet.findLeader());
            fleet.run(2 * periodMs - killedAfterMs);
            expect(fleet.statuses.map(({ state }) => state)).toEqual(["serving", "completed"]);
            expect(fleet.statuses.at(-1)?.openOnOthers).toBe(0);
            expect(new Set(getStates(fleet).flat())).toEqual(new Set(["completed"]));
        });

        it(`${killedAfterMs} ms after the order leaves a bad version that is rolled back`, async () => {
            const { fleet, orderedAt } = await startOrdered({ answer: createFailingAnswer(0.3) });
            fleet.run(killedAfterMs);
            fleet.killNode(fleet.findLeader());
            fleet.run(periodMs - killedAfterMs);
            expect(fleet.getStatus()).toBe("rolled_back");
            expect(computeExcess(fleet, orderedAt)).toBeLessThanOrEqual(0);
        });
    }
});

describe("a decider that is suspended", () => {
    // Guards against a state that goes back because a decider writes what it knew before another one took over.
    for (const share of [0, 0.3]) {
        it(`changes nothing that its successor has decided about a version with ${share * 100} % failures`, async () => {
            const { fleet } = await startOrdered({ answer: createFailingAnswer(share) });
            fleet.run(3000);
            const suspended = fleet.findLeader();
            fleet.suspendNode(suspended);
            fleet.run(periodMs);
            fleet.resumeNode(suspended, periodMs);
            fleet.run(periodMs);
            const final = share === 0 ? "completed" : "rolled_back";
            expect(fleet.statuses.map(({ state }) => state)).toEqual(["serving", final]);
            expect(fleet.findLeader()).not.toBe(suspended);
        });
    }
});

describe("a fleet that is split", () => {
    it("sends a bad version no more than its share, and rolls it back", async () => {
        const { fleet, orderedAt } = await startOrdered({ nodes: 8, answer: createFailingAnswer(0.5) });
        [0, 1, 2, 3].forEach(index => {
            fleet.setGroup(index, 1);
        });
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("rolled_back");
        expect(computeExcess(fleet, orderedAt)).toBeLessThanOrEqual(0);
    });

    // Guards against old servers that stop under requests of a process that the decider cannot reach.
    it("completes a good version only once requests of an unreachable process have ended", async () => {
        const answerSlowly = (load: ServerLoad) => ({ ms: load.version === "v1" && load.random < 0.03 ? 1100 : 60 });
        const { fleet } = await startOrdered({ nodes: 4, answer: answerSlowly });
        fleet.run(3000);
        fleet.setGroup((fleet.findLeader() + 1) % 4, 1);
        fleet.run(2 * periodMs);
        expect(fleet.getStatus()).toBe("completed");
        expect(fleet.statuses.at(-1)?.openOnOthers).toBe(0);
    });
});

describe("a store that is away", () => {
    it("changes no state, and lets nothing more reach a version that is found bad meanwhile", async () => {
        const { fleet, orderedAt } = await startOrdered({ answer: createFailingAnswer(0.5) });
        const hasStarted = () => fleet.getStatus() === "serving" && getStates(fleet).flat().length === 6;
        while (!hasStarted() && fleet.getNow() < orderedAt + 2 * maxWatchMs) {
            fleet.run(20);
        }
        fleet.setStoreAway(true);
        fleet.run(6000);
        const checkedAt = fleet.getNow();
        fleet.run(3000);
        expect(fleet.getStatus()).toBe("serving");
        expect(countServed(fleet, "v2", checkedAt)).toBe(0);
        fleet.setStoreAway(false);
        fleet.run(6000);
        expect(fleet.getStatus()).toBe("rolled_back");
        expect(computeExcess(fleet, orderedAt)).toBeLessThanOrEqual(0);
    });

    it("delays the end of a good version until it is back", async () => {
        const { fleet } = await startOrdered();
        fleet.run(5000);
        fleet.setStoreAway(true);
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("serving");
        fleet.setStoreAway(false);
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("completed");
        expect(fleet.statuses.at(-1)?.openOnOthers).toBe(0);
    });
});

describe("a process that restarts", () => {
    it("keeps a version that was rolled back without requests", async () => {
        const { fleet } = await startOrdered({ answer: createFailingAnswer(0.5) });
        fleet.run(periodMs);
        const rolledBackAt = fleet.getNow();
        for (const index of [0, 1, 2]) {
            await fleet.restartNode(index);
        }
        fleet.run(3000);
        expect(countServed(fleet, "v2", rolledBackAt)).toBe(0);
    });
});

type Step = (fleet: RolloutFleet) => Promise<void> | void;

const nodeCount = 5;
const anyIndex = fc.integer({ min: 0, max: nodeCount - 1 });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
    anyIndex.map((index): Step => fleet => fleet.restartNode(index)),
    fc.tuple(anyIndex, fc.integer({ min: 0, max: 2 })).map(([index, group]): Step => fleet => {
        fleet.setGroup(index, group);
    }),
    fc.boolean().map((isAway): Step => fleet => {
        fleet.setStoreAway(isAway);
    }),
    fc.constant<Step>(fleet => fleet.restartNode(Math.max(0, fleet.findLeader()))),
    fc.constant<Step>(() => undefined),
);

describe("generated histories of a rollout", () => {
    // Guards against shares that add up to more than the bound when processes restart, are cut off or lose the store.
    it("keep the requests to a bad version within its share and the slack", async () => {
        let trialCount = 0;
        const property = fc.asyncProperty(
            fc.integer({ min: 1, max: 1000 }),
            fc.constantFrom(0.4, 0.7, 1),
            fc.constantFrom(20, 80, 200),
            fc.array(fc.tuple(anyStep, fc.integer({ min: 100, max: 3000 })), { minLength: 2, maxLength: 10 }),
            async (seed, share, rate, steps) => {
                const { fleet, orderedAt } = await startOrdered({
                    nodes: nodeCount,
                    seed,
                    rates: { main: rate },
                    answer: createFailingAnswer(share),
                });
                for (const [step, ms] of steps) {
                    await step(fleet);
                    fleet.run(ms);
                }
                trialCount += countServed(fleet, "v2", orderedAt);
                expect(computeExcess(fleet, orderedAt)).toBeLessThanOrEqual(0);
                expect(fleet.statuses.map(({ state }) => state)).not.toContain("completed");
            },
        );
        await fc.assert(property, { numRuns: 40, seed: 20261206 });
        expect(trialCount).toBeGreaterThan(100);
    }, 120_000);
});
