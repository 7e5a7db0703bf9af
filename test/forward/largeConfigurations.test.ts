/** Configurations whose transfer over the smallest link takes longer than the time limits of small calls. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { sendStoreCall } from "../../platform/store";
import { createStoreFeed, type StoreFeed } from "../../platform/storeFeed";
import { createValueReader, type ValueReader } from "../../platform/valueReader";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import { createLinkMeter } from "../../src/adapters/linkMeter";
import { computeFingerprint } from "../../src/forward/codec/fingerprint";
import type { ForwardEvent, ForwardEventKind, ForwardEventOf } from "../../src/forward/events";
import { computeWatchTiming } from "../../src/forward/policy/watchTiming";
import { toLeaseId, toMillis } from "../../src/ids";
import { buildManyRoutes } from "../../standins/platformConfiguration";
import {
    type PacedRequest,
    type PacedServer,
    startMovedClock,
    startPacedServer,
    waitForConnections,
} from "../support/pacedServer";

/** 0.94 MB, 1.3 MB in base64: less than the largest value of the platform, 1 MiB. */
const routeCount = 4500;
/** 7 Mbit/s. */
const linkPieces = { pieceBytes: 87_500, everyMs: 100 };
const accessTimeoutMs = 900;

let server: PacedServer;
let feed: StoreFeed;
let events: ForwardEvent[];
let access: Parameters<typeof createStoreFeed>[0]["access"];

beforeEach(async () => {
    startMovedClock();
    server = await startPacedServer();
    const posted: ForwardEvent[] = [];
    events = posted;
    const { address } = server;
    access = { address, agent: createKeepAliveAgent(), timeoutMs: accessTimeoutMs, link: createLinkMeter() };
    feed = createStoreFeed({
        access,
        clock: { getNow: () => toMillis(performance.now()) },
        post: event => {
            posted.push(event);
        },
        requestChanges: () => Promise.reject(new Error("no relay is set")),
    });
    feed.updateSource({ relay: undefined, pauseMs: 300, ...computeWatchTiming(3000) });
});

afterEach(async () => {
    feed.stop();
    vi.useRealTimers();
    await server.close();
});

const listEvents = <Kind extends ForwardEventKind>(kind: Kind): readonly ForwardEventOf<Kind>[] =>
    events.filter((event): event is ForwardEventOf<Kind> => event.kind === kind);

const buildConfigurationItem = (version: number, count = routeCount) => ({
    "key": "op/config",
    "value": Buffer.from(JSON.stringify(buildManyRoutes({ version, count, timeoutMs: 500 }))).toString("base64"),
    "revision": version,
    "create-revision": 1,
});

const formatPage = (version: number, count?: number): string =>
    JSON.stringify({ "items": [buildConfigurationItem(version, count)], "truncated": false, "as-of": version });

const formatChanges = (...versions: readonly number[]): string =>
    JSON.stringify({ "events": versions.map(version => buildConfigurationItem(version)), "as-of": versions.at(-1) });

/** Takes the next call of the store; lets the pauses of the feed pass until it comes. */
async function waitForCall(name: string): Promise<PacedRequest> {
    let request: PacedRequest | undefined;
    void server.waitForRequest().then(taken => {
        request = taken;
    });
    while (!request) {
        await vi.advanceTimersByTimeAsync(10);
        await new Promise(resolve => setImmediate(resolve));
    }
    expect(request.url.pathname).toBe(`/-/${name}`);
    return request;
}

