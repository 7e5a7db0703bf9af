/** Starts the stand-ins, the proxies and the real router processes of one soak run. */
import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { stringify } from "smol-toml";
import { sendRequest } from "../standins/platformCaller";
import {
    apiKey,
    buildPlatformConfiguration,
    buildPlatformRoute,
    engineService,
    modelName,
    plainService,
} from "../standins/platformConfiguration";
import { startPlatformServer } from "../standins/platformServer";
import { startPlatformStore } from "../standins/platformStore";
import { findPorts } from "../standins/ports";
import { startProxy } from "./proxy";
import {
    accountNames,
    getSoakTime,
    pressKey,
    secondKey,
    type SoakRouter,
    type SoakServer,
    type SoakWorld,
} from "./tables";

const programFile = "build/marjoramvane.cjs";
const graceMs = 3000;
const readyTimeoutMs = 15_000;

/** Starts or restarts the router process of a VM. */
export function startRouter(world: SoakWorld, router: SoakRouter): void {
    router.runNumber += 1;
    const child = spawn(process.execPath, [programFile, "forward", "--settings", router.settingsFile], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    router.child = child;
    for (const stream of [child.stdout, child.stderr]) {
        stream.setEncoding("utf8").on("data", (text: string) => {
            router.log += text;
        });
    }
    child.once("exit", (code, signal) => {
        if (signal !== "SIGKILL" && code !== 0) {
            world.violations.add(
                `${router.vm} exited with ${String(code ?? signal)} at ${Math.round(getSoakTime(world))} ms`,
            );
        }
        else if (router.child === child && !router.isDisturbed) {
            world.violations.add(`${router.vm} exited unexpectedly at ${Math.round(getSoakTime(world))} ms`);
        }
    });
}

async function createRouter(world: SoakWorld, vm: string): Promise<SoakRouter> {
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
    const row = { vm, callerAddress: callers, settingsFile, storeProxy, runNumber: 0, isDisturbed: false, log: "" };
    const router = row as unknown as SoakRouter;
    startRouter(world, router);
    return router;
}

async function createServer(instance: string, service: string, model?: string): Promise<SoakServer> {
    const server = await startPlatformServer({
        instance,
        service,
        ...(model === undefined ? {} : { model }),
        // The new run registers itself.
        onRestart: () => {
            row.registeredVersion = 0;
        },
    });
    const row: SoakServer = { server, proxy: await startProxy(server.address), registeredVersion: 0 };
    return row;
}

/** Writes the next configuration. Each version adds a route, by which callers can tell which version a process uses. */
export function writeConfiguration(world: SoakWorld): void {
    world.configurationVersion += 1;
    world.versionTimes.set(world.configurationVersion, getSoakTime(world));
    const base = buildPlatformConfiguration({ version: world.configurationVersion });
    const keys = world.withdrawnAt === undefined ? [apiKey, secondKey] : [apiKey];
    world.store.put("op/config", {
        ...base,
        tenants: accountNames.map(name => ({
            "name": name,
            "api-keys": name === "shop" ? keys : [pressKey],
            "rate-per-s": 0,
            "burst": 0,
            "isolated": world.isolatedAccounts.includes(name),
        })),
        routes: [
            ...base["routes"] as readonly unknown[],
            ...Array.from(
                { length: world.configurationVersion },
                (_, index) => buildPlatformRoute(`v${index + 1}`, "idempotent", plainService, { "no-auth": true }),
            ),
            ...Array.from(
                { length: world.idleRouteCount },
                (_, index) => buildPlatformRoute(`idle-${index}`, "idempotent", plainService),
            ),
        ],
    });
}

/** Registers servers, and again when their weights version changed. Does nothing while the store has a fault. */
export function registerServers({ engines, services, store }: SoakWorld): void {
    for (const row of store.faults.mode === "none" ? [...engines, ...services] : []) {
        const { proxy, registeredVersion, server } = row;
        if (registeredVersion !== server.version) {
            row.registeredVersion = server.version;
            store.put(`servers/${server.instance}`, { ...server.buildRegistration(), address: proxy.address });
        }
    }
}

async function isReady({ callerAddress }: SoakRouter): Promise<boolean> {
    try {
        return (await sendRequest(callerAddress, { path: "/open/1", method: "GET" })).status === 200;
    }
    catch {
        // The process does not listen yet.
        return false;
    }
}

/** Waits until every process serves requests. */
async function waitForRouters(world: SoakWorld): Promise<void> {
    const end = performance.now() + readyTimeoutMs;
    while (!(await Promise.all(world.routers.map(isReady))).every(Boolean)) {
        if (performance.now() > end) {
            throw new Error("The router processes do not serve requests after the start.");
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

export interface SoakOptions {
    readonly seed: number;
    readonly random: () => number;
    readonly durationMs: number;
    readonly processCount?: number;
}

/** Starts the stand-ins and the router processes and waits until the processes serve requests. */
export async function startSoakWorld({ seed, random, durationMs, processCount = 3 }: SoakOptions): Promise<SoakWorld> {
    const world: SoakWorld = {
        seed,
        random,
        store: await startPlatformStore(),
        routers: [],
        engines: await Promise.all(["e1", "e2", "e3"].map(name => createServer(name, engineService, modelName))),
        services: await Promise.all(["s1", "s2"].map(name => createServer(name, plainService))),
        requests: [],
        faults: [],
        violations: new Set(),
        configurationVersion: 0,
        withdrawnAt: undefined,
        startedAt: performance.now(),
        idleRouteCount: 0,
        versionTimes: new Map(),
        isolatedAccounts: [],
        isolations: [],
        durationMs,
    };
    writeConfiguration(world);
    registerServers(world);
    for (let index = 1; index <= processCount; index += 1) {
        world.routers.push(await createRouter(world, `front-${index}`));
    }
    await waitForRouters(world);
    world.startedAt = performance.now();
    return world;
}

/** Kills the router processes and stops the stand-ins. */
export async function stopSoakWorld(world: SoakWorld): Promise<void> {
    for (const router of world.routers) {
        router.isDisturbed = true;
        router.child.kill("SIGCONT");
        router.child.kill("SIGKILL");
    }
    const servers = [...world.engines, ...world.services];
    await Promise.all([
        world.store.close(),
        ...world.routers.map(({ storeProxy }) => storeProxy.close()),
        ...servers.flatMap(({ server, proxy }) => [server.close(), proxy.close()]),
    ]);
}
