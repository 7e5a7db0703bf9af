/** Rollouts of service versions by a simulated fleet. */
import { describe, expect, it } from "vitest";
import {
    canaryShare,
    canarySlack,
    countServed,
    maxWatchMs,
    rollbackMs,
    type RolloutFleet,
    startRolloutFleet,
} from "../support/rolloutFleet";
import type { RolloutFleetOptions, ServerLoad } from "../support/rolloutFleetTypes";

const periodMs = 12_000;

/** Requests to the version beyond the bound between the order and the end of its period; at most 0 when it holds. */
function computeExcess({ served }: RolloutFleet, orderedAt: number): number {
    const inPeriod = served.filter(({ at }) => at >= orderedAt && at < orderedAt + periodMs);
    const trial = inPeriod.filter(({ version }) => version === "v2").length;
    return trial - canaryShare * inPeriod.length - canarySlack;
}

/** Milliseconds from the 50th bad answer of the version to the last request that it got; 0 when there were fewer. */
function computeLatestAfterBad({ served }: RolloutFleet, orderedAt: number): number {
    const trial = served.filter(({ version, at }) => version === "v2" && at >= orderedAt);
    const badAnswers = trial.filter(({ isBad }) => isBad).map(({ answersAt }) => answersAt).sort((a, b) => a - b);
    const fiftieth = badAnswers[49];
    return fiftieth === undefined ? 0 : Math.max(0, ...trial.map(({ at }) => at - fiftieth));
}

async function startOrdered(options: RolloutFleetOptions = {}) {
    const fleet = await startRolloutFleet({ ...options, newServers: 0 });
    fleet.addServers("v2", options.newServers ?? 6);
    const orderedAt = fleet.getNow();
    fleet.order("v2");
    return { fleet, orderedAt };
}

/** Runs a rollout of a bad version and checks the bounds. */
async function checkBadVersion(options: RolloutFleetOptions): Promise<void> {
    const { fleet, orderedAt } = await startOrdered(options);
    fleet.run(periodMs);
    expect(fleet.getStatus()).toBe("rolled_back");
    expect(computeExcess(fleet, orderedAt)).toBeLessThanOrEqual(0);
    expect(computeLatestAfterBad(fleet, orderedAt)).toBeLessThanOrEqual(rollbackMs);
    const rolledBackAt = fleet.getNow();
    fleet.run(3000);
    expect(countServed(fleet, "v2", rolledBackAt)).toBe(0);
}

const isNew = ({ version }: ServerLoad): boolean => version === "v2";

describe("a rollout of a good version", () => {
    // Guards against a verdict that a large fleet with few requests for each process cannot reach in the period.
    it("completes in its period with 26 processes and 80 requests a second, with nothing under way on the old", async () => {
        const { fleet, orderedAt } = await startOrdered({ nodes: 26 });
        fleet.run(periodMs);
        expect(fleet.statuses.map(({ state }) => state)).toEqual(["serving", "completed"]);
        const completed = fleet.statuses.at(-1);
        expect(completed?.openOnOthers).toBe(0);
        expect(countServed(fleet, "v1", completed?.at)).toBe(0);
        expect((completed?.at ?? Infinity) - orderedAt).toBeLessThan(periodMs);
    });

    it("completes with three routes of different rates, each of which gets trial requests", async () => {
        const { fleet } = await startOrdered({ rates: { a: 60, b: 20, c: 10 } });
        fleet.run(7000);
        const routes = new Set(fleet.served.filter(({ version }) => version === "v2").map(({ route }) => route));
        expect([...routes].sort()).toEqual(["a", "b", "c"]);
        fleet.run(periodMs - 7000);
        expect(fleet.getStatus()).toBe("completed");
    });

    // Guards against a version that is blamed for the one server that has all trial requests while it hangs.
    it("completes although one of its servers hangs for two seconds", async () => {
        let trialServer: string | undefined;
        let hangsFrom = Infinity;
        const answer = ({ server, version, at }: ServerLoad) => {
            trialServer ??= version === "v2" ? server : undefined;
            const isHanging = server === trialServer && at >= hangsFrom && at < hangsFrom + 2000;
            return isHanging ? { ms: hangsFrom + 2000 - at + 60 } : undefined;
        };
        const { fleet, orderedAt } = await startOrdered({ nodes: 26, answer });
        hangsFrom = orderedAt + 4000;
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("completed");
    });

    // Guards against requests to a version that its order does not name.
    it("sends nothing to a third version that is started without an order", async () => {
        const { fleet } = await startOrdered();
        fleet.run(2 * maxWatchMs);
        fleet.addServers("v3", 3);
        fleet.run(periodMs - 2 * maxWatchMs);
        fleet.removeServers("v1");
        fleet.run(2000);
        expect(countServed(fleet, "v3")).toBe(0);
        expect(fleet.getStatus()).toBe("completed");
    });
});