/** Lets time pass until so many calls have failed. */
async function waitForFailures(count: number): Promise<void> {
    while (listEvents("storeUnreachable").length < count) {
        await vi.advanceTimersByTimeAsync(10);
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Answers the check that follows a failed call. */
async function answerCheck(): Promise<void> {
    const { url, response } = await waitForCall("kv-range");
    expect(url.searchParams.get("prefix")).toBe("marjoramvane/duties/weights");
    response.end(JSON.stringify({ "items": [], "truncated": false, "as-of": 1 }));
}

/** Answers calls in their order over one link, which goes on to carry the answers to calls that were given up. */
function createQueuedLink({ busyMs }: { readonly busyMs: number; }) {
    const { pieceBytes, everyMs } = linkPieces;
    let freeAt = performance.now() + busyMs;
    return {
        send: ({ response }: PacedRequest, text: string): void => {
            const beginsInMs = Math.max(0, freeAt - performance.now());
            const pieces = Math.ceil(text.length / pieceBytes);
            for (let index = 0; index < pieces; index += 1) {
                const piece = text.slice(index * pieceBytes, (index + 1) * pieceBytes);
                setTimeout(() => response.write(piece), beginsInMs + index * everyMs);
            }
            const endsInMs = beginsInMs + text.length / pieceBytes * everyMs;
            setTimeout(() => response.end(), endsInMs);
            freeAt = performance.now() + endsInMs;
        },
    };
}

/** Answers the first read with a small configuration. */
async function startFeed(): Promise<void> {
    feed.start();
    const { response } = await waitForCall("kv-range");
    response.end(formatPage(1, 1));
    await waitForConnections(() => listEvents("publishedRead").length > 0);
}

describe("a configuration of the largest size over a link of 7 Mbit/s", () => {
    // Guards against CONFIG: the watch call ended before the answer had arrived, and every retry did, too.
    it("comes into force with the watch call that it was sent to", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        await vi.advanceTimersByTimeAsync(1000);
        await server.sendPieces(response, formatChanges(2), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedChanged").length > 0);
        expect(listEvents("publishedChanged")[0]?.changes.document?.version).toBe(2);
        expect(listEvents("storeUnreachable")).toEqual([]);
    });

    // Guards against a retry that has less time than the call before it.
    it("comes into force with the call after one that was cut short", async () => {
        await startFeed();
        const { response: cutResponse } = await waitForCall("kv-watch");
        await server.sendPieces(cutResponse, formatChanges(2).slice(0, 40_000), linkPieces);
        cutResponse.destroy();
        await waitForConnections(() => listEvents("storeUnreachable").length > 0);
        await answerCheck();
        const { response } = await waitForCall("kv-watch");
        await server.sendPieces(response, formatChanges(2), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedChanged").length > 0);
        expect(listEvents("publishedChanged")[0]?.changes.document?.version).toBe(2);
        expect(listEvents("storeUnreachable")).toHaveLength(1);
    });

    // Guards against the same call again and again, whose answer only grows while it does not get through.
    it("is read by itself after an answer that was cut short when much of it had arrived", async () => {
        await startFeed();
        const { response: cutResponse } = await waitForCall("kv-watch");
        await server.sendPieces(cutResponse, formatChanges(2, 3).slice(0, 400_000), linkPieces);
        cutResponse.destroy();
        await answerCheck();
        const { response } = await waitForCall("kv-range");
        await server.sendPieces(response, formatPage(3), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedRead").length > 1);
        expect(listEvents("publishedRead")[1]?.changes.document?.version).toBe(3);
        expect(listEvents("storeUnreachable")).toHaveLength(1);
    });

    // Guards against calls that fail one after the other because what the ones before have asked for fills the link.
    it("is asked for again only when the store has answered a call with a few bytes", async () => {
        await startFeed();
        const { response: cutResponse } = await waitForCall("kv-watch");
        cutResponse.destroy();
        for (let check = 1; check <= 3; check += 1) {
            const { url } = await waitForCall("kv-range");
            expect(url.searchParams.get("prefix")).toBe("marjoramvane/duties/weights");
            await waitForFailures(check + 1);
        }
        await answerCheck();
        const { response } = await waitForCall("kv-watch");
        await server.sendPieces(response, formatChanges(2), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedChanged").length > 0);
        expect(listEvents("publishedChanged")[0]?.changes.document?.version).toBe(2);
    });

    // Guards against CONFIG: a process whose link still carried a failed answer asked for it again every second, each time
    // behind the answer to the call before, and kept the old configuration for good.
    it("comes into force although the answer to a call that failed at its head still fills the link", async () => {
        await startFeed();
        const { response: malformedResponse } = await waitForCall("kv-watch");
        const link = createQueuedLink({ busyMs: 1500 });
        malformedResponse.socket?.write("{\"events\":[");
        await waitForFailures(1);
        const endsAt = performance.now() + 20_000;
        let taken: PacedRequest | undefined;
        const waitForNext = (): void => {
            void server.waitForRequest().then(request => {
                taken = request;
            });
        };
        waitForNext();
        while (listEvents("publishedChanged").length === 0 && performance.now() < endsAt) {
            if (taken) {
                const isWatch = taken.url.pathname === "/-/kv-watch";
                link.send(
                    taken,
                    isWatch ? formatChanges(2) : JSON.stringify({ items: [], truncated: false, "as-of": 1 }),
                );
                taken = undefined;
                waitForNext();
            }
            await vi.advanceTimersByTimeAsync(10);
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(listEvents("publishedChanged")[0]?.changes.document?.version).toBe(2);
    });

    // Guards against a process that starts and never becomes ready.
    it("is read by a process that starts", async () => {
        feed.start();
        const { response } = await waitForCall("kv-range");
        await server.sendPieces(response, formatPage(5), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedRead").length > 0);
        expect(listEvents("publishedRead")[0]?.changes.document?.version).toBe(5);
        expect(listEvents("storeUnreachable")).toEqual([]);
    });

    // Guards against a read that begins from its first page after each failure and never reaches the last one.
    it("is not read again when a later page was cut short", async () => {
        feed.start();
        const { response } = await waitForCall("kv-range");
        const firstPage = { "items": [buildConfigurationItem(5)], "truncated": true, "as-of": 5 };
        await server.sendPieces(response, JSON.stringify(firstPage), linkPieces);
        response.end();
        const { response: cutResponse } = await waitForCall("kv-range");
        cutResponse.destroy();
        await answerCheck();
        const { url, response: lastResponse } = await waitForCall("kv-range");
        expect(url.searchParams.get("after")).toBe("op/config");
        const weights = { "key": "op/version/m", "value": "eyJtb2RlbCI6Im0iLCJ2ZXJzaW9uIjoyfQ==", "revision": 6 };
        lastResponse.end(JSON.stringify({ "items": [weights], "truncated": false, "as-of": 9 }));
        await waitForConnections(() => listEvents("publishedRead").length > 0);
        const changes = listEvents("publishedRead")[0]?.changes;
        expect(changes?.document?.version).toBe(5);
        expect(changes?.weights).toEqual([{ model: "m", version: 2 }]);
        expect(changes?.position.revision).toBe(5);
    });

    // Guards against contents that count as old because earlier tries of the read have failed.
    it("is confirmed as of the call that brought the first page", async () => {
        feed.start();
        const { response: busyResponse } = await waitForCall("kv-range");
        busyResponse.writeHead(503).end();
        await answerCheck();
        const { response } = await waitForCall("kv-range");
        const sentAt = performance.now();
        response.end(formatPage(5, 1));
        await waitForConnections(() => listEvents("publishedRead").length > 0);
        expect(sentAt - (listEvents("publishedRead")[0]?.confirmedAt ?? 0)).toBeLessThanOrEqual(10);
    });

    // Guards against a process that takes what it knows for as new as the end of the answer: a target that was reported to
    // leave meanwhile counts as registered again.
    it("confirms the contents of the store as of the head of the answer", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        const row = { "key": "marjoramvane/members/front-2", "value": "e30=", "revision": 3, "create-revision": 3 };
        const answeredAt = performance.now();
        await server.sendPieces(
            response,
            JSON.stringify({ "events": [buildConfigurationItem(2), row], "as-of": 3 }),
            linkPieces,
        );
        response.end();
        await waitForConnections(() => listEvents("publishedChanged").length > 0);
        expect(listEvents("publishedChanged")[0]?.confirmedAt).toBe(answeredAt);
    });

    // Guards against changes that wait for the pause of the feed after they have waited for the answer.
    it("is followed by the next watch call at once", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        await server.sendPieces(response, formatChanges(2), linkPieces);
        const endedAt = performance.now();
        response.end();
        const { url } = await waitForCall("kv-watch");
        expect(performance.now() - endedAt).toBeLessThanOrEqual(10);
        // A longer wait would leave the process with contents that are as old as the answer took to arrive.
        expect(url.searchParams.get("wait-ms")).toBe("50");
    });

    // Guards against processes that learn of a configuration only when their reader has all of it.
    it("is announced once, when its first bytes have arrived", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        const text = formatChanges(2);
        await server.sendPieces(response, text.slice(0, 175_000), linkPieces);
        expect(listEvents("largeAnswerStarted")).toHaveLength(1);
        await server.sendPieces(response, text.slice(175_000), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedChanged").length > 0);
        expect(listEvents("largeAnswerStarted")).toHaveLength(1);
    });

    // Guards against a lease that is lost because its renewals wait behind the configuration on the link.
    it("does not fail a renewal of the lease that is answered after it", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        const text = formatChanges(2);
        await server.sendPieces(response, text.slice(0, 175_000), linkPieces);
        const renewal = sendStoreCall(access, { kind: "renewLease", lease: toLeaseId("7") });
        const { response: renewalResponse } = await waitForCall("kv-keep/7");
        await server.sendPieces(response, text.slice(175_000), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("publishedChanged").length > 0);
        renewalResponse.end(JSON.stringify({ "ttl-ms": 2000 }));
        expect((await renewal).ok).toBe(true);
    });
});

describe("several configurations of the largest size in one answer", () => {
    // Guards against CONFIG: an answer over the limit counted as a failure of the store, and the same call was sent again
    // until the store had dropped its history, 20 s later.
    it.each([
        { what: "with a length", hasLength: true },
        { what: "in chunks", hasLength: false },
    ])("are replaced by the newest one: $what", async ({ hasLength }) => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        const text = formatChanges(2, 3, 4, 5);
        if (hasLength) {
            response.setHeader("content-length", text.length);
            response.flushHeaders();
        }
        else {
            await server.sendPieces(response, text, linkPieces);
        }
        const { response: pageResponse } = await waitForCall("kv-range");
        await server.sendPieces(pageResponse, formatPage(6), linkPieces);
        pageResponse.end();
        await waitForConnections(() => listEvents("publishedRead").length > 1);
        expect(listEvents("publishedRead")[1]?.changes.document?.version).toBe(6);
        expect(listEvents("storeUnreachable")).toEqual([]);
        const { url } = await waitForCall("kv-watch");
        expect(url.searchParams.get("after")).toBe("6");
    });
});

describe("a configuration that cannot be decoded", () => {
    const removeValueStart = (text: string): string => text.replace(/"value":".{200}/, "\"value\":\"");

    // Guards against a feed that stops following the store, or keeps back the other changes of the answer.
    it("is reported with its revision, length and fingerprint, and the watch goes on after it", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        const text = removeValueStart(formatChanges(2));
        response.end(text);
        const { url } = await waitForCall("kv-watch");
        expect(url.searchParams.get("after")).toBe("2");
        const { value } = JSON.parse(text).events[0];
        const fingerprint = computeFingerprint(value);
        expect(listEvents("publishedChanged")[0]?.changes.undecodable).toEqual([
            { key: "op/config", kind: "configuration", revision: 2, length: value.length, fingerprint },
        ]);
    });

    it("is reported by a process that starts", async () => {
        feed.start();
        const { response } = await waitForCall("kv-range");
        response.end(removeValueStart(formatPage(2)));
        await waitForCall("kv-watch");
        expect(listEvents("publishedRead")[0]?.changes.undecodable).toMatchObject([{ key: "op/config", revision: 2 }]);
    });

    // Guards against a large answer that is asked for in the same way although none of it could be used.
    it("leads to a read of the newest values when the whole answer is malformed", async () => {
        await startFeed();
        const { response } = await waitForCall("kv-watch");
        response.end(formatChanges(2).slice(1));
        await answerCheck();
        const { response: pageResponse } = await waitForCall("kv-range");
        pageResponse.end(formatPage(3));
        await waitForConnections(() => listEvents("publishedRead").length > 1);
        expect(listEvents("publishedRead")[1]?.changes.document?.version).toBe(3);
        expect(listEvents("storeUnreachable")[0]?.receivedBytes).toBeGreaterThan(1_000_000);
    });
});

// Guards against a line for each refusal of a store that is busy, as if large answers were cut short.
it("counts no bytes of a refusal", async () => {
    feed.start();
    const { response } = await waitForCall("kv-range");
    response.writeHead(503).end("{}");
    await waitForFailures(1);
    expect(listEvents("storeUnreachable")[0]).toMatchObject({
        receivedBytes: 0,
        message: "The store responded to a read with status 503.",
    });
});

describe("a value that is read again", () => {
    let values: ValueReader;

    beforeEach(() => {
        const posted = events;
        values = createValueReader({
            access,
            post: event => {
                posted.push(event);
            },
        });
    });

    afterEach(() => {
        values.stop();
    });

    it("is looked up by its key, among keys that begin with it", async () => {
        values.read("op/config");
        const { url, response } = await waitForCall("kv-range");
        expect(url.searchParams.get("prefix")).toBe("op/config");
        const other = { ...buildConfigurationItem(9, 1), key: "op/config-draft" };
        const items = [other, buildConfigurationItem(2)];
        await server.sendPieces(response, JSON.stringify({ items, "truncated": false, "as-of": 12 }), linkPieces);
        response.end();
        await waitForConnections(() => listEvents("valueRead").length > 0);
        expect(listEvents("valueRead")[0]).toMatchObject({
            key: "op/config",
            outcome: { kind: "found", revision: 2, changes: { document: { version: 2 }, position: { revision: 2 } } },
        });
    });

    it("may be gone", async () => {
        values.read("servers/s1");
        const { response } = await waitForCall("kv-range");
        response.end(JSON.stringify({ "items": [], "truncated": false, "as-of": 12 }));
        await waitForConnections(() => listEvents("valueRead").length > 0);
        expect(listEvents("valueRead")[0]?.outcome).toEqual({ kind: "absent" });
    });

    // Guards against a process that waits for a read that has failed.
    it.each([
        { fault: "a reset", answer: ({ response }: PacedRequest) => response.destroy() },
        { fault: "a refusal", answer: ({ response }: PacedRequest) => response.writeHead(503).end() },
        { fault: "no JSON", answer: ({ response }: PacedRequest) => response.end("{\"items\":[") },
    ])("is reported as failed after $fault", async ({ answer }) => {
        values.read("op/config");
        answer(await waitForCall("kv-range"));
        await waitForConnections(() => listEvents("valueRead").length > 0);
        expect(listEvents("valueRead")[0]?.outcome.kind).toBe("failed");
    });

    // Guards against a transfer that fills the link after the value has come in another way.
    it("leaves the link when it is no longer needed", async () => {
        values.read("op/config");
        const { response } = await waitForCall("kv-range");
        await server.sendPieces(response, formatPage(2).slice(0, 175_000), linkPieces);
        values.cancel("op/config");
        await waitForConnections(() => response.destroyed);
        expect(listEvents("valueRead")).toEqual([]);
    });
});
