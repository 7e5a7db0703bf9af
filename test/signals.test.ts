import { EventEmitter } from "node:events";
import { describe, expect, it } from "vitest";
import { createSignalQueue, type SignalName } from "../src/cli/signals";

describe("signals of a process", () => {
    it("are kept while the program starts, because a signal without a handler would end it", () => {
        const source = new EventEmitter();
        const inbox = createSignalQueue(source);
        const seen: SignalName[] = [];
        source.emit("SIGHUP");
        source.emit("SIGTERM");
        expect(source.listenerCount("SIGHUP")).toBe(1);
        inbox.subscribe({
            SIGTERM: () => seen.push("SIGTERM"),
            SIGINT: () => seen.push("SIGINT"),
            SIGHUP: () => seen.push("SIGHUP"),
        });
        expect(seen).toEqual(["SIGHUP", "SIGTERM"]);
        source.emit("SIGINT");
        expect(seen).toEqual(["SIGHUP", "SIGTERM", "SIGINT"]);
    });
});
