import * as http from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import {
    type FleetNode,
    type PlatformFleet,
    sendRequest,
    startPlatformFleet,
    streamHeaders,
    waitUntil,
} from "../support/platformFleet";

let startedFleet: PlatformFleet | undefined;

async function startFleet(options?: Parameters<typeof startPlatformFleet>[0]): Promise<PlatformFleet> {
    startedFleet = await startPlatformFleet(options);
    return startedFleet;
}

afterEach(async () => {
    await startedFleet?.close();
    startedFleet = undefined;
});

const listRuns = (servers: PlatformFleet["services"]) =>
    servers.flatMap(server => server.receivedRequests.filter(received => received.hasRun));
const getCallerAddress = ({ nodes }: PlatformFleet): string => nodes[0]?.callerAddress ?? "";

describe("a request through one process", () => {
    it("reaches a target with its body and without the key, and gets a complete, signed answer", async () => {
        const fleet = await startFleet();
        const answer = await sendRequest(getCallerAddress(fleet), {
            path: "/issue/7?copies=2",
            body: "two frames",
            headers: { "x-marjoramvane-tenant-id": "another", "x-marjoramvane-hold": "1", "kv-from": "x" },
        });
        const [run] = listRuns(fleet.services);
        expect(answer).toMatchObject({ status: 200, body: "done", isComplete: true });
        expect(answer.headers["x-marjoramvane-response-signature"]).toMatch(/^s\d\./);
        expect(run).toMatchObject({ path: "/issue/7?copies=2", body: "two frames" });
        expect(run?.headers["x-marjoramvane-tenant-id"]).toBe("shop");
        expect(run?.headers.authorization).toBeUndefined();
        expect(run?.headers["x-marjoramvane-hold"]).toBeUndefined();
        expect(run?.headers["kv-from"]).toBeUndefined();
        expect(Number(run?.headers["x-marjoramvane-deadline-ms"])).toBeLessThanOrEqual(3000);
    });

    it("relays the events of an engine in order and sends the cache salt of the weights version", async () => {
        const fleet = await startFleet();
        const answer = await sendRequest(getCallerAddress(fleet), { path: "/review/1", headers: streamHeaders });
        const [run] = listRuns(fleet.engines);
        expect(answer.isComplete).toBe(true);
        expect(answer.body.match(/id: \d/g)).toEqual(["id: 1", "id: 2", "id: 3", "id: 4"]);
        expect(run?.headers["x-marjoramvane-cache-salt"]).toContain(".1.");
        expect(run?.headers["x-marjoramvane-expect-version"]).toBe("1");
    });

    it("refuses unknown keys and routes, and serves open routes without a key", async () => {
        const fleet = await startFleet();
        const callers = getCallerAddress(fleet);
        expect((await sendRequest(callers, { path: "/lookup/1", key: "wrong" })).status).toBe(401);
        expect((await sendRequest(callers, { path: "/lookup/1", key: "" })).status).toBe(401);
        expect((await sendRequest(callers, { path: "/none/1" })).status).toBe(404);
        expect((await sendRequest(callers, { path: "/open/1", key: "" })).status).toBe(200);
    });
});

