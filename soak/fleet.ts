/** Starts the stand-ins, the proxies and the real processes of one soak run. */
import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { stringify } from "smol-toml";
import { sendRequest } from "../standins/platformCaller";
import {
    buildPlatformConfiguration,
    buildPlatformRoute,
    engineService,
    keyText,
    modelName,
    plainService,
} from "../standins/platformConfiguration";
import { startPlatformServer } from "../standins/platformServer";
import { startPlatformStore } from "../standins/platformStore";
import { findPorts } from "../standins/processes";
import { startProxy } from "./proxy";
import { getSoakTime, secondKey, type SoakNode, type SoakServer, type SoakWorld } from "./tables";

const program = "build/marjoramvane.cjs";
const graceMs = 3000;
const readyWithinMs = 15_000;

/** Starts the program on the VM of the row, again after it has ended. */
export function startProgram(world: SoakWorld, node: SoakNode): void {
    node.run += 1;
    const child = spawn(process.execPath, [program, "forward", "--settings", node.settingsFile], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    node.child = child;
    for (const stream of [child.stdout, child.stderr]) {
        stream.setEncoding("utf8").on("data", (text: string) => {
            node.log += text;
        });
    }
    child.once("exit", (code, signal) => {
        if (signal !== "SIGKILL" && code !== 0) {
            world.findings.add(
                `${node.vm} ended with ${String(code ?? signal)} at ${Math.round(getSoakTime(world))} ms`,
            );
        }
        else if (node.child === child && !node.isDisturbed) {
            world.findings.add(`${node.vm} ended by itself at ${Math.round(getSoakTime(world))} ms`);
        }
    });
}

async function createNode(world: SoakWorld, vm: string): Promise<SoakNode> {
    const ports = await findPorts(5);
    const [callers, readiness, directory, metrics, peers] = ports.map(port => `127.0.0.1:${port}`) as [
        string,
        string,
        string,
        string,
        string,
    ];
    const storeProxy = await startProxy(world.store.address);
    const settingsFile = path.join(mkdtempSync(path.join(tmpdir(), "marjoramvane-soak-")), "settings.toml");
    writeFileSync(
        settingsFile,
        stringify({
            vm,
            dataCentre: "zone-a",
            listen: { callers, readiness, directory, metrics, peers },
            store: { address: storeProxy.address },
            bounds: {
                graceMs,
                retryRatio: 0.2,
                retryMin: 50,
                retryWindowMs: 10_000,
                quotaWindowMs: 8000,
                quotaOverage: 0.1,
                quotaSlackTokens: 1000,
                dutyGuardMs: 300,
                weightsMs: 10_000,
                addressesKeepSeconds: 5,
            },
        }),
    );
    const row = { vm, callers, settingsFile, storeProxy, run: 0, isDisturbed: false, log: "" };
    const node = row as unknown as SoakNode;
    startProgram(world, node);
    return node;
}

async function createServer(instance: string, service: string, model?: string): Promise<SoakServer> {
    const server = await startPlatformServer({ instance, service, ...(model === undefined ? {} : { model }) });
    return { server, proxy: await startProxy(server.address), registeredVersion: 0 };
}

/** Writes the next configuration; each one adds a route, so that callers can tell which one is in force. */
export function writeConfiguration(world: SoakWorld): void {
    world.version += 1;
    const base = buildPlatformConfiguration({ version: world.version });
    const keys = world.withdrawnAt === undefined ? [keyText, secondKey] : [keyText];
    world.store.put("op/config", {
        ...base,
        tenants: [{ "name": "shop", "api-keys": keys, "rate-per-s": 0, "burst": 0 }],
        routes: [
            ...base["routes"] as readonly unknown[],
            ...Array.from(
                { length: world.version },
                (_, index) => buildPlatformRoute(`v${index + 1}`, "idempotent", plainService, { "no-auth": true }),
            ),
        ],
    });
}

/** Servers register themselves, anew when their weights changed; while the store is away they cannot. */
export function registerServers({ engines, services, store }: SoakWorld): void {
    for (const row of store.faults.mode === "none" ? [...engines, ...services] : []) {
        const { proxy, registeredVersion, server } = row;
        if (registeredVersion !== server.version) {
            row.registeredVersion = server.version;
            store.put(`servers/${server.instance}`, { ...server.describe(), address: proxy.address });
        }
    }
}

async function isReady({ callers }: SoakNode): Promise<boolean> {
    try {
        return (await sendRequest(callers, { path: "/open/1", method: "GET" })).status === 200;
    }
    catch {
        // Nothing listens yet.
        return false;
    }
}

/** Waits until every process serves. */
async function waitForNodes(world: SoakWorld): Promise<void> {
    const end = performance.now() + readyWithinMs;
    while (!(await Promise.all(world.nodes.map(isReady))).every(Boolean)) {
        if (performance.now() > end) {
            throw new Error("The processes do not serve.");
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

export interface SoakOptions {
    readonly seed: number;
    readonly random: () => number;
    readonly lengthMs: number;
    readonly processes?: number;
}

/** Starts everything and waits until the processes serve. */
export async function startSoakWorld({ seed, random, lengthMs, processes = 3 }: SoakOptions): Promise<SoakWorld> {
    const world: SoakWorld = {
        seed,
        random,
        store: await startPlatformStore(),
        nodes: [],
        engines: await Promise.all(["e1", "e2", "e3"].map(name => createServer(name, engineService, modelName))),
        services: await Promise.all(["s1", "s2"].map(name => createServer(name, plainService))),
        requests: [],
        faults: [],
        findings: new Set(),
        version: 0,
        withdrawnAt: undefined,
        startedAt: performance.now(),
        lengthMs,
    };
    writeConfiguration(world);
    registerServers(world);
    for (let index = 1; index <= processes; index += 1) {
        world.nodes.push(await createNode(world, `front-${index}`));
    }
    await waitForNodes(world);
    world.startedAt = performance.now();
    return world;
}

/** Ends the processes and the stand-ins. */
export async function stopSoakWorld(world: SoakWorld): Promise<void> {
    for (const node of world.nodes) {
        node.isDisturbed = true;
        node.child.kill("SIGCONT");
        node.child.kill("SIGKILL");
    }
    const servers = [...world.engines, ...world.services];
    await Promise.all([
        world.store.close(),
        ...world.nodes.map(({ storeProxy }) => storeProxy.close()),
        ...servers.flatMap(({ server, proxy }) => [server.close(), proxy.close()]),
    ]);
}
