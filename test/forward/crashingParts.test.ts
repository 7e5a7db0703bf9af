import { describe, expect, it } from "vitest";
import { quarantinePrefix } from "../../src/forward/codec/fleetRows";
import { toPartId } from "../../src/forward/ids";
import { toMillis, toTargetId } from "../../src/ids";
import { type EngineFleet, startEngineFleet } from "../support/engineFleet";

const crashingPart = "crashing";
/** Time after the fifth crash by which processes that reach the store and each other must have stopped. */
const boundMs = 3000;
/** Requests with the part that may still be sent after the bound. */
const allowedAttempts = 3;

/**
 * Sends requests to all processes in turn: sound ones, which share the first part and one of four files, and every
 * tenth with the crashing part under the same first part and file as a sound one.
 */
function sendTraffic(fleet: EngineFleet, ms: number, shouldCrash = true): void {
    const intervalMs = 60;
    for (let elapsed = 0; elapsed < ms; elapsed += intervalMs) {
        const number = Math.round(fleet.getNow() / intervalMs);
        const file = `file-${number % 4}`;
        const isCrashing = shouldCrash && number % 10 === 0;
        fleet.send(number % fleet.nodes.length, `r${number}`, ["root", file, ...(isCrashing ? [crashingPart] : [])]);
        fleet.run(intervalMs);
    }
}

const crashingPartKey = `${quarantinePrefix}${crashingPart}`;
const isQuarantineKey = (key: string): boolean => key.startsWith(quarantinePrefix);

/** Parts in quarantine, by process. */
const listQuarantined = ({ nodes }: EngineFleet): string[][] =>
    nodes.map(({ test }) =>
        test.world.tables.quarantine.list()
            .filter(({ activeUntil }) => activeUntil > test.getNow())
            .map(({ part }) => part)
    );

const listCrashingAttempts = ({ attempts }: EngineFleet, after = 0) =>
    attempts.filter(({ parts, at }) => parts.includes(crashingPart) && at > after);

