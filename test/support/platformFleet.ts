/** Starts a stand-in store and servers and processes of the forwarding mode on loopback, for end-to-end tests. */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { platformPorts } from "../../platform";
import { type RunningForwardNode, startForwardNode } from "../../src/forward/adapters/node";
import type { PlatformPorts } from "../../src/forward/ports";
import { parseForwardSettings } from "../../src/forward/settings";
import { sendRequest } from "../../standins/platformCaller";
import {
    buildPlatformConfiguration,
    engineService,
    modelName,
    plainService,
} from "../../standins/platformConfiguration";
import { type PlatformServer, type PlatformServerOptions, startPlatformServer } from "../../standins/platformServer";
import { type PlatformStore, startPlatformStore } from "../../standins/platformStore";

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

export { sendRequest, streamHeaders } from "../../standins/platformCaller";
export { apiKey, engineService, modelName, plainService } from "../../standins/platformConfiguration";

export interface FleetNode {
    readonly node: RunningForwardNode;
    readonly callerAddress: string;
    readonly directoryAddress: string;
    readonly readinessAddress: string;
    readonly metricsAddress: string;
    readonly peersAddress: string;
    readonly logs: string[];
    readonly exitCode: Promise<number>;
}

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

const pollIntervalMs = 20;

/** Waits until the check returns true; throws after `timeoutMs`. */
export async function waitUntil(check: () => boolean | Promise<boolean>, timeoutMs = 5000): Promise<void> {
    const end = Date.now() + timeoutMs;
    while (!(await check())) {
        if (Date.now() > end) {
            throw new Error("The condition was not met within the timeout.");
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}

/** Starts a store, engines, plain services and processes, and waits until the processes are ready. */
export async function startPlatformFleet(
    options: {
        readonly nodes?: number;
        readonly engine?: Partial<PlatformServerOptions>;
        readonly ports?: PlatformPorts;
        /** Further lines of the section `bounds` in the settings of processes. */
        readonly bounds?: string;
    } = {},
): Promise<PlatformFleet> {
    const store = await startPlatformStore();
    const engines = await Promise.all(
        ["e1", "e2"].map(instance =>
            startPlatformServer({
                instance,
                service: engineService,
                model: modelName,
                onRestart: server => {
                    fleet.register(server);
                },
                ...options.engine,
            })
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
            store.put(`servers/${server.instance}`, server.buildRegistration(state));
        },
        writeConfiguration: (changes = {}) => {
            version += 3;
            store.put("op/config", buildPlatformConfiguration({ version, ...changes }));
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
                options.bounds ?? "",
            ].join("\n")).unwrap();
            const logs: string[] = [];
            let handleExit: (code: number) => void = () => undefined;
            const exitCode = new Promise<number>(resolve => {
                handleExit = resolve;
            });
            const node = await startForwardNode({
                settings,
                ports: options.ports ?? platformPorts,
                onExit: handleExit,
                writeLog: ({ prefix, message, fields }) => {
                    logs.push(`${prefix} ${message} ${JSON.stringify(fields)}`);
                },
            });
            const fleetNode = {
                node,
                callerAddress: callers,
                directoryAddress: directory,
                readinessAddress: readiness,
                metricsAddress: metrics,
                peersAddress: peers,
                logs,
                exitCode,
            };
            nodes.push(fleetNode);
            return fleetNode;
        },
        close: async () => {
            nodes.forEach(({ node }) => {
                node.stop();
            });
            await Promise.all([store, ...engines, ...services].map(standin => standin.close()));
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
            nodes.map(node => sendRequest(node.readinessAddress, { path: "/-/readyz", method: "GET" })),
        );
        return answers.every(({ status }) => status === 200);
    });
    return fleet;
}
