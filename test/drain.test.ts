/** Graceful shutdown over HTTP, as observed by callers, peers and the store. */
import * as http from "node:http";
import { afterEach, expect, it } from "vitest";
import { memberPrefix } from "../src/systems/updateMembership";
import { startEngine } from "../standins/engine";
import { startStandinServer } from "../standins/httpServer";
import { buildOpenDocument, sendCompletion } from "./support/arrivals";
import { type Fleet, startFleet, waitUntil, waitUntilReady } from "./support/fleet";

const stops: (() => Promise<void>)[] = [];

afterEach(async () => {
    await Promise.all(stops.splice(0).map(stop => stop()));
});

/** The lease is long, so that a registration can only disappear because it was revoked, not because it expired. */
const overrides = {
    membership: { leaseSeconds: 60, exchangeEveryMs: 4000, freshForMs: 20_000 },
    timeouts: { drainNoticeMs: 700 },
};

const getAddress = (fleet: Fleet, node: number): string => fleet.nodes[node]?.settings.listen.callers ?? "";

async function readEntries(fleet: Fleet, node: number): Promise<readonly string[]> {
    const response = await fetch(`http://${getAddress(fleet, node)}/v1/entries`);
    return (await response.json() as { entries: string[]; }).entries;
}

it("serves during the notice, then refuses, finishes running streams, revokes its registration and exits", async () => {
    const engine = await startEngine({ model: "copywriter", version: "v1", decodeMs: 20 });
    const fleet = await startFleet({ count: 2, document: buildOpenDocument([engine]), overrides });
    stops.push(fleet.stop, engine.stop);
    await waitUntilReady(fleet);
    await waitUntil(async () => (await readEntries(fleet, 1)).includes(getAddress(fleet, 0)));
    const [drainingProcess] = fleet.nodes;
    const running = await sendCompletion(fleet, { max_tokens: 150 });
    drainingProcess?.node.drain();
    // The timeout is far below the exchange interval, so peers must be notified at once.
    await waitUntil(async () => !(await readEntries(fleet, 0)).includes(getAddress(fleet, 0)), 1000);
    await waitUntil(async () => !(await readEntries(fleet, 1)).includes(getAddress(fleet, 0)), 1000);
    const served = await sendCompletion(fleet, { max_tokens: 1 });
    expect(served.status).toBe(200);
    await served.text();

    let refused: Response | undefined;
    await waitUntil(async () => {
        const response = await sendCompletion(fleet, { max_tokens: 1 });
        refused = response.status === 200 ? undefined : response;
        if (!refused) {
            await response.text();
        }
        return refused !== undefined;
    });
    expect(refused?.status).toBe(503);
    expect(refused?.headers.get("connection")).toBe("close");
    expect(await refused?.json()).toMatchObject({ error: { code: "draining", verdict: "not_run" } });

    expect(drainingProcess?.exitCodes).toEqual([]);
    expect(engine.runs[0]?.isFinished).toBe(false);
    const text = await running.text();
    expect(text.match(/^data: /gm)?.length).toBe(151);
    expect(text).toContain("data: [DONE]");
    await waitUntil(() => drainingProcess?.exitCodes.length === 1);
    expect(fleet.platform.store.listRange(`${memberPrefix}entry-0`, undefined)).toEqual([]);
    expect(fleet.platform.store.listRange(`${memberPrefix}entry-1`, undefined)).toHaveLength(1);
});

// Guards against an exit that truncates an answer that the target has finished and the caller is still reading.
it("exits only after a slow caller has read its whole answer", async () => {
    const size = 14 * 1024 * 1024;
    const service = await startStandinServer({
        handlers: {
            "*": ({ response }) => {
                response.writeHead(200, { "content-type": "application/octet-stream" });
                response.end(Buffer.alloc(size, 7));
            },
        },
    });
    const fleet = await startFleet({
        count: 1,
        overrides,
        document: {
            routes: { files: { kind: "service", service: "files", open: true } },
            targets: { one: { kind: "service", service: "files", address: service.address, dataCentre: "dc-0" } },
        },
    });
    stops.push(fleet.stop, service.stop);
    await waitUntilReady(fleet);
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        http.get(`http://${getAddress(fleet, 0)}/services/files/catalogue`, resolve).on("error", reject);
    });
    expect(response.statusCode).toBe(200);
    fleet.nodes[0]?.node.drain();
    // Twice the drain notice: a process that did not wait for the caller would have exited by now.
    await new Promise(resolve => setTimeout(resolve, 1500));
    expect(fleet.nodes[0]?.exitCodes).toEqual([]);
    let length = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
        length += chunk.length;
    }
    expect(length).toBe(size);
    await waitUntil(() => fleet.nodes[0]?.exitCodes.length === 1);
});

it("exits even if the store does not answer the revocation of its lease", async () => {
    const fleet = await startFleet({ count: 1, document: {}, overrides });
    stops.push(fleet.stop);
    await waitUntilReady(fleet);
    fleet.platform.startOutage();
    fleet.nodes[0]?.node.drain();
    await waitUntil(() => fleet.nodes[0]?.exitCodes.length === 1);
});
