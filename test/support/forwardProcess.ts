/** Starts a real process of the forwarding mode, with the memory limits of the deploy file. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { parse, stringify } from "smol-toml";
import { findPorts } from "../../standins/ports";
import { sendRequest, waitUntil } from "./platformFleet";

export interface ForwardProcess {
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly directoryAddress: string;
    readonly metricsAddress: string;
    readonly peersAddress: string;
    readonly pid: number;
    /** Returns what the process has written to its log so far. */
    getLog(): string;
    isRunning(): boolean;
    /** Highest resident memory of the process, in bytes. */
    readMaxMemory(): number;
    kill(): void;
}

export interface ForwardProcessOptions {
    /** Options of Node.js that replace those of the deploy file. */
    readonly nodeOptions?: readonly string[];
    /** Section `[clients]` of the settings. */
    readonly clients?: Readonly<Record<string, number>>;
}

/** Options of Node.js in the run command of the deploy file, such as the size of the heap. */
function listNodeOptions(): string[] {
    const deployed = parse(readFileSync("deploy/system.toml", "utf8")) as { roles: { front: { run: string; }; }; };
    return deployed.roles.front.run.split(" ").filter(word => word.startsWith("--"));
}

/** Highest resident memory of a running process, in bytes. */
export function readMaxMemory(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024;
}

/** Starts a process and waits until it is ready. */
export async function startForwardProcess(
    storeAddress: string,
    { nodeOptions = listNodeOptions(), clients = {} }: ForwardProcessOptions = {},
): Promise<ForwardProcess> {
    const [callers, readiness, directory, metrics, peers] = (await findPorts(5)).map(port => `127.0.0.1:${port}`) as [
        string,
        string,
        string,
        string,
        string,
    ];
    const folder = mkdtempSync(path.join(tmpdir(), "marjoramvane-forward-"));
    const file = path.join(folder, "settings.toml");
    writeFileSync(
        file,
        stringify({
            vm: "front-1",
            dataCentre: "zone-a",
            listen: { callers, readiness, directory, metrics, peers },
            store: { address: storeAddress },
            bounds: {
                graceMs: 2000,
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
            clients,
        }),
    );
    const child = spawn(
        process.execPath,
        [...nodeOptions, "build/marjoramvane.cjs", "forward", "--settings", file],
        { stdio: ["ignore", "pipe", "pipe"] },
    );
    let log = "";
    for (const stream of [child.stdout, child.stderr]) {
        stream.setEncoding("utf8").on("data", (text: string) => {
            log += text;
        });
    }
    child.once("exit", () => {
        rmSync(folder, { recursive: true, force: true });
    });
    await waitUntil(async () => {
        const answer = await sendRequest(readiness, { path: "/-/readyz", method: "GET" }).catch(() => undefined);
        return answer?.status === 200;
    }, 15_000);
    return {
        callerAddress: callers,
        readinessAddress: readiness,
        directoryAddress: directory,
        metricsAddress: metrics,
        peersAddress: peers,
        pid: child.pid ?? 0,
        getLog: () => log,
        isRunning: () => child.exitCode === null && child.signalCode === null,
        readMaxMemory: () => readMaxMemory(child.pid ?? 0),
        kill: () => {
            child.kill("SIGKILL");
        },
    };
}
