/** Real router processes under kill, pause, store outage, simultaneous restart and graceful shutdown. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type Platform, startPlatform } from "../standins/completionsPlatform";
import { blockTokens, bytesPerToken } from "../standins/deployments";
import { type Engine, startEngine } from "../standins/engine";
import { createUuidV7 } from "../standins/load";
import { type CompletionOutcome, sendCompletion } from "../standins/loadClient";
import { type RouterProcess, startRouter, stopRouter, waitForRouter } from "../standins/processes";
import { type Service, startService } from "../standins/service";
import { hashKey, waitUntil, writeConfiguration } from "./support/fleet";

const key = "sk-process-test";
const entryCount = 4;
const freshForMs = 2000;

function buildDocument(engines: readonly Engine[], services: readonly Service[]): Record<string, unknown> {
    return {
        accounts: { shop: { rate: 1_000_000, burst: 10_000_000 } },
        keys: { [hashKey(key)]: { account: "shop" } },
        models: { copy: { bytesPerToken, blockTokens } },
        routes: {
            copywriter: { kind: "model", model: "copy", version: "v1" },
            orders: { kind: "service", service: "orders" },
        },
        targets: {
            ...Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {
                kind: "engine",
                address: engine.address,
                dataCentre: "dc-0",
                model: "copy",
                version: "v1",
            }])),
            ...Object.fromEntries(services.map((service, index) => [`service-${index}`, {
                kind: "service",
                address: service.address,
                dataCentre: "dc-0",
                service: "orders",
            }])),
        },
    };
}

describe("router processes", () => {
    let platform: Platform;
    let engines: Engine[];
    let services: Service[];
    let entries: RouterProcess[];

    async function startEntry(index: number): Promise<RouterProcess> {
        return startRouter({
            vm: `entry-${index}`,
            dataCentre: "dc-0",
            storeAddress: platform.address,
            peers: entries.map(entry => entry.peerAddress),
            overrides: {
                membership: { leaseSeconds: 2, exchangeEveryMs: 200, freshForMs },
                timeouts: { drainNoticeMs: 300, requestMs: 20_000 },
            },
        });
    }

    beforeEach(async () => {
        platform = await startPlatform();
        engines = await Promise.all([0, 1, 2].map(() => startEngine({ model: "copy", version: "v1", decodeMs: 3 })));
        services = [await startService()];
        entries = [];
        writeConfiguration(platform, 1, buildDocument(engines, services));
        for (let index = 0; index < entryCount; index += 1) {
            entries.push(await startEntry(index));
        }
        await Promise.all(entries.map(entry => waitForRouter(entry)));
        await Promise.all(entries.map(waitUntilServing));
    });

    afterEach(async () => {
        await Promise.all(entries.map(stopRouter));
        await Promise.all([...engines, ...services].map(target => target.stop()));
        await platform.stop();
    });

    const getEntry = (index: number): RouterProcess => entries[index] as RouterProcess;

    function sendPrompt(entry: RouterProcess, prompt = "hello", maxTokens = 5): Promise<CompletionOutcome> {
        return sendCompletion({
            address: entry.callerAddress,
            key,
            route: "copywriter",
            prompt,
            maxTokens,
            stream: true,
        });
    }

    /** Waits until the entry has tokens for the account, because buckets and floors start empty. */
    async function waitUntilServing(entry: RouterProcess): Promise<void> {
        let lastOutcome: CompletionOutcome | undefined;
        await waitUntil(async () => (lastOutcome = await sendPrompt(entry)).kind === "complete").catch(() => {
            throw new Error(
                `${entry.vm} does not serve: ${JSON.stringify(lastOutcome)}\n${entry.getLog().slice(-3000)}`,
            );
        });
    }

    async function sendOrder(
        entry: RouterProcess,
        id: string,
    ): Promise<{ status: number; verdict: string | undefined; }> {
        const response = await fetch(`http://${entry.callerAddress}/services/orders/print`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}`, "idempotency-key": id, "content-type": "application/json" },
            body: JSON.stringify({ order: id }),
        });
        const body = await response.json() as { error?: { verdict: string; }; };
        return { status: response.status, verdict: body.error?.verdict };
    }

    const getRunCount = (id: string): number => services[0]?.getRunCounts().byKey[id] ?? 0;

    async function listEntries(entry: RouterProcess): Promise<string[]> {
        const response = await fetch(`http://${entry.callerAddress}/v1/entries`);
        return (await response.json() as { entries: string[]; }).entries;
    }

    it("keeps serving through the other processes after one is killed, and stops listing that one", async () => {
        await stopRouter(getEntry(1));
        for (const index of [0, 2, 3]) {
            expect(await sendPrompt(getEntry(index))).toMatchObject({ kind: "complete" });
        }
        await waitUntil(async () => !(await listEntries(getEntry(0))).includes(getEntry(1).callerAddress));
    });

    it("refuses a withdrawn key on a process that was paused and resumes without store and peers", async () => {
        const pausedEntry = getEntry(2);
        const otherEntries = entries.filter(entry => entry !== pausedEntry);
        pausedEntry.process.kill("SIGSTOP");
        const answer = sendPrompt(pausedEntry);
        const document = buildDocument(engines, services);
        writeConfiguration(platform, 2, { ...document, keys: {} }, document);
        await waitUntil(async () => (await sendPrompt(getEntry(0))).kind === "refused");
        await new Promise(resolve => setTimeout(resolve, freshForMs + 500));
        // When the process resumes, it can read the withdrawal neither from the store nor from a peer.
        platform.startOutage();
        otherEntries.forEach(entry => entry.process.kill("SIGSTOP"));
        pausedEntry.process.kill("SIGCONT");
        expect((await answer).kind).toBe("refused");
        expect((await sendPrompt(pausedEntry)).kind).toBe("refused");
        otherEntries.forEach(entry => entry.process.kill("SIGCONT"));
        platform.endOutage();
        await waitUntil(async () => (await sendPrompt(pausedEntry)).kind === "refused");
    });

    it("keeps serving during a store outage, and a process that restarted during it serves afterwards", async () => {
        platform.startOutage();
        await new Promise(resolve => setTimeout(resolve, freshForMs * 2));
        for (const entry of entries) {
            expect(await sendPrompt(entry)).toMatchObject({ kind: "complete" });
        }
        await stopRouter(getEntry(3));
        entries[3] = await startEntry(3);
        await waitForRouter(getEntry(3));
        platform.endOutage();
        await waitUntilServing(getEntry(3));
    });

    it("answers not_run to an order while the store is down, and runs it once afterwards", async () => {
        const id = createUuidV7(Date.now());
        platform.startOutage();
        expect(await sendOrder(getEntry(0), id)).toEqual({ status: 503, verdict: "not_run" });
        expect(getRunCount(id)).toBe(0);
        platform.endOutage();
        await waitUntil(async () => (await sendOrder(getEntry(1), id)).status === 200);
        await Promise.all(entries.map(entry => sendOrder(entry, id)));
        expect(getRunCount(id)).toBe(1);
    });

    it("runs an order at most once when the process that sent it is killed before the answer arrives", async () => {
        const id = createUuidV7(Date.now());
        Object.assign(services[0]?.faults ?? {}, { hangs: 1 });
        const firstAnswer = sendOrder(getEntry(0), id).catch(() => undefined);
        await waitUntil(() => getRunCount(id) === 1);
        await stopRouter(getEntry(0));
        expect(await firstAnswer).toBeUndefined();
        const secondAnswer = await sendOrder(getEntry(1), id);
        expect(secondAnswer.verdict).toBe("may_have_run");
        expect(getRunCount(id)).toBe(1);
    });

    it("makes few store reads per process when all processes restart together", async () => {
        await Promise.all(entries.map(stopRouter));
        const countersBefore = { ...platform.counters };
        entries = [];
        entries = await Promise.all([0, 1, 2, 3].map(startEntry));
        await Promise.all(entries.map(entry => waitForRouter(entry)));
        const reads = platform.counters.reads - countersBefore.reads;
        // Each process reads the configuration, the members and the slots once; the other reads are confirmations.
        expect(reads).toBeLessThanOrEqual(entryCount * 6);
        await Promise.all(entries.map(waitUntilServing));
    });

    it("finishes a running stream after SIGTERM before it exits", async () => {
        const drainingEntry = getEntry(0);
        const answer = sendPrompt(drainingEntry, "a long answer", 400);
        await waitUntil(() => engines.some(engine => engine.runs.some(run => run.body.includes("a long answer"))));
        drainingEntry.process.kill("SIGTERM");
        expect(await answer).toMatchObject({ kind: "complete" });
        expect(await drainingEntry.exited).toBe(0);
        await waitUntil(async () => !(await listEntries(getEntry(1))).includes(drainingEntry.callerAddress));
    });
});
