/** Answers of the store to the request for a watch. */
import { afterEach, expect, it } from "vitest";
import { createProcessClock } from "../src/adapters/clock";
import { createStoreClient } from "../src/adapters/storeClient";
import type { Event } from "../src/events";
import { waitUntil } from "./support/platformFleet";
import { startRawTarget } from "./support/rawConnections";

const closers: (() => void)[] = [];

afterEach(() => {
    closers.splice(0).forEach(close => {
        close();
    });
});

const encode = (text: string): string => Buffer.from(text).toString("base64");

const change = JSON.stringify({
    result: {
        header: { revision: "7" },
        events: [{ kv: { key: encode("config"), value: encode("{}"), create_revision: "7", mod_revision: "7" } }],
    },
});

/** Opens a watch at a store that answers with this status and one change, and returns the events up to its end. */
async function openWatch(status: string): Promise<Event["kind"][]> {
    const kinds: Event["kind"][] = [];
    const store = await startRawTarget(socket => {
        socket.end(`HTTP/1.1 ${status}\r\nContent-Length: ${change.length + 1}\r\n\r\n${change}\n`);
    });
    closers.push(store.close);
    const client = createStoreClient({
        address: store.address,
        timeoutMs: 1000,
        clock: createProcessClock(),
        post: event => kinds.push(event.kind),
    });
    closers.push(client.close);
    client.openWatch({ kind: "openWatch", watch: "configuration", key: "config", prefix: true, fromRevision: 1 });
    await waitUntil(() => kinds.includes("watchEnded"));
    return kinds;
}

// Guards against changes that are taken from an answer which is none, or which reports an error.
it.each(["000 OK", "101 Switching Protocols", "500 Internal Server Error"])(
    "a watch that is answered with %s ends without changes",
    async status => {
        expect(await openWatch(status)).toEqual(["watchEnded"]);
    },
);

// Guards against a check that also drops the changes of a sound watch.
it("a watch that is answered with 200 delivers its changes", async () => {
    expect(await openWatch("200 OK")).toEqual(["watchDelivered", "watchEnded"]);
});
