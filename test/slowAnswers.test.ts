/** Calls whose answers take longer to arrive than the time until they begin. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createProcessClock } from "../src/adapters/clock";
import { type HttpAnswer, type HttpCall, HttpCallError, sendHttpCall } from "../src/adapters/httpClient";
import { createLinkMeter } from "../src/adapters/linkMeter";
import { createStoreClient, type StoreClient } from "../src/adapters/storeClient";
import { createTargetReader } from "../src/adapters/targetReader";
import type { Event, EventOf } from "../src/events";
import { toLeaseId, toTargetId } from "../src/ids";
import { type PacedServer, startMovedClock, startPacedServer, waitForConnections } from "./support/pacedServer";

let server: PacedServer;

beforeEach(async () => {
    startMovedClock();
    server = await startPacedServer();
});

afterEach(async () => {
    vi.useRealTimers();
    await server.close();
});

const timeoutMs = 900;
const largeText = "a".repeat(1_000_000);
/** 1 Mbit/s is 125 bytes in a millisecond; these are 166. */
const slowPieces = { pieceBytes: 100_000, everyMs: 600 };

interface FollowedCall {
    readonly getOutcome: () => HttpAnswer | HttpCallError | undefined;
}

function startCall(options: Partial<HttpCall> = {}): FollowedCall {
    const { address } = server;
    let outcome: HttpAnswer | HttpCallError | undefined;
    sendHttpCall({ method: "GET", address, path: "/", timeoutMs, ...options }).then(
        answer => {
            outcome = answer;
        },
        (error: unknown) => {
            outcome = error as HttpCallError;
        },
    );
    return { getOutcome: () => outcome };
}

async function waitForOutcome(call: FollowedCall): Promise<HttpAnswer | HttpCallError> {
    await waitForConnections(() => call.getOutcome() !== undefined);
    return call.getOutcome() as HttpAnswer | HttpCallError;
}

describe("a call with a large answer over a slow link", () => {
    // Guards against a fixed time limit for answers of any length, with which a large answer never arrives.
    it("goes on while its answer arrives, however long that takes", async () => {
        const call = startCall();
        const { response } = await server.waitForRequest();
        await server.sendPieces(response, largeText, slowPieces);
        response.end();
        expect(await waitForOutcome(call)).toMatchObject({ status: 200, receivedBytes: largeText.length });
    });

    // Guards against a call that waits for ever for the rest of an answer.
    it("fails when nothing more has arrived for its longest pause", async () => {
        const call = startCall({ silenceMs: 700 });
        const { response } = await server.waitForRequest();
        await server.sendPieces(response, largeText.slice(0, 500_000), slowPieces);
        await vi.advanceTimersByTimeAsync(90);
        expect(call.getOutcome()).toBeUndefined();
        await vi.advanceTimersByTimeAsync(20);
        expect(await waitForOutcome(call)).toMatchObject({ message: "The call timed out.", receivedBytes: 500_000 });
    });

    // Guards against a server that keeps a call open for ever with a byte now and then.
    it("fails when its answer arrives more slowly than 1 Mbit/s", async () => {
        const call = startCall();
        const { response } = await server.waitForRequest();
        await server.sendPieces(response, "a".repeat(1000), { pieceBytes: 100, everyMs: 300 });
        expect(await waitForOutcome(call)).toBeInstanceOf(HttpCallError);
    });

    // Guards against a silent server that is noticed later than before.
    it("fails at its time limit when no answer begins", async () => {
        const call = startCall();
        await server.waitForRequest();
        await vi.advanceTimersByTimeAsync(timeoutMs - 1);
        expect(call.getOutcome()).toBeUndefined();
        await vi.advanceTimersByTimeAsync(1);
        expect(await waitForOutcome(call)).toMatchObject({ message: "The call timed out.", receivedBytes: 0 });
    });

    // Guards against a call that fails while its own large body is still being sent over the link.
    it("has the time that its body takes over a link of 1 Mbit/s", async () => {
        const call = startCall({ method: "POST", body: "a".repeat(125_000) });
        const { response } = await server.waitForRequest();
        await vi.advanceTimersByTimeAsync(1000 + timeoutMs - 1);
        expect(call.getOutcome()).toBeUndefined();
        response.end("{}");
        expect(await waitForOutcome(call)).toMatchObject({ status: 200 });
    });
});

// Guards against a target that keeps its state unknown by a report that arrives slowly and has no end.
it("a state report that goes on at 1.3 Mbit/s ends its call in less than two seconds", async () => {
    const events: Event[] = [];
    const reader = createTargetReader({ post: event => events.push(event), clock: createProcessClock() });
    reader.readState({ kind: "readTarget", target: toTargetId("t1"), address: server.address });
    const { response } = await server.waitForRequest();
    const startedAt = performance.now();
    await server.sendPieces(response, largeText, slowPieces);
    await waitForConnections(() => events.length > 0);
    expect(events).toEqual([{ kind: "targetUnreachable", target: "t1" }]);
    expect(performance.now() - startedAt).toBeLessThan(2000);
    reader.close();
});