describe("a prompt part under which engines crash", () => {
    // Guards against engines that end one after the other, because no process links their end to the part.
    it("is not sent to engines any more within the bound after the fifth crash", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 12_000);
        const fifthCrash = fleet.crashes[4] ?? Infinity;
        expect(listCrashingAttempts(fleet, fifthCrash + boundMs).length).toBeLessThanOrEqual(allowedAttempts);
    });

    // Guards against crashes that are forgotten before enough others follow.
    it.each([16_000, 120_000])("is blamed for crashes that come %i ms apart", async pauseMs => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        for (let round = 0; round < 7; round += 1) {
            for (const node of [0, 1, 2]) {
                fleet.send(node, `r${round}-${node}`, ["root", `file-${node}`, crashingPart]);
            }
            sendTraffic(fleet, 1500, false);
            fleet.run(pauseMs - 1500);
        }
        const fifthCrash = fleet.crashes[4] ?? Infinity;
        expect(listCrashingAttempts(fleet, fifthCrash + boundMs).length).toBeLessThanOrEqual(allowedAttempts);
        expect(fleet.listRowKeys().filter(isQuarantineKey)).toEqual([crashingPartKey]);
    });

    // Guards against a crash that is taken for the end of an answer, since the answer has no length and no chunks.
    it("is blamed when engines end as they begin an answer without framing", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart], isUnframed: true });
        sendTraffic(fleet, 12_000);
        const fifthCrash = fleet.crashes[4] ?? Infinity;
        expect(listCrashingAttempts(fleet, fifthCrash + boundMs).length).toBeLessThanOrEqual(allowedAttempts);
        expect(listQuarantined(fleet)).toEqual([[crashingPart], [crashingPart], [crashingPart], [crashingPart]]);
    });

    // Guards against sound requests that are refused because they share other parts with the crashing ones.
    it("is the only part that is blamed, and requests without it are served", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 6000);
        const firstAttempt = fleet.attempts.length;
        sendTraffic(fleet, 6000);
        expect(fleet.listRowKeys().filter(isQuarantineKey)).toEqual([crashingPartKey]);
        expect(listQuarantined(fleet)).toEqual([[crashingPart], [crashingPart], [crashingPart], [crashingPart]]);
        expect(fleet.attempts.length - firstAttempt).toBe(90);
    });

    it("is refused at once as not run, until the quarantine ends", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 8000);
        fleet.send(1, "late", ["another root", crashingPart]);
        fleet.run(100);
        const refusal = fleet.refusals.find(({ request }) => request === "late")?.refusal;
        expect(refusal).toMatchObject({ code: "prompt_quarantined", verdict: "not_run" });
        expect(refusal?.retryAfterSeconds).toBeGreaterThan(50);
        expect(refusal?.retryAfterSeconds).toBeLessThanOrEqual(60);
    });

    // Guards against a request that an engine has queued and that would crash it after the part was blamed.
    it("is withdrawn from engines that have not begun to answer it, and not reported as not run", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 8000);
        const crashCount = fleet.crashes.length;
        fleet.deleteRow(crashingPartKey);
        fleet.run(100);
        fleet.send(0, "queued", ["root", crashingPart]);
        fleet.run(40);
        fleet.writeRow(crashingPartKey, { part: crashingPart, endsAt: fleet.getWallNow() + 60_000, offences: 1 });
        fleet.run(1000);
        expect(fleet.crashes).toHaveLength(crashCount);
        const refusal = fleet.refusals.find(({ request }) => request === "queued")?.refusal;
        expect(refusal).toMatchObject({ code: "target_failed", verdict: "may_have_run" });
        expect(refusal?.retryAfterSeconds).toBeUndefined();
    });

    // Guards against sound parts that are blamed for the crash of an engine from which the request was withdrawn late.
    it("stays a suspect on the engine from which it was withdrawn", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        fleet.send(0, "queued", ["root", crashingPart]);
        fleet.run(40);
        fleet.writeRow(crashingPartKey, { part: crashingPart, endsAt: fleet.getWallNow() + 60_000, offences: 1 });
        fleet.run(100);
        const target = fleet.attempts[0]?.target;
        const crash = target && fleet.nodes[0]?.test.world.tables.crashes.get(target);
        expect(crash?.suspects.has(toPartId(crashingPart))).toBe(true);
    });

    // Guards against a restarted process that sends the part again because only its earlier run knew of it.
    it("is known to a process that starts later, before it sends its first request", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 8000);
        const crashCount = fleet.crashes.length;
        await fleet.restartNode(2);
        fleet.send(2, "after restart", ["root", crashingPart]);
        fleet.run(1000);
        expect(fleet.crashes).toHaveLength(crashCount);
    });

    // Guards against knowledge that spreads through the store alone.
    it("is blamed by all processes while the store answers none of them", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        fleet.nodes.forEach((_, index) => {
            fleet.cutFromStore(index);
        });
        sendTraffic(fleet, 12_000);
        expect(listQuarantined(fleet)).toEqual([[crashingPart], [crashingPart], [crashingPart], [crashingPart]]);
        expect(fleet.crashes.length).toBeLessThanOrEqual(8);
    });

    it("is blamed by a process that reaches no other, which then tells them through the store", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        fleet.cutFromPeers(0);
        for (let number = 0; number < 8; number += 1) {
            fleet.send(0, `r${number}`, ["root", "file", crashingPart]);
            fleet.send(0, `sound${number}`, ["root", "file"]);
            fleet.run(800);
        }
        fleet.run(4000);
        expect(listQuarantined(fleet)).toEqual([[crashingPart], [crashingPart], [crashingPart], [crashingPart]]);
    });

    it("is sent again after an operator has cleared it, and blamed again only for new crashes", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 8000);
        fleet.deleteRow(crashingPartKey);
        fleet.run(2000);
        expect(listQuarantined(fleet)).toEqual([[], [], [], []]);
        const crashCount = fleet.crashes.length;
        sendTraffic(fleet, 6000);
        expect(fleet.crashes.length).toBeGreaterThanOrEqual(crashCount + 3);
        expect(listQuarantined(fleet)).toEqual([[crashingPart], [crashingPart], [crashingPart], [crashingPart]]);
    });

    // Guards against a crash on every process when a quarantine ends.
    it("is tried with one request of the fleet when its quarantine ends; a crash then begins a longer one", async () => {
        const fleet = await startEngineFleet({ crashingParts: [crashingPart] });
        fleet.writeRow(crashingPartKey, { part: crashingPart, endsAt: fleet.getWallNow() + 3000, offences: 2 });
        fleet.run(3500);
        for (let node = 0; node < 8; node += 1) {
            fleet.send(node % 4, `again ${node}`, ["root", crashingPart]);
        }
        fleet.run(6000);
        expect(listCrashingAttempts(fleet)).toHaveLength(1);
        expect(fleet.crashes).toHaveLength(1);
        expect(fleet.refusals.filter(({ refusal }) => refusal.code === "prompt_quarantined")).toHaveLength(7);
        fleet.nodes.forEach(({ test }) => {
            expect(test.world.tables.quarantine.get(toPartId(crashingPart))?.offences).toBe(3);
        });
    });

    // Guards against a sound part that stays refused because no request can prove that it is sound.
    it("is served again by all processes once a trial was answered", async () => {
        const fleet = await startEngineFleet();
        fleet.writeRow(crashingPartKey, { part: crashingPart, endsAt: fleet.getWallNow() + 1000, offences: 1 });
        fleet.run(1500);
        for (let node = 0; node < 4; node += 1) {
            fleet.send(node, `trial ${node}`, ["root", crashingPart]);
        }
        fleet.run(1000);
        expect(fleet.listRowKeys().filter(isQuarantineKey)).toEqual([]);
        for (let node = 0; node < 4; node += 1) {
            fleet.send(node, `after ${node}`, ["root", crashingPart]);
        }
        fleet.run(1000);
        expect(listCrashingAttempts(fleet)).toHaveLength(5);
    });
});

