/** Bounds of connections, requests and bodies, in one server and without a network. */
import { EventEmitter } from "node:events";
import type * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createClientBounds } from "../src/adapters/clientBounds";
import { createClientReporter } from "../src/adapters/clientReports";
import { createHttpServer, readBoundedBody, sendJson, startListening } from "../src/adapters/httpServer";
import { BodyDiscardedError, createRequestBodies } from "../src/adapters/requestBodies";
import { type ClientLimitOptions, computeClientLimits } from "../src/policy/clientLimits";
import { chooseClosedConnection } from "../src/policy/connectionChoice";
import { waitUntil } from "./support/platformFleet";
import { openRawCaller, type RawCaller } from "./support/rawConnections";

const callers: RawCaller[] = [];
const servers: http.Server[] = [];

afterEach(() => {
    callers.splice(0).forEach(caller => {
        caller.close();
    });
    servers.splice(0).forEach(server => {
        server.close();
        server.closeAllConnections();
    });
});

async function startServer(options: ClientLimitOptions, answerBytes = 1) {
    const faults: string[] = [];
    const running = new Set<string>();
    const handled: string[] = [];
    let maxRunning = 0;
    const clients = createClientBounds({
        limits: computeClientLimits(options),
        report: (_listener, fault) => faults.push(fault),
    });
    const server = createHttpServer({
        part: "test",
        clients,
        handle: async (request, response) => {
            const url = request.url ?? "";
            running.add(url);
            handled.push(url);
            maxRunning = Math.max(maxRunning, running.size);
            await readBoundedBody(clients, request, response, 1024 * 1024);
            await new Promise(resolve => setTimeout(resolve, 1));
            running.delete(url);
            sendJson(response, 200, { url, filler: "x".repeat(answerBytes) });
        },
    });
    servers.push(server);
    await startListening(server, "127.0.0.1:0");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const open = (): RawCaller => {
        const caller = openRawCaller(address);
        callers.push(caller);
        return caller;
    };
    return { open, faults, handled, getMaxRunning: () => maxRunning };
}

