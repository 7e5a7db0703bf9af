/**
 * Clients outside the limits, at each listener of a real process of the forwarding mode. Only what does not depend on the
 * speed of the machine is checked: the process lives, its memory and descriptors stay bounded, and it answers afterwards.
 */
import { readdirSync } from "node:fs";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { buildPlatformConfiguration, plainService } from "../../standins/platformConfiguration";
import { type PlatformServer, startPlatformServer } from "../../standins/platformServer";
import { type PlatformStore, startPlatformStore } from "../../standins/platformStore";
import { closeClients, type OpenClient, openUnfinished, sendPipelined } from "../support/clientLoads";
import { type ForwardProcess, startForwardProcess } from "../support/forwardProcess";
import { apiKey, sendRequest, waitUntil } from "../support/platformFleet";

/** Two thirds of the deployed heap, so that a small load shows what grows without a bound. */
const nodeOptions = ["--max-old-space-size=64", "--max-semi-space-size=2"];
/** The smallest VM has 186 MB; processes ended near 165 MB in the trial. */
const maxMemoryBytes = 160 * 1024 * 1024;
/** The smallest VM has 2,212 descriptors, 200 of them for files; targets, peers and the store need the rest. */
const maxDescriptors = 1400;

const largeAnswer = "x".repeat(8 * 1024 * 1024);

let store: PlatformStore;
let services: PlatformServer[];
let process: ForwardProcess | undefined;
let clients: OpenClient[];

beforeEach(async () => {
    clients = [];
    store = await startPlatformStore();
    services = [
        await startPlatformServer({ instance: "s1", service: plainService }),
        await startPlatformServer({ instance: "s2", service: "large", answerText: largeAnswer }),
        await startPlatformServer({ instance: "s3", service: "slow" }),
    ];
    (services[2] as PlatformServer).behaviour = "hang";
    const base = buildPlatformConfiguration({ version: 1 });
    const [firstRoute] = (base["routes"] as readonly Record<string, unknown>[]).slice(3);
    store.put("op/config", {
        ...base,
        routes: [
            ...base["routes"] as readonly unknown[],
            ...["large", "slow"].map(name => ({ ...firstRoute, name, prefix: `/${name}/`, service: name })),
        ],
        services: [
            ...base["services"] as readonly unknown[],
            ...["large", "slow"].map(name => ({ "name": name, "max-connections": 100 })),
        ],
    });
    services.forEach(service => {
        store.put(`servers/${service.instance}`, service.buildRegistration());
    });
    process = await startForwardProcess(store.address, { nodeOptions });
    await waitUntil(async () => (await sendSound()) === 200, 10_000);
});

afterEach(async () => {
    closeClients(clients);
    process?.kill();
    process = undefined;
    await Promise.all([store.close(), ...services.map(service => service.close())]);
});

const getProcess = (): ForwardProcess => process as ForwardProcess;

const sendSound = (): Promise<number> =>
    sendRequest(getProcess().callerAddress, { path: "/lookup/1", method: "GET" })
        .then(({ status }) => status)
        .catch(() => 0);

const countDescriptors = (): number => readdirSync(`/proc/${getProcess().pid}/fd`).length;

/** Checks the process once the load has ended; a request gets ten seconds, so that no speed is checked. */
async function checkProcess(): Promise<void> {
    expect(getProcess().isRunning()).toBe(true);
    expect(getProcess().readMaxMemory()).toBeLessThan(maxMemoryBytes);
    expect(countDescriptors()).toBeLessThan(maxDescriptors);
    await waitUntil(async () => (await sendSound()) === 200, 10_000);
    const probe = await sendRequest(getProcess().readinessAddress, { path: "/-/readyz", method: "GET" });
    expect(probe.status).toBe(200);
    expect(getProcess().isRunning()).toBe(true);
}

const listeners = {
    callers: "callerAddress",
    directory: "directoryAddress",
    readiness: "readinessAddress",
    metrics: "metricsAddress",
    peers: "peersAddress",
} as const;

type Listener = keyof typeof listeners;

const getAddress = (listener: Listener): string => getProcess()[listeners[listener]];

const host = "Host: shop.example\r\n";
const callerHeaders = [
    host.trimEnd(),
    `Authorization: Token ${apiKey}`,
    "x-marjoramvane-attempt-id: 0123456789abcdef",
    "x-marjoramvane-deadline-ms: 3000",
].join("\r\n");
const state = JSON.stringify({ vm: "other" });

interface PipelinedCase {
    readonly what: string;
    readonly to: Listener;
    readonly request: string;
    readonly firstRequest?: string;
}

const resolvePath = "/-/resolve?name=shop.example&zone=zone-a";