describe("engines that end for other reasons", () => {
    // Guards against popular parts that are blamed because requests with them run on every engine.
    it("let no part be blamed when they end one after the other", async () => {
        const fleet = await startEngineFleet({ engines: 12 });
        for (let crash = 0; crash < 12; crash += 1) {
            sendTraffic(fleet, 500, false);
            fleet.crashEngine(crash);
        }
        sendTraffic(fleet, 4000, false);
        expect(fleet.crashes.length).toBeGreaterThan(8);
        expect(listQuarantined(fleet)).toEqual([[], [], [], []]);
    });

    // Guards against a sound part that collects crashes over a long time, after its answers have been forgotten.
    it("stop counting against a part on all processes when one of them sees it answered later", async () => {
        const fleet = await startEngineFleet();
        fleet.nodes.forEach(({ test }) => {
            const crash = test.world.tables.crashes.add(toTargetId("e9-1@1"), toMillis(test.getNow()));
            crash.isConfirmed = true;
            ["sound", "unanswered"].forEach((part, depth) => {
                crash.suspects.set(toPartId(part), depth);
            });
        });
        const listSuspects = (): string[][] =>
            fleet.nodes.map(({ test }) => test.world.tables.crashes.list().flatMap(row => [...row.suspects.keys()]));
        fleet.run(60_000);
        expect(listSuspects()).toEqual(fleet.nodes.map(() => ["sound", "unanswered"]));
        fleet.send(0, "answered", ["root", "sound"]);
        fleet.run(15_000);
        expect(listSuspects()).toEqual(fleet.nodes.map(() => ["unanswered"]));
    });

    // Guards against crashes that are kept, and told to peers, although all parts in them were answered since.
    it("are forgotten once all parts that were on them have been answered", async () => {
        const fleet = await startEngineFleet();
        sendTraffic(fleet, 2000, false);
        fleet.crashEngine(0);
        sendTraffic(fleet, 45_000, false);
        expect(fleet.crashes).toHaveLength(1);
        expect(fleet.nodes.map(({ test }) => test.world.tables.crashes.list())).toEqual([[], [], [], []]);
    });

    it("let no part be blamed when most of them end at the same moment", async () => {
        const fleet = await startEngineFleet();
        for (const files of [["file-1"], ["file-1"], ["file-1"], ["file-1"]]) {
            files.forEach((file, index) => {
                fleet.send(index, `rare-${fleet.getNow()}`, ["rare root", file]);
            });
            fleet.run(20);
        }
        [0, 1, 2, 3, 4, 5].forEach(fleet.crashEngine);
        fleet.run(5000);
        expect(listQuarantined(fleet)).toEqual([[], [], [], []]);
    });

    it("let no part be blamed for connections that are lost while the engine answers others", async () => {
        const fleet = await startEngineFleet();
        for (let lost = 0; lost < 6; lost += 1) {
            fleet.send(0, `r${lost}`, ["root", "file"]);
            fleet.run(40);
            fleet.loseRequest(0, `r${lost}`);
            sendTraffic(fleet, 1000, false);
        }
        expect(listQuarantined(fleet)).toEqual([[], [], [], []]);
    });
});
