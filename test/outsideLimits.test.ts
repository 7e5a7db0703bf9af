/**
 * Clients outside the limits, at each listener of a real process of the completions mode. Only what does not depend on
 * the speed of the machine is checked: the process lives, its memory and descriptors stay bounded, and it answers
 * afterwards.
 */
import { readdirSync } from "node:fs";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type Platform, startPlatform } from "../standins/completionsPlatform";
import { type RouterProcess, startRouter, stopRouter, waitForRouter } from "../standins/processes";
import { type Service, startService } from "../standins/service";
import { closeClients, type OpenClient, openUnfinished, sendPipelined } from "./support/clientLoads";
import { hashKey, waitUntil, writeConfiguration } from "./support/fleet";
import { readMaxMemory } from "./support/forwardProcess";

/** Two thirds of the heap of the smallest VM, so that a small load shows what grows without a bound. */
const nodeOptions = ["--max-old-space-size=64", "--max-semi-space-size=2"];
/** The smallest VM has 186 MB; processes ended near 165 MB in the trial. */
const maxMemoryBytes = 160 * 1024 * 1024;
/** The smallest VM has 2,212 descriptors, 200 of them for files; targets, peers and the store need the rest. */
const maxDescriptors = 1400;

const key = "sk-outside-limits";
const fillerBytes = 8 * 1024 * 1024;

let platform: Platform;
let services: Service[];
let router: RouterProcess | undefined;
let clients: OpenClient[];

beforeEach(async () => {
    clients = [];
    platform = await startPlatform();
    services = [await startService(), await startService(), await startService()];
    (services[1] as Service).faults.fillerBytes = fillerBytes;
    (services[2] as Service).faults.hangs = Number.POSITIVE_INFINITY;
    const names = ["lookup", "large", "slow"];
    writeConfiguration(platform, 1, {
        accounts: { shop: { rate: 10_000_000, burst: 10_000_000 } },
        keys: { [hashKey(key)]: { account: "shop" } },
        routes: Object.fromEntries(names.map(name => [name, { kind: "service", service: name, repeatable: true }])),
        targets: Object.fromEntries(services.map(({ address }, index) => [
            `service-${index}`,
            { kind: "service", service: names[index], address, dataCentre: "dc-0" },
        ])),
    });
    router = await startRouter({
        vm: "entry-0",
        dataCentre: "dc-0",
        storeAddress: platform.address,
        overrides: { membership: { leaseSeconds: 2, exchangeEveryMs: 200, freshForMs: 2000 } },
        nodeOptions,
    });
    await waitForRouter(router);
    await waitUntil(async () => (await sendSound()) === 200);
});

afterEach(async () => {
    closeClients(clients);
    await Promise.all([...(router ? [stopRouter(router)] : []), ...services.map(service => service.stop())]);
    router = undefined;
    await platform.stop();
});

const getRouter = (): RouterProcess => router as RouterProcess;
const getPid = (): number => getRouter().process.pid ?? 0;
const isRunning = (): boolean => getRouter().process.exitCode === null && getRouter().process.signalCode === null;

async function sendSound(path = "/services/lookup/1"): Promise<number> {
    const headers = { authorization: `Bearer ${key}`, connection: "close" };
    const response = await fetch(`http://${getRouter().callerAddress}${path}`, { headers }).catch(() => undefined);
    await response?.arrayBuffer().catch(() => undefined);
    return response?.status ?? 0;
}

/** Checks the process once the load has ended; a request gets ten seconds, so that no speed is checked. */
async function checkProcess(): Promise<void> {
    expect(isRunning()).toBe(true);
    expect(readMaxMemory(getPid())).toBeLessThan(maxMemoryBytes);
    expect(readdirSync(`/proc/${getPid()}/fd`).length).toBeLessThan(maxDescriptors);
    await waitUntil(async () => (await sendSound()) === 200, 10_000);
    await waitUntil(async () => (await sendSound("/readyz")) === 200, 10_000);
    expect(isRunning()).toBe(true);
}

const listeners = { callers: "callerAddress", operators: "operatorAddress", peers: "peerAddress" } as const;

type Listener = keyof typeof listeners;

const getAddress = (listener: Listener): string => getRouter()[listeners[listener]];

const host = "Host: entry.example\r\n";
const callerHeaders = `${host}Authorization: Bearer ${key}\r\n`;
const completionPath = "/v1/completions";

interface PipelinedCase {
    readonly what: string;
    readonly to: Listener;
    readonly request: string;
    readonly firstRequest?: string;
}

