import { describe, expect, it } from "vitest";
import { subscribeToUncaughtErrors } from "../src/cli/uncaughtErrors";

describe("an error that nobody has contained", () => {
    // Guards against ORDER: the exit closes the connections of unframed streams in the orderly way.
    it.each([
        { what: "open responses can be ended", hasBrokenStop: false },
        { what: "the state is too broken for it", hasBrokenStop: true },
    ])("is logged and ends the process after its open responses, if $what", ({ hasBrokenStop }) => {
        const steps: string[] = [];
        let handleError: (error: Error) => void = () => undefined;
        subscribeToUncaughtErrors({
            write: text => steps.push(`log ${(JSON.parse(text) as { message: string; }).message}`),
            stop: () => {
                steps.push("stop");
                if (hasBrokenStop) {
                    throw new Error("The state is broken.");
                }
            },
            source: {
                on: (_event, handler) => {
                    handleError = handler;
                },
                exit: code => {
                    steps.push(`exit ${code}`);
                },
            },
        });
        try {
            handleError(new Error("unexpected"));
        }
        catch {
            // The process has ended at this point.
        }
        expect(steps).toEqual(["log drain: Unexpected failure.", "stop", "exit 1"]);
    });
});
