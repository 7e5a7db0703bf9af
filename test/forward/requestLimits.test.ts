import { describe, expect, it } from "vitest";
import { type EngineFleet, startEngineFleet } from "../support/engineFleet";

/** Time from the first answer with a limit until processes that reach each other must keep it. */
const boundMs = 3000;
const windowMs = 4000;
/** Requests that an engine may get in any window, for a limit in requests a second. */
const computeAllowed = (perSecond: number): number => 1.5 * perSecond * (windowMs / 1000) + 5;

/** Sends requests to all processes in turn. */
function sendTraffic(fleet: EngineFleet, ms: number, intervalMs = 40): void {
    for (let elapsed = 0; elapsed < ms; elapsed += intervalMs) {
        const number = Math.round(fleet.getNow() / 20);
        fleet.send(Math.floor(number / 2) % fleet.nodes.length, `r${number}`, ["root", `file-${number % 14}`]);
        fleet.run(intervalMs);
    }
}

/** Largest number of requests that one engine got in any window after the time. */
function findBusiestWindow({ attempts }: EngineFleet, after: number): number {
    const counted = attempts.filter(({ at }) => at >= after);
    return Math.max(
        0,
        ...counted.map(first =>
            counted.filter(({ target, at }) => target === first.target && at >= first.at && at < first.at + windowMs)
                .length
        ),
    );
}

describe("a target that names a limit on its requests", () => {
    // Guards against processes that know the limit and go on sending as before.
    it("gets no more from all processes together", async () => {
        const fleet = await startEngineFleet();
        sendTraffic(fleet, 4000);
        fleet.limitEngines(2);
        const namedAt = fleet.getNow();
        sendTraffic(fleet, 16_000);
        expect(findBusiestWindow(fleet, namedAt + boundMs)).toBeLessThanOrEqual(computeAllowed(2));
    });

    // Guards against a process that counts only itself while it hears nothing of the others.
    it("gets no more while a process is cut off from the store and from the others", async () => {
        const fleet = await startEngineFleet();
        sendTraffic(fleet, 4000);
        fleet.limitEngines(3);
        const namedAt = fleet.getNow();
        sendTraffic(fleet, 2000);
        fleet.cutFromStore(1);
        fleet.cutFromPeers(1);
        sendTraffic(fleet, 14_000);
        expect(findBusiestWindow(fleet, namedAt + boundMs)).toBeLessThanOrEqual(computeAllowed(3));
    });

    // Guards against a restarted process that begins with a full share.
    it("gets no more while processes start again one after the other", async () => {
        const fleet = await startEngineFleet();
        sendTraffic(fleet, 4000);
        fleet.limitEngines(3);
        const namedAt = fleet.getNow();
        sendTraffic(fleet, 3000);
        for (const node of [0, 1, 2, 3]) {
            await fleet.restartNode(node);
            sendTraffic(fleet, 1500);
        }
        sendTraffic(fleet, 4000);
        expect(findBusiestWindow(fleet, namedAt + boundMs)).toBeLessThanOrEqual(computeAllowed(3));
    });

    // Guards against single requests of many processes that add up to more than a low limit.
    it("gets no more from a fleet that has more processes than the limit has requests a second", async () => {
        const fleet = await startEngineFleet({ nodes: 16 });
        sendTraffic(fleet, 4000);
        fleet.limitEngines(1);
        const namedAt = fleet.getNow();
        sendTraffic(fleet, 12_000);
        expect(findBusiestWindow(fleet, namedAt + boundMs)).toBeLessThanOrEqual(computeAllowed(1));
    });

    // Guards against shares that are kept for processes without requests and missed by the others.
    it("gets nearly all that its limit allows, also when one process has all requests", async () => {
        const fleet = await startEngineFleet({ engines: 2 });
        fleet.limitEngines(4);
        const seconds = 12;
        const sendToFirst = (count: number): void => {
            for (let number = 0; number < count; number += 1) {
                fleet.send(0, `r${fleet.getNow()}`, ["root", `file-${number % 7}`]);
                fleet.run(60);
            }
        };
        sendToFirst(100);
        const countBefore = fleet.attempts.length;
        sendToFirst(seconds * 1000 / 60);
        expect(fleet.attempts.length - countBefore).toBeGreaterThan(2 * 4 * seconds * 0.85);
    });

    // Guards against requests that wait for a token past their deadlines.
    it("lets requests be refused early, as not run and with the time to come back, when all are at their limits", async () => {
        const fleet = await startEngineFleet({ engines: 2 });
        sendTraffic(fleet, 1000);
        fleet.limitEngines(1);
        sendTraffic(fleet, 4000);
        const sentAt = fleet.getNow();
        fleet.send(0, "late 1", ["root", "file"]);
        fleet.send(0, "late 2", ["root", "file"]);
        fleet.run(100);
        const refusals = fleet.refusals.filter(({ at }) => at >= sentAt);
        expect(refusals.length).toBeGreaterThanOrEqual(1);
        for (const { refusal } of refusals) {
            expect(refusal).toMatchObject({ code: "overloaded", verdict: "not_run" });
            expect(refusal.retryAfterSeconds).toBeGreaterThan(0);
        }
        const [first, second] = fleet.refusals.slice(-2);
        expect(second?.refusal.retryAfterSeconds).toBeGreaterThanOrEqual(first?.refusal.retryAfterSeconds ?? Infinity);
    });

    it("gets everything again once its answers name no limit", async () => {
        const fleet = await startEngineFleet();
        fleet.limitEngines(2);
        sendTraffic(fleet, 6000);
        fleet.limitEngines(undefined);
        sendTraffic(fleet, 2000);
        const refusalCount = fleet.refusals.length;
        sendTraffic(fleet, 3000);
        expect(fleet.refusals.length).toBe(refusalCount);
        expect(fleet.nodes.flatMap(({ test }) => test.world.tables.targets.list().filter(row => row.requestLimit)))
            .toEqual([]);
    });

    it("loses its limit with its run: the next one has none until it names one", async () => {
        const fleet = await startEngineFleet({ engines: 1 });
        fleet.limitEngines(1);
        sendTraffic(fleet, 3000);
        fleet.limitEngines(undefined);
        fleet.crashEngine(0);
        fleet.run(5000);
        const countBefore = fleet.attempts.length;
        sendTraffic(fleet, 2000);
        expect(fleet.attempts.length - countBefore).toBe(50);
    });

    it("is known to processes that it has not answered yet", async () => {
        const fleet = await startEngineFleet({ engines: 1 });
        fleet.limitEngines(2);
        fleet.send(0, "r1", ["root", "file"]);
        fleet.run(1000);
        fleet.nodes.forEach(({ test }) => {
            expect(test.world.tables.targets.list()[0]?.requestLimit?.perSecond).toBe(2);
        });
    });
});