const pipelinedCases: readonly PipelinedCase[] = [
    { what: "requests without headers", to: "callers", request: "GET / HTTP/1.1\r\n\r\n" },
    { what: "probes", to: "callers", request: `GET /readyz HTTP/1.1\r\n${host}\r\n` },
    { what: "reads of the metrics", to: "callers", request: `GET /metrics HTTP/1.1\r\n${host}\r\n` },
    { what: "paths without a route", to: "callers", request: `GET /x HTTP/1.1\r\n${host}\r\n` },
    { what: "questions for entries", to: "callers", request: `GET /v1/entries HTTP/1.1\r\n${host}\r\n` },
    { what: "services without a key", to: "callers", request: `GET /services/lookup/1 HTTP/1.1\r\n${host}\r\n` },
    {
        what: "completions without a body",
        to: "callers",
        request: `POST ${completionPath} HTTP/1.1\r\n${host}Content-Length: 0\r\n\r\n`,
    },
    {
        what: "chunked completions",
        to: "callers",
        request: `POST ${completionPath} HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n`,
    },
    {
        what: "POSTs that expect 100-continue",
        to: "callers",
        request: `POST ${completionPath} HTTP/1.1\r\n${host}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n{}`,
    },
    { what: "sound requests", to: "callers", request: `GET /services/lookup/1 HTTP/1.1\r\n${callerHeaders}\r\n` },
    {
        what: "sound requests to a slow target",
        to: "callers",
        request: `GET /services/slow/1 HTTP/1.1\r\n${callerHeaders}\r\n`,
    },
    {
        what: "bare requests behind a slow one",
        to: "callers",
        firstRequest: `GET /services/slow/1 HTTP/1.1\r\n${callerHeaders}\r\n`,
        request: "GET / HTTP/1.1\r\n\r\n",
    },
    { what: "commands without a key", to: "operators", request: `GET /operator/status HTTP/1.1\r\n${host}\r\n` },
    { what: "unknown paths", to: "operators", request: `GET /x HTTP/1.1\r\n${host}\r\n` },
    { what: "unknown procedures", to: "peers", request: `GET /x HTTP/1.1\r\n${host}\r\n` },
    {
        what: "calls without the secret",
        to: "peers",
        request: `POST /exchange HTTP/1.1\r\n${host}Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}`,
    },
];

// Guards against memory that grows with the requests of a client that reads no answers.
describe("a process whose clients pipeline requests and read no answers", () => {
    it.each(pipelinedCases)("goes on: $what, to the listener for $to", async ({ to, request, firstRequest }) => {
        await sendPipelined(getAddress(to), { request, ...(firstRequest === undefined ? {} : { firstRequest }) });
        await checkProcess();
    }, 60_000);
});

// Guards against a client that takes all descriptors or the memory of connections.
describe("a process with many connections from one address", () => {
    it.each(Object.keys(listeners) as Listener[])("goes on: half-sent heads, to the listener for %s", async to => {
        clients = await openUnfinished(getAddress(to), `POST /x HTTP/1.1\r\n${host}x-more: `, 1600);
        await checkProcess();
    }, 60_000);
});

// Guards against bodies that are read whole, each within its limit, from more callers than there is memory for.
describe("a process with many bodies", () => {
    const bodyBytes = 4 * 1024 * 1024;

    it.each([
        { what: "unfinished", path: "/services/lookup/1", sentBytes: bodyBytes - 1 },
        { what: "whole, for a slow target,", path: "/services/slow/1", sentBytes: bodyBytes },
    ])("goes on with 60 bodies that are $what", async ({ path, sentBytes }) => {
        const head = `POST ${path} HTTP/1.1\r\n${callerHeaders}Content-Length: ${bodyBytes}\r\n\r\n`;
        const bytes = Buffer.concat([Buffer.from(head), Buffer.alloc(sentBytes, "x")]);
        clients = await openUnfinished(getAddress("callers"), bytes, 60);
        await new Promise(resolve => setTimeout(resolve, 2000));
        await checkProcess();
    }, 60_000);
});

// Guards against answers that are held whole for callers that do not read them.
describe("a process with large answers", () => {
    it("goes on while 40 callers do not read them", async () => {
        expect(await sendSound("/services/large/1")).toBe(200);
        const request = `GET /services/large/1 HTTP/1.1\r\n${callerHeaders}\r\n`;
        for (let index = 0; index < 10; index += 1) {
            clients.push(...await openUnfinished(getAddress("callers"), request, 4));
            await new Promise(resolve => setTimeout(resolve, 300));
        }
        await checkProcess();
    }, 60_000);
});
