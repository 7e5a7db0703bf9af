/** A whole path on loopback: stand-in store and servers, and processes of the forwarding mode. */
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { platformPorts } from "../../platform";
import { parseAddress } from "../../src/adapters/httpClient";
import { type RunningForwardNode, startForwardNode } from "../../src/forward/adapters/node";
import { parseForwardSettings } from "../../src/forward/settings";
import { type PlatformServer, type PlatformServerOptions, startPlatformServer } from "../../standins/platformServer";
import { type PlatformStore, startPlatformStore } from "../../standins/platformStore";

export const engineService = "engines";
export const plainService = "orders";
export const modelName = "model-a";
export const keyText = "key-of-the-shop";

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

export interface FleetNode {
    readonly node: RunningForwardNode;
    readonly callers: string;
    readonly directory: string;
    readonly readiness: string;
    readonly metrics: string;
    readonly logs: string[];
    readonly exitCode: Promise<number>;
}

export interface CallerAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False when the connection closed before the answer was complete. */
    readonly isComplete: boolean;
}

export interface CallerRequest {
    readonly path: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    readonly key?: string | undefined;
    readonly agent?: http.Agent;
    /** Closes the connection after this time. */
    readonly leaveAfterMs?: number;
}

/** Sends one request as the platform's callers do. */
export function sendRequest(address: string, request: CallerRequest): Promise<CallerAnswer> {
    const { path, method = "POST", headers = {}, body = "", key = keyText, agent, leaveAfterMs } = request;
    return new Promise((resolve, reject) => {
        const call = http.request({
            ...parseAddress(address),
            method,
            path,
            headers: {
                "host": "shop.example",
                "x-marjoramvane-attempt-id": randomUUID().replaceAll("-", "").slice(0, 16),
                "x-marjoramvane-deadline-ms": "3000",
                ...(key === "" ? {} : { authorization: `Token ${key}` }),
                ...headers,
            },
            ...(agent ? { agent } : {}),
        });
        if (leaveAfterMs !== undefined) {
            setTimeout(() => call.destroy(), leaveAfterMs);
        }
        call.on("error", reject);
        call.on("response", response => {
            const chunks: Buffer[] = [];
            const closeAnswer = (isComplete: boolean): void => {
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                    isComplete,
                });
            };
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("end", () => {
                closeAnswer(response.complete);
            });
            response.on("error", () => {
                closeAnswer(false);
            });
        });
        call.end(body);
    });
}

export const streamHeaders = {
    "x-marjoramvane-model": modelName,
    "x-marjoramvane-token-usage": "1460,80",
    "x-marjoramvane-prompt-prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
};

export interface PlatformFleet {
    readonly store: PlatformStore;
    readonly engines: PlatformServer[];
    readonly services: PlatformServer[];
    readonly nodes: FleetNode[];
    startNode(name: string): Promise<FleetNode>;
    register(server: PlatformServer, state?: "ready" | "draining"): void;
    writeConfiguration(changes?: Readonly<Record<string, unknown>>): void;
    close(): Promise<void>;
}

const waitMs = 20;

/** Waits until the check holds. */
export async function waitUntil(check: () => boolean | Promise<boolean>, withinMs = 5000): Promise<void> {
    const end = Date.now() + withinMs;
    while (!(await check())) {
        if (Date.now() > end) {
            throw new Error("What the test waits for did not happen.");
        }
        await new Promise(resolve => setTimeout(resolve, waitMs));
    }
}

const route = (name: string, kind: string, service: string, more: Readonly<Record<string, unknown>> = {}) => ({
    "name": name,
    "host": "shop.example",
    "prefix": `/${name}/`,
    "kind": kind,
    "timeout-ms": 3000,
    "target-latency-ms": 500,
    "priority": 1,
    "service": service,
    "max-attempts": 2,
    "no-auth": false,
    "resumable": false,
    ...more,
});