describe("a small call while a large answer occupies the link", () => {
    // Guards against renewals of a lease that fail because they wait behind a configuration on the link.
    it("does not count the time for which the large answer arrives", async () => {
        const link = createLinkMeter();
        const large = startCall({ link });
        const { response: largeResponse } = await server.waitForRequest();
        await server.sendPieces(largeResponse, largeText.slice(0, 200_000), slowPieces);
        const small = startCall({ link });
        const { response } = await server.waitForRequest();
        await server.sendPieces(largeResponse, largeText.slice(200_000), slowPieces);
        largeResponse.end();
        expect(await waitForOutcome(large)).toMatchObject({ status: 200 });
        expect(small.getOutcome()).toBeUndefined();
        response.end("{}");
        expect(await waitForOutcome(small)).toMatchObject({ status: 200 });
    });

    it("fails at its time limit once the large answer has ended", async () => {
        const link = createLinkMeter();
        const large = startCall({ link });
        const { response: largeResponse } = await server.waitForRequest();
        await server.sendPieces(largeResponse, largeText.slice(0, 200_000), slowPieces);
        const small = startCall({ link });
        await server.waitForRequest();
        await server.sendPieces(largeResponse, largeText.slice(200_000), slowPieces);
        largeResponse.end();
        expect(await waitForOutcome(large)).toMatchObject({ status: 200 });
        await vi.advanceTimersByTimeAsync(timeoutMs);
        expect(await waitForOutcome(small)).toMatchObject({ message: "The call timed out." });
    });

    // Guards against an answer whose own time counts as that of others, so that it may take for ever.
    it("does not extend the limit of the large answer itself", async () => {
        const call = startCall({ link: createLinkMeter() });
        const { response } = await server.waitForRequest();
        await server.sendPieces(response, largeText, { pieceBytes: 70_000, everyMs: 600 });
        const slowRest = server.sendPieces(response, "a".repeat(100_000), { pieceBytes: 100, everyMs: 600 });
        expect(await waitForOutcome(call)).toBeInstanceOf(HttpCallError);
        await slowRest;
    });
});

describe("calls to the store of the completions mode", () => {
    const encode = (text: string): string => Buffer.from(text).toString("base64");
    const row = { key: encode("config"), value: encode(largeText), create_revision: "7", mod_revision: "7" };
    const renewal = { result: { ID: "7", TTL: "2" } };
    let replies: EventOf<"storeReplied">[];
    let client: StoreClient;

    beforeEach(() => {
        replies = [];
        client = createStoreClient({
            address: server.address,
            timeoutMs,
            clock: createProcessClock(),
            post: event => {
                if (event.kind === "storeReplied") {
                    replies.push(event);
                }
            },
        });
    });

    afterEach(() => {
        client.close();
    });

    // Guards against a process that never reads a large configuration at its start.
    it("read a large configuration over a slow link", async () => {
        const call = { kind: "range", range: { key: "config" } } as const;
        client.call({ kind: "callStore", purpose: { for: "configurationHead", step: "load" }, call });
        const { response } = await server.waitForRequest();
        await server.sendPieces(response, JSON.stringify({ header: { revision: "7" }, kvs: [row] }), slowPieces);
        response.end();
        await waitForConnections(() => replies.length > 0);
        expect(replies[0]?.outcome.result.ok).toBe(true);
    });

    // Guards against leases that end because a watch delivers a large configuration over the same link.
    it("wait longer while a watch delivers a large configuration", async () => {
        client.openWatch({ kind: "openWatch", watch: "configuration", key: "config", prefix: true, fromRevision: 1 });
        const { response: watchResponse } = await server.waitForRequest();
        const change = JSON.stringify({ result: { header: { revision: "7" }, events: [{ kv: row }] } });
        await server.sendPieces(watchResponse, change.slice(0, 200_000), slowPieces);
        const call = { kind: "renewLease", lease: toLeaseId("7") } as const;
        client.call({ kind: "callStore", purpose: { for: "lease", lease: "member", step: "renew" }, call });
        const { response } = await server.waitForRequest();
        await server.sendPieces(watchResponse, `${change.slice(200_000)}\n`, slowPieces);
        expect(replies).toEqual([]);
        response.end(JSON.stringify(renewal));
        await waitForConnections(() => replies.length > 0);
        expect(replies[0]?.outcome.result.ok).toBe(true);
    });
});