describe("engines that end under one part of a prompt", () => {
    const sendPrompt = (address: string, parts: string): ReturnType<typeof sendRequest> =>
        sendRequest(address, {
            path: "/review/1",
            headers: { ...streamHeaders, "x-marjoramvane-prompt-prefix": parts },
        });

    // Guards against crashes that only the systems notice, not the connections of real processes.
    it("end a few times; then all processes refuse the part and serve others, also one that starts later", async () => {
        const fleet = await startFleet({ nodes: 2 });
        fleet.engines.forEach(engine => {
            engine.crashingPart = "bad1";
        });
        const countCrashes = (): number => fleet.engines.reduce((sum, { crashCount }) => sum + crashCount, 0);
        const isRefused = async ({ callerAddress }: FleetNode): Promise<boolean> =>
            (await sendPrompt(callerAddress, "5c1e07a2:800,bad1:100,e4402b7d:250")).headers["retry-after"] !== undefined
            && fleet.nodes.every(({ logs }) => logs.some(line => line.includes("quarantine:")));
        await waitUntil(async () => {
            const [first, second] = fleet.nodes as [FleetNode, FleetNode];
            await sendPrompt(first.callerAddress, "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
            return await isRefused(first) && await isRefused(second);
        }, 20_000);
        const crashCount = countCrashes();
        const late = await fleet.startNode("front-3");
        await waitUntil(async () => {
            const answer = await sendRequest(late.readinessAddress, { path: "/-/readyz", method: "GET" });
            return answer.status === 200;
        });
        const refused = await sendPrompt(late.callerAddress, "bad1:100,e4402b7d:250");
        expect(refused.status).toBe(503);
        expect(refused.body).toContain("\"not_run\"");
        expect(Number(refused.headers["retry-after"])).toBeGreaterThan(30);
        await waitUntil(async () => {
            const served = await sendPrompt(late.callerAddress, "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
            return served.status === 200 && served.isComplete;
        });
        expect(countCrashes()).toBe(crashCount);
    });
});

describe("a server that names a limit on its requests", () => {
    it("gets no more from two processes than it names", async () => {
        const fleet = await startFleet({ nodes: 2 });
        fleet.services.forEach(service => {
            service.requestLimit = 2;
        });
        const statuses: number[] = [];
        const startedAt = Date.now();
        while (Date.now() - startedAt < 4000) {
            await Promise.all(fleet.nodes.map(async ({ callerAddress }) => {
                statuses.push((await sendRequest(callerAddress, { path: "/issue/1" })).status);
            }));
        }
        const allowed = 1.5 * 2 * 4 + 5;
        fleet.services.forEach(service => {
            expect(listRuns([service]).length).toBeLessThanOrEqual(allowed);
        });
        expect(statuses).toContain(503);
        expect(statuses.every(status => status === 200 || status === 503)).toBe(true);
    });
});

describe("targets that fail", () => {
    it("answers 503 with Retry-After when all targets refuse a request before running it", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "shed";
        });
        const refused = await sendRequest(getCallerAddress(fleet), { path: "/issue/1" });
        expect(refused.status).toBe(503);
        expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
        expect(listRuns(fleet.services)).toHaveLength(0);
    });

    it("never reports that a request has not run when its answer was lost", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "lose";
        });
        const answer = await sendRequest(getCallerAddress(fleet), { path: "/issue/1" });
        expect(answer.status).toBe(502);
        expect(listRuns(fleet.services)).toHaveLength(1);
    });

    // Guards against "not run" for a request that the target runs: the refusal of an earlier request arrives once more
    // on the kept connection, as the answer to the next request or to the same one when it is sent again.
    it("takes no refusal from a connection that has carried one before", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "staleRefusal";
        });
        for (let index = 0; index < 6; index += 1) {
            const attempt = `attempt-${index}`;
            const answer = await sendRequest(getCallerAddress(fleet), {
                path: "/issue/1",
                headers: { "x-marjoramvane-attempt-id": attempt },
            });
            const runs = listRuns(fleet.services).filter(received => received.attempt === attempt);
            expect(runs.length).toBe(answer.status === 200 ? 1 : 0);
        }
        expect(listRuns(fleet.services).length).toBeGreaterThan(3);
    });

    it("accepts a refusal that arrives before the target has read a long body", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "early";
        });
        const body = "x".repeat(4 * 1024 * 1024);
        for (let request = 0; request < 5; request += 1) {
            const answer = await sendRequest(getCallerAddress(fleet), { path: `/issue/${request}`, body });
            expect(answer.status).toBe(503);
        }
        expect(listRuns(fleet.services)).toHaveLength(0);
    });

    it("retries a repeatable request at a second target and not at a third", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "lose";
        });
        const answer = await sendRequest(getCallerAddress(fleet), { path: "/lookup/1" });
        expect(answer.status).toBe(502);
        expect(listRuns(fleet.services)).toHaveLength(2);
    });

    it("does not relay a successful answer that the target did not sign", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "unsigned";
        });
        expect((await sendRequest(getCallerAddress(fleet), { path: "/issue/1" })).status).toBe(502);
    });

    it("does not relay a truncated answer as if it were complete, but answers 502", async () => {
        const fleet = await startFleet();
        for (const behaviour of ["cut", "unframedReset"] as const) {
            fleet.services.forEach(service => {
                service.behaviour = behaviour;
            });
            const answer = await sendRequest(getCallerAddress(fleet), { path: "/issue/1" });
            expect(answer.status).toBe(502);
        }
    });

    it("discards bytes that a target sends without a request", async () => {
        const fleet = await startFleet();
        fleet.services.forEach(service => {
            service.behaviour = "extra";
        });
        for (let request = 0; request < 6; request += 1) {
            const answer = await sendRequest(getCallerAddress(fleet), { path: `/issue/${request}` });
            expect(answer.body).toBe("done");
            await new Promise(resolve => setTimeout(resolve, 15));
        }
    });

    it("resumes an interrupted stream at another engine and relays each event once", async () => {
        const fleet = await startFleet({ engine: { events: 8 } });
        const [failingEngine, otherEngine] = fleet.engines;
        if (failingEngine) {
            failingEngine.behaviour = "cut";
        }
        const expected = [1, 2, 3, 4, 5, 6, 7, 8].map(id => `id: ${id}`);
        for (let request = 0; request < 20 && failingEngine?.receivedRequests.length === 0; request += 1) {
            const answer = await sendRequest(getCallerAddress(fleet), {
                path: `/reply/${request}`,
                headers: {
                    ...streamHeaders,
                    "x-marjoramvane-prompt-prefix": `${request}a:800,${request}b:410,${request}c:250`,
                },
            });
            expect(answer.isComplete).toBe(true);
            expect(answer.body.match(/id: \d/g)).toEqual(expected);
        }
        const resumedRequest = otherEngine?.receivedRequests.at(-1);
        expect(resumedRequest?.attempt).toBe(failingEngine?.receivedRequests[0]?.attempt);
        expect(resumedRequest?.headers["last-event-id"]).toBe("2");
    });

    // Guards against an error's text or head in the middle of a caller's stream, and against an end that looks complete.
    it("ends a broken stream without a word of the error with which the next engine answers", async () => {
        const fleet = await startFleet();
        const [first, second] = fleet.engines;
        if (!first || !second) {
            throw new Error("The fleet needs two engines.");
        }
        for (const path of ["/review/1", "/reply/1"]) {
            for (let index = 0; index < 6; index += 1) {
                const [cut, failing] = index % 2 === 0 ? [first, second] : [second, first];
                cut.behaviour = "cut";
                failing.behaviour = "error";
                const answer = await sendRequest(getCallerAddress(fleet), { path, headers: streamHeaders });
                if (answer.status === 200) {
                    expect(answer.isComplete).toBe(false);
                    expect(answer.body.replace(/id: (\d)\ndata: e\d \1\n\n/g, "")).toBe("");
                }
                else {
                    expect(answer.status).toBeGreaterThanOrEqual(500);
                }
            }
        }
        expect(fleet.engines.every(engine => listRuns([engine]).length > 0)).toBe(true);
    });

    it("ends a stream that is not resumable without running the request again", async () => {
        const fleet = await startFleet();
        fleet.engines.forEach(engine => {
            engine.behaviour = "cut";
        });
        const answer = await sendRequest(getCallerAddress(fleet), { path: "/review/1", headers: streamHeaders });
        expect(answer.isComplete).toBe(false);
        expect(listRuns(fleet.engines)).toHaveLength(1);
    });

    it("cancels the request at the target at once when its caller disconnects", async () => {
        const fleet = await startFleet({ engine: { events: 200, eventMs: 20 } });
        await sendRequest(getCallerAddress(fleet), {
            path: "/review/1",
            headers: streamHeaders,
            disconnectAfterMs: 150,
        })
            .catch(() => undefined);
        await waitUntil(() => listRuns(fleet.engines)[0]?.isCancelled === true, 1000);
    });
});