describe("a version on trial", () => {
    // Guards against a trial that is spread over so many servers that none of them has the load of an old one.
    it("gets its requests on as few servers as have about the load of an old server", async () => {
        const { fleet, orderedAt } = await startOrdered({ oldServers: 24, newServers: 12, rates: { main: 300 } });
        fleet.run(7000);
        const from = orderedAt + 2 * maxWatchMs;
        const trial = fleet.served.filter(({ version, at }) => version === "v2" && at >= from);
        expect(new Set(trial.map(({ server }) => server)).size).toBe(2);
        expect(trial.length / 2).toBeGreaterThan(0.8 * countServed(fleet, "v1", from) / 24);
    });
});

describe("a rollout of a bad version is rolled back within the bounds", () => {
    it("when all its answers fail", () =>
        checkBadVersion({ answer: load => (isNew(load) ? { ms: 30, status: 500 } : undefined) }));

    it("when a third of its answers fail, in a fleet of 26", () =>
        checkBadVersion({
            nodes: 26,
            answer: load => (isNew(load) && load.random < 0.33 ? { ms: 30, status: 500 } : undefined),
        }));

    // Guards against a trial that is spread over so many servers that none of them has any load.
    it("when it fails only under the load of an old server", () =>
        checkBadVersion({
            oldServers: 4,
            newServers: 8,
            rates: { main: 200 },
            answer: load => (isNew(load) && load.underWay >= 3 ? { ms: 30, status: 503 } : { ms: 100 }),
        }));

    it("when it fails on one of three routes only", () =>
        checkBadVersion({
            rates: { a: 60, b: 30, c: 15 },
            answer: load => (isNew(load) && load.route === "c" ? { ms: 30, status: 500 } : undefined),
        }));

    it("when all its answers, or a half of them, are several times slower", async () => {
        await checkBadVersion({ answer: load => (isNew(load) ? { ms: 400 } : undefined) });
        await checkBadVersion({
            seed: 5,
            answer: load => (isNew(load) && load.random < 0.5 ? { ms: 400 } : undefined),
        });
    });

    // Guards against a version that hangs on every server and is excused as single servers that do.
    it("when half of its requests get no answer", () =>
        checkBadVersion({ answer: load => (isNew(load) && load.random < 0.5 ? { ms: 10_000 } : undefined) }));

    it("when it turns bad in the middle of its trial", async () => {
        let turnsBadAt = Infinity;
        const { fleet, orderedAt } = await startOrdered({
            answer: load => (isNew(load) && load.at >= turnsBadAt ? { ms: 30, status: 500 } : undefined),
        });
        turnsBadAt = orderedAt + 5000;
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("rolled_back");
        expect(computeExcess(fleet, orderedAt)).toBeLessThanOrEqual(0);
    });
});

describe("orders", () => {
    it("wait for servers of their version, and complete at once when all servers have it", async () => {
        const fleet = await startRolloutFleet({ newServers: 0 });
        fleet.order("v2");
        fleet.run(4000);
        expect(fleet.getStatus()).toBe("serving");
        fleet.order("v1");
        fleet.run(4000);
        expect(fleet.getStatus()).toBe("completed");
    });

    it("that are withdrawn are rolled back", async () => {
        const { fleet } = await startOrdered();
        fleet.run(4000);
        fleet.order(undefined);
        fleet.run(2 * maxWatchMs);
        expect(fleet.getStatus()).toBe("rolled_back");
        const withdrawnAt = fleet.getNow();
        fleet.run(3000);
        expect(countServed(fleet, "v2", withdrawnAt)).toBe(0);
    });

    it("that cannot be read change nothing", async () => {
        const { fleet } = await startOrdered();
        fleet.run(3000);
        fleet.order(undefined, { text: "{\"to\":" });
        fleet.run(periodMs - 3000);
        expect(fleet.getStatus()).toBe("completed");
    });

    it("back to the version in use end the trial of another", async () => {
        const { fleet } = await startOrdered();
        fleet.run(4000);
        fleet.order("v1");
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("completed");
        expect(countServed(fleet, "v2", fleet.getNow() - 6000)).toBe(0);
    });

    it("to a third version leave nothing for the second", async () => {
        const { fleet } = await startOrdered();
        fleet.run(4000);
        fleet.addServers("v3", 6);
        fleet.order("v3");
        const orderedAt = fleet.getNow();
        fleet.run(periodMs);
        expect(fleet.getStatus()).toBe("completed");
        expect(countServed(fleet, "v2", orderedAt + maxWatchMs)).toBe(0);
    });
});