describe("a connection", () => {
    // Guards against requests that are lost or answered out of order when reading stops between them.
    it("gets all answers in order, one request after the other, whatever the slices", async () => {
        const { open, faults, handled, getMaxRunning } = await startServer({});
        const caller = open();
        const urls = Array.from({ length: 500 }, (_, index) => `/${index}`);
        caller.write(urls.map(url => `POST ${url} HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc`).join(""));
        await caller.waitForText(/"\/499"/);
        expect(handled).toEqual(urls);
        expect([...caller.text.matchAll(/"url":"(\/\d+)"/g)].map(([, url]) => url)).toEqual(urls);
        expect(getMaxRunning()).toBe(1);
        expect(faults).toEqual([]);
    });

    // Guards against reading that goes on, or never again, while Node itself has paused a connection with unread answers.
    it("gets all answers when they are written at once and read with pauses", async () => {
        const filler = "x".repeat(100_000);
        const server = createHttpServer({
            part: "test",
            handle: ({ url }, response) => {
                sendJson(response, 200, { url, filler });
            },
        });
        servers.push(server);
        await startListening(server, "127.0.0.1:0");
        const caller = openRawCaller(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        callers.push(caller);
        const count = 300;
        caller.write(Array.from({ length: count }, (_, index) => `GET /${index} HTTP/1.1\r\nHost: h\r\n\r\n`).join(""));
        for (let pause = 0; pause < 30; pause += 1) {
            caller.pause();
            await new Promise(resolve => setTimeout(resolve, 10));
            caller.resume();
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await caller.waitForText(new RegExp(`"/${count - 1}"`));
        const urls = [...caller.text.matchAll(/"url":"\/(\d+)"/g)].map(([, index]) => Number(index));
        expect(urls).toEqual(Array.from({ length: count }, (_, index) => index));
    });

    it("is closed without a further answer when too many requests wait on it", async () => {
        const { open, faults } = await startServer({ waitingPerConnection: 2 });
        const caller = open();
        caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(10));
        await caller.waitForEnd();
        expect(faults).toEqual(["too_many_requests"]);
    });

    it("is closed when its client stops in a body, or does not take its answer", async () => {
        const { open, faults } = await startServer({ stallMs: 100 }, 16 * 1024 * 1024);
        const unfinished = open();
        unfinished.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
        await unfinished.waitForEnd();
        const unread = open();
        unread.pause();
        unread.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await waitUntil(() => faults.length === 2);
        expect(faults).toEqual(["stalled", "stalled"]);
    });

    it("gives way to a new one when there are too many from one address", async () => {
        const { open, faults } = await startServer({ connectionsPerAddress: 16 });
        const [oldest] = Array.from({ length: 17 }, open) as [RawCaller];
        await oldest.waitForEnd();
        const newest = open();
        newest.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        await newest.waitForText(/HTTP\/1\.1 200/);
        expect(faults).toEqual(["too_many_connections", "too_many_connections"]);
    });

    it("is refused without a host, after the requests before it", async () => {
        const { open } = await startServer({});
        const caller = open();
        caller.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
        await caller.waitForEnd();
        expect(caller.text).toMatch(/^HTTP\/1\.1 200 [^]*HTTP\/1\.1 400 /);
    });
});

describe("the choice of a closed connection", () => {
    const idle = { isBusy: false, hasAnswered: false, isReadingBody: false, hasUnread: false };
    const running = { ...idle, isBusy: true };

    // Guards against a request that is cut off although it runs.
    it("never falls on one whose request runs", () => {
        expect(chooseClosedConnection([running, { ...running, hasAnswered: true }], row => row)).toBeUndefined();
    });

    it("falls on the one of least use, the oldest first", () => {
        const rows = [
            { name: "kept", ...idle, hasAnswered: true },
            { name: "running", ...running },
            { name: "body", ...running, isReadingBody: true },
            { name: "unread", ...running, hasUnread: true },
            { name: "old", ...idle },
            { name: "new", ...idle },
        ];
        const names: (string | undefined)[] = [];
        while (rows.length > 1) {
            const chosen = chooseClosedConnection(rows, row => row);
            names.push(chosen?.name);
            rows.splice(rows.findIndex(row => row === chosen), 1);
        }
        expect(names).toEqual(["old", "new", "unread", "body", "kept"]);
    });
});

describe("the room for bodies", () => {
    const kilobyte = 1024;

    function createBodies() {
        let now = 0;
        const bodies = createRequestBodies({ maxTotalBytes: 100 * kilobyte, getNow: () => now });
        const discarded: string[] = [];
        const open = (name: string, length?: number) => {
            const response = new EventEmitter() as unknown as http.ServerResponse;
            const headers = length === undefined ? {} : { "content-length": String(length) };
            const room = bodies.open({
                request: { headers } as http.IncomingMessage,
                response,
                maxBytes: 1000 * kilobyte,
                onDiscarded: () => discarded.push(name),
            });
            return { ...room, close: () => response.emit("close") };
        };
        return { open, discarded, wait: (ms: number) => now += ms };
    }

    it("refuses a body that announces more than there is, until another one is released", () => {
        const { open } = createBodies();
        const first = open("first", 80 * kilobyte);
        expect(() => open("second", 80 * kilobyte)).toThrow(BodyDiscardedError);
        open("small", 10 * kilobyte);
        first.close();
        open("third", 80 * kilobyte);
    });

    it("goes from a body without progress to another one, but not from a whole one", () => {
        const { open, discarded, wait } = createBodies();
        const idle = open("idle");
        idle.add(90 * kilobyte);
        wait(1000);
        const next = open("next", 60 * kilobyte);
        expect(discarded).toEqual(["idle"]);
        expect(() => {
            idle.add(1);
        }).toThrow(BodyDiscardedError);
        next.endReading();
        wait(1000);
        expect(() => open("last", 60 * kilobyte)).toThrow(BodyDiscardedError);
    });
});

describe("reports of clients outside the limits", () => {
    it("count each, and log one line in five seconds with the number of those before", () => {
        const lines: unknown[] = [];
        const counts: unknown[] = [];
        let now = 0;
        const report = createClientReporter({
            writeLog: ({ fields }) => lines.push(fields["count"]),
            metrics: { addCount: ({ labels }) => counts.push(labels) },
            getNow: () => now,
        });
        for (let index = 0; index < 1000; index += 1) {
            report("callers", "stalled");
        }
        now = 5000;
        report("callers", "stalled");
        expect(lines).toEqual([1, 1000]);
        expect(counts).toHaveLength(1001);
    });
});

describe("the limits of the smallest VM", () => {
    // Guards against listeners that together may take the descriptors that targets, peers and the store need.
    it("leave a quarter of its descriptors", () => {
        const { connections } = computeClientLimits({ memoryMb: 186, maxDescriptors: 2212 });
        const total = Object.values(connections).reduce((sum, limit) => sum + limit.total, 0);
        expect(total).toBeLessThan(2212 * 0.75);
        expect(connections.callers.perAddress).toBeGreaterThan(500);
    });
});
