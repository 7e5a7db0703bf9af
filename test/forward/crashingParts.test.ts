import { describe, expect, it } from "vitest";
import { type CrashFleet, startCrashFleet } from "../support/crashFleet";

const crashingPart = "crashing";
/** Time after the fifth crash by which processes that reach the store and each other must have stopped. */
const boundMs = 3000;
/** Requests with the part that may still be sent after the bound. */
const allowedAttempts = 3;

/**
 * Sends requests to all processes in turn: sound ones, which share the first part and one of four files, and every
 * tenth with the crashing part under the same first part and file as a sound one.
 */
function sendTraffic(fleet: CrashFleet, ms: number, shouldCrash = true): void {
    const intervalMs = 60;
    for (let elapsed = 0; elapsed < ms; elapsed += intervalMs) {
        const number = Math.round(fleet.getNow() / intervalMs);
        const file = `file-${number % 4}`;
        const isCrashing = shouldCrash && number % 10 === 0;
        fleet.send(number % fleet.nodes.length, `r${number}`, ["root", file, ...(isCrashing ? [crashingPart] : [])]);
        fleet.run(intervalMs);
    }
}

const listCrashingAttempts = ({ attempts }: CrashFleet, after = 0) =>
    attempts.filter(({ parts, at }) => parts.includes(crashingPart) && at > after);

describe("a prompt part under which engines crash", () => {
    // Guards against engines that end one after the other, because no process links their end to the part.
    it("is not sent to engines any more within the bound after the fifth crash", async () => {
        const fleet = await startCrashFleet({ crashingParts: [crashingPart] });
        sendTraffic(fleet, 12_000);
        const fifthCrash = fleet.crashes[4] ?? Infinity;
        expect(listCrashingAttempts(fleet, fifthCrash + boundMs).length).toBeLessThanOrEqual(allowedAttempts);
    });
});