/** Requests of the trial, and requests to the other listeners. */
const pipelinedCases: readonly PipelinedCase[] = [
    { what: "requests without headers", to: "callers", request: "GET / HTTP/1.1\r\n\r\n" },
    { what: "requests with a host only", to: "callers", request: `GET /lookup/1 HTTP/1.1\r\n${host}\r\n` },
    { what: "probes", to: "readiness", request: `GET /-/readyz HTTP/1.1\r\n${host}\r\n` },
    { what: "probes", to: "callers", request: `GET /-/readyz HTTP/1.1\r\n${host}\r\n` },
    { what: "paths without a route", to: "callers", request: `GET /x HTTP/1.1\r\n${callerHeaders}\r\n\r\n` },
    { what: "paths without a route", to: "readiness", request: `GET /x HTTP/1.1\r\n${host}\r\n` },
    { what: "questions for addresses", to: "directory", request: `GET ${resolvePath} HTTP/1.1\r\n${host}\r\n` },
    { what: "questions for addresses", to: "callers", request: `GET ${resolvePath} HTTP/1.1\r\n${host}\r\n` },
    { what: "POSTs without headers", to: "callers", request: `POST / HTTP/1.1\r\n${host}Content-Length: 0\r\n\r\n` },
    {
        what: "chunked POSTs",
        to: "callers",
        request: `POST /lookup/1 HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n`,
    },
    {
        what: "POSTs that expect 100-continue",
        to: "callers",
        request: `POST /lookup/1 HTTP/1.1\r\n${host}Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx`,
    },
    {
        what: "requests with an unknown expectation",
        to: "callers",
        request: `GET /lookup/1 HTTP/1.1\r\n${host}Expect: other\r\n\r\n`,
    },
    {
        what: "requests with unknown keys",
        to: "callers",
        request: `GET /lookup/1 HTTP/1.1\r\n${host}Authorization: Token unknown\r\n\r\n`,
    },
    {
        what: "sound requests",
        to: "callers",
        request: `GET /lookup/1 HTTP/1.1\r\n${callerHeaders}\r\n\r\n`,
    },
    {
        what: "sound requests to a slow target",
        to: "callers",
        request: `GET /slow/1 HTTP/1.1\r\n${callerHeaders}\r\n\r\n`,
    },
    {
        what: "bare requests behind a slow one",
        to: "callers",
        firstRequest: `GET /slow/1 HTTP/1.1\r\n${callerHeaders}\r\n\r\n`,
        request: "GET / HTTP/1.1\r\n\r\n",
    },
    { what: "reads", to: "metrics", request: `GET /metrics HTTP/1.1\r\n${host}\r\n` },
    {
        what: "states",
        to: "peers",
        request: `POST /exchange HTTP/1.1\r\n${host}Content-Length: ${state.length}\r\n\r\n${state}`,
    },
    { what: "calls for changes", to: "peers", request: `POST /changes HTTP/1.1\r\n${host}Content-Length: 0\r\n\r\n` },
];

// Guards against memory that grows with the requests of a client that reads no answers.
describe("a process whose clients pipeline requests and read no answers", () => {
    it.each(pipelinedCases)("goes on: $what, to the listener for $to", async ({ to, request, firstRequest }) => {
        await sendPipelined(getAddress(to), { request, ...(firstRequest === undefined ? {} : { firstRequest }) });
        await checkProcess();
    }, 60_000);
});

const unfinishedConnections = 1600;

// Guards against a client that takes all descriptors or the memory of connections.
describe("a process with many connections from one address", () => {
    it.each(Object.keys(listeners) as Listener[])("goes on: half-sent heads, to the listener for %s", async to => {
        clients = await openUnfinished(
            getAddress(to),
            `POST /lookup/1 HTTP/1.1\r\n${host}x-more: `,
            unfinishedConnections,
        );
        await checkProcess();
    }, 60_000);

    it("goes on while callers send nothing at all", async () => {
        clients = await openUnfinished(getAddress("callers"), "", unfinishedConnections);
        await checkProcess();
    }, 60_000);
});

// Guards against bodies that are read whole, each within its limit, from more callers than there is memory for.
describe("a process with many bodies that are not finished", () => {
    const bodyBytes = 4 * 1024 * 1024;
    const head = `POST /lookup/1 HTTP/1.1\r\n${callerHeaders}\r\nContent-Length: ${bodyBytes}\r\n\r\n`;

    it("goes on with 60 bodies of almost the maximum length", async () => {
        const bytes = Buffer.concat([Buffer.from(head), Buffer.alloc(bodyBytes - 1, "x")]);
        clients = await openUnfinished(getAddress("callers"), bytes, 60);
        await new Promise(resolve => setTimeout(resolve, 2000));
        await checkProcess();
    }, 60_000);

    it("goes on with 60 whole bodies that wait for a slow target", async () => {
        const bytes = Buffer.concat([
            Buffer.from(head.replace("/lookup/", "/slow/")),
            Buffer.alloc(bodyBytes, "x"),
        ]);
        clients = await openUnfinished(getAddress("callers"), bytes, 60);
        await new Promise(resolve => setTimeout(resolve, 2000));
        await checkProcess();
    }, 60_000);
});

// Guards against answers that are held whole for callers that do not read them.
describe("a process with large answers", () => {
    it("goes on while 40 callers do not read them", async () => {
        const whole = await sendRequest(getProcess().callerAddress, { path: "/large/1", method: "GET" });
        expect([whole.status, whole.body.length]).toEqual([200, largeAnswer.length]);
        const request = `GET /large/1 HTTP/1.1\r\n${callerHeaders}\r\n\r\n`;
        for (let index = 0; index < 10; index += 1) {
            clients.push(...await openUnfinished(getAddress("callers"), request, 4));
            await new Promise(resolve => setTimeout(resolve, 300));
        }
        await checkProcess();
    }, 60_000);
});
