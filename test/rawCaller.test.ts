/** The connections with which tests observe the end of a response. */
import { afterEach, describe, expect, it } from "vitest";
import { type LateSender, startLateSender } from "./support/lateSender";
import { openRawCaller } from "./support/rawConnections";

/** Longer than the sender waits between its bytes and the end of the connection. */
const blockedMs = 80;

let sender: LateSender | undefined;

afterEach(() => {
    sender?.process.kill();
});

/** Occupies the event loop, so that bytes and end are read in one go. */
function waitWithoutReading(): void {
    const end = Date.now() + blockedMs;
    while (Date.now() < end) {
        // Nothing is read.
    }
}

describe("a raw caller whose process reads late", () => {
    // Guards against a reset that a test takes for the orderly end of a stream: Node reports an end when the last bytes
    // and the reset are read together, as on a busy machine.
    it.each(["reset", "orderly"] as const)(
        "sees an end that is %s and arrives together with the last bytes",
        async kind => {
            sender = await startLateSender(kind);
            const caller = openRawCaller(sender.address, { onConnected: waitWithoutReading });
            expect(await caller.waitForEnd()).toBe(kind);
            expect(caller.text).toBe("last bytes");
        },
    );
});