describe("callers that disconnect", () => {
    it("do not crash the process when events arrive while connections are closing", async () => {
        const fleet = await startFleet({ engine: { events: 200, eventMs: 0 } });
        const disconnecting = Array.from({ length: 40 }, (_, index) =>
            sendRequest(getCallerAddress(fleet), {
                path: `/review/${index}`,
                headers: streamHeaders,
                disconnectAfterMs: 5 + index * 3,
            }).catch(() => undefined));
        await Promise.all(disconnecting);
        expect((await sendRequest(getCallerAddress(fleet), { path: "/lookup/1" })).status).toBe(200);
    });
});

describe("changes in the store", () => {
    it("applies a new configuration, without the keys that it no longer contains", async () => {
        const fleet = await startFleet();
        fleet.writeConfiguration({ tenants: [{ name: "shop", "api-keys": ["new-key"] }] });
        await waitUntil(async () =>
            (await sendRequest(getCallerAddress(fleet), { path: "/lookup/1", key: "new-key" })).status === 200
        );
        expect((await sendRequest(getCallerAddress(fleet), { path: "/lookup/1" })).status).toBe(401);
    });

    it("serves with its last configuration while the store is busy, resets connections or is silent", async () => {
        const fleet = await startFleet();
        for (const mode of ["busy", "reset", "silent"] as const) {
            fleet.store.faults.mode = mode;
            await new Promise(resolve => setTimeout(resolve, 400));
            expect((await sendRequest(getCallerAddress(fleet), { path: "/lookup/1" })).status).toBe(200);
        }
        fleet.store.faults.mode = "none";
        fleet.writeConfiguration({ tenants: [{ name: "shop", "api-keys": ["later-key"] }] });
        await waitUntil(
            async () =>
                (await sendRequest(getCallerAddress(fleet), { path: "/lookup/1", key: "later-key" })).status === 200,
            6000,
        );
    });

    it("applies a change although the store has compacted its history", async () => {
        const fleet = await startFleet();
        fleet.writeConfiguration({ tenants: [{ name: "shop", "api-keys": ["newest-key"] }] });
        fleet.store.compact();
        await waitUntil(
            async () =>
                (await sendRequest(getCallerAddress(fleet), { path: "/lookup/1", key: "newest-key" })).status === 200,
            6000,
        );
    });

    it("sends nothing to a draining server and ignores malformed entries", async () => {
        const fleet = await startFleet();
        const [drainingServer, otherServer] = fleet.services;
        fleet.store.putText("servers/forged", "{not json");
        fleet.store.put("servers/other", { service: "orders", address: 5 });
        if (drainingServer) {
            fleet.register(drainingServer, "draining");
        }
        await new Promise(resolve => setTimeout(resolve, 500));
        for (let request = 0; request < 5; request += 1) {
            expect((await sendRequest(getCallerAddress(fleet), { path: "/lookup/1" })).status).toBe(200);
        }
        expect(drainingServer?.receivedRequests).toHaveLength(0);
        expect(otherServer?.receivedRequests.length).toBe(5);
    });

    it("brings engines to newly published weights by orders of a single leader", async () => {
        const fleet = await startFleet({ nodes: 2 });
        fleet.store.put("op/version/model-a", { model: "model-a", version: 2 });
        await waitUntil(() => fleet.engines.every(engine => engine.version === 2), 8000);
        const orders = fleet.engines.flatMap(engine => engine.orders);
        expect(new Set(orders.map(order => `${order.holder} ${order.fencingToken}`)).size).toBe(1);
    }, 15_000);
});