/** Starts a store, engines, plain services and processes, and waits until the processes are ready. */
export async function startPlatformFleet(
    options: { readonly nodes?: number; readonly engine?: Partial<PlatformServerOptions>; } = {},
): Promise<PlatformFleet> {
    const store = await startPlatformStore();
    const engines = await Promise.all(
        ["e1", "e2"].map(instance =>
            startPlatformServer({ instance, service: engineService, model: modelName, ...options.engine })
        ),
    );
    const services = await Promise.all(
        ["s1", "s2"].map(instance => startPlatformServer({ instance, service: plainService })),
    );
    const nodes: FleetNode[] = [];
    let version = 0;

    const fleet: PlatformFleet = {
        store,
        engines,
        services,
        nodes,
        register: (server, state = "ready") => {
            store.put(`servers/${server.instance}`, server.describe(state));
        },
        writeConfiguration: (changes = {}) => {
            version += 3;
            store.put("op/config", {
                version,
                routes: [
                    route("review", "streaming", engineService),
                    route("reply", "streaming", engineService, { resumable: true }),
                    route("issue", "non_idempotent", plainService, { "max-attempts": 1 }),
                    route("lookup", "idempotent", plainService),
                    route("open", "idempotent", plainService, { "no-auth": true }),
                ],
                services: [
                    {
                        "name": engineService,
                        "max-connections": 100,
                        "engine": {
                            "slots": 8,
                            "kv-capacity": 100_000,
                            "max-concurrency": 12,
                            "models": [{ name: modelName }],
                        },
                    },
                    { "name": plainService, "max-connections": 100 },
                ],
                tenants: [{ "name": "shop", "api-keys": [keyText], "rate-per-s": 0, "burst": 0 }],
                ...changes,
            });
        },
        startNode: async name => {
            const [callers, readiness, directory, metrics, peers] = await Promise.all(
                Array.from({ length: 5 }, async () => `127.0.0.1:${await findFreePort()}`),
            ) as [string, string, string, string, string];
            const settings = parseForwardSettings([
                `vm = "${name}"`,
                "dataCentre = \"zone-a\"",
                `[listen]\ncallers = "${callers}"\nreadiness = "${readiness}"\ndirectory = "${directory}"`,
                `metrics = "${metrics}"\npeers = "${peers}"`,
                `[store]\naddress = "${store.address}"`,
                "[bounds]\ngraceMs = 2000\nretryRatio = 0.2\nretryMin = 50\nretryWindowMs = 10000",
                "quotaWindowMs = 8000\nquotaOverage = 0.1\nquotaSlackTokens = 1000\ndutyGuardMs = 300",
                "weightsMs = 10000\naddressesKeepSeconds = 5",
            ].join("\n")).unwrap();
            const logs: string[] = [];
            let handleExit: (code: number) => void = () => undefined;
            const exitCode = new Promise<number>(resolve => {
                handleExit = resolve;
            });
            const node = await startForwardNode({
                settings,
                ports: platformPorts,
                onExit: handleExit,
                writeLog: ({ prefix, message, fields }) => {
                    logs.push(`${prefix} ${message} ${JSON.stringify(fields)}`);
                },
            });
            const entry = { node, callers, directory, readiness, metrics, logs, exitCode };
            nodes.push(entry);
            return entry;
        },
        close: async () => {
            nodes.forEach(({ node }) => {
                node.stop();
            });
            await Promise.all([store, ...engines, ...services].map(part => part.close()));
        },
    };
    fleet.writeConfiguration();
    [...engines, ...services].forEach(server => {
        fleet.register(server);
    });
    for (let index = 1; index <= (options.nodes ?? 1); index += 1) {
        await fleet.startNode(`front-${index}`);
    }
    await waitUntil(async () => {
        const answers = await Promise.all(
            nodes.map(node => sendRequest(node.readiness, { path: "/-/readyz", method: "GET" })),
        );
        return answers.every(({ status }) => status === 200);
    });
    return fleet;
}
