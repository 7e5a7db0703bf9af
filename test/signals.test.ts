import { EventEmitter } from "node:events";
import { describe, expect, it } from "vitest";
import { createSignalQueue, type SignalName } from "../src/cli/signals";

describe("signals of a process", () => {
    it("are kept while the program starts, because a signal without a handler would end it", () => {
        const source = new EventEmitter();
        const queue = createSignalQueue(source);
        const receivedSignals: SignalName[] = [];
        source.emit("SIGHUP");
        source.emit("SIGTERM");
        expect(source.listenerCount("SIGHUP")).toBe(1);
        queue.subscribe({
            SIGTERM: () => receivedSignals.push("SIGTERM"),
            SIGINT: () => receivedSignals.push("SIGINT"),
            SIGHUP: () => receivedSignals.push("SIGHUP"),
        });
        expect(receivedSignals).toEqual(["SIGHUP", "SIGTERM"]);
        source.emit("SIGINT");
        expect(receivedSignals).toEqual(["SIGHUP", "SIGTERM", "SIGINT"]);
    });
});