describe("weight orders that are executed late", () => {
    it("never bring an engine back to older weights, also after their sender has stopped", async () => {
        // The delay is longer than another process needs to become rollout leader and to order the next version.
        const lateMs = 7000;
        const fleet = await startFleet({ nodes: 2 });
        fleet.engines.forEach(engine => {
            engine.orderDelayMs = lateMs;
        });
        fleet.store.put("op/version/model-a", { model: "model-a", version: 2 });
        const findSender = () =>
            fleet.nodes.find(({ logs }) => logs.some(line => line.includes("Engine is ordered to take new weights")));
        await waitUntil(() => findSender() !== undefined, 8000);
        const orderSeenAt = Date.now();
        findSender()?.node.stop();
        fleet.engines.forEach(engine => {
            engine.orderDelayMs = 0;
        });
        fleet.store.put("op/version/model-a", { model: "model-a", version: 3 });
        await waitUntil(() => fleet.engines.every(engine => engine.version === 3), 15_000);
        expect(Date.now() - orderSeenAt).toBeLessThan(lateMs);
        await new Promise(resolve => setTimeout(resolve, lateMs));
        for (const { orders } of fleet.engines) {
            const versions = orders.map(({ version }) => version);
            expect(versions).toEqual([...versions].sort((left, right) => left - right));
        }
    }, 30_000);
});

