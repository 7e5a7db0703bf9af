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
});