describe("processes", () => {
    it("returns the addresses of all processes to callers, without those that are draining", async () => {
        const fleet = await startFleet({ nodes: 2 });
        const [runningNode, drainingNode] = fleet.nodes;
        const listAddresses = async (): Promise<string[]> => {
            const answer = await sendRequest(runningNode?.directoryAddress ?? "", {
                path: "/-/resolve?name=shop.example&region=r&zone=zone-a",
                method: "GET",
            });
            return (JSON.parse(answer.body) as { addrs: string[]; }).addrs;
        };
        await waitUntil(async () => (await listAddresses()).length === 2);
        drainingNode?.node.drain();
        await waitUntil(async () => (await listAddresses()).length === 1);
        expect(await listAddresses()).toEqual([runningNode?.callerAddress]);
    });

    it("finishes a running stream before it exits, but becomes unready as soon as draining begins", async () => {
        const fleet = await startFleet({ engine: { events: 30, eventMs: 20 } });
        const [drainingNode] = fleet.nodes;
        const agent = new http.Agent({ keepAlive: true });
        const running = sendRequest(getCallerAddress(fleet), { path: "/review/1", headers: streamHeaders, agent });
        await waitUntil(() => listRuns(fleet.engines).length === 1);
        drainingNode?.node.drain();
        await waitUntil(
            async () =>
                (await sendRequest(drainingNode?.readinessAddress ?? "", { path: "/-/readyz", method: "GET" })).status
                    === 503,
            300,
        );
        const answer = await running;
        expect(answer.isComplete).toBe(true);
        expect(await drainingNode?.exitCode).toBe(0);
        agent.destroy();
    });

    it("serves its counters and histograms on the metrics address", async () => {
        const fleet = await startFleet();
        await sendRequest(getCallerAddress(fleet), { path: "/lookup/1" });
        const { body } = await sendRequest(fleet.nodes[0]?.metricsAddress ?? "", { path: "/metrics", method: "GET" });
        expect(body).toContain("marjoramvane_requests_total");
        expect(body).toContain("marjoramvane_request_ms");
    });

    it("logs the routing decision and the end of each request with its id", async () => {
        const fleet = await startFleet();
        const id = "abcdef0123456789";
        await sendRequest(getCallerAddress(fleet), { path: "/lookup/1", headers: { "x-marjoramvane-attempt-id": id } });
        const lines = fleet.nodes[0]?.logs.filter(line => line.includes(id)) ?? [];
        expect(lines.some(line => line.startsWith("route: Request is sent."))).toBe(true);
        expect(lines.some(line => line.startsWith("stream: Request finished."))).toBe(true);
    });
});
