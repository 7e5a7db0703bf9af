/** Starts router processes from the bundled command line, for the demo and for tests with real processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { stringify } from "smol-toml";
import { findPorts } from "./ports";

const programFile = "build/marjoramvane.cjs";

export interface RouterOptions {
    readonly vm: string;
    readonly dataCentre: string;
    readonly storeAddress: string;
    readonly vmListAddress?: string;
    readonly peers?: readonly string[];
    /** Settings that replace the defaults, by section. */
    readonly overrides?: Readonly<Record<string, unknown>>;
    /** Options of Node.js, such as the size of the heap. */
    readonly nodeOptions?: readonly string[];
}

export interface RouterProcess {
    readonly vm: string;
    readonly callerAddress: string;
    readonly operatorAddress: string;
    readonly peerAddress: string;
    readonly process: ChildProcess;
    /** Exit code, or the signal that ended the process. */
    readonly exited: Promise<number | NodeJS.Signals>;
    /** Returns what the process has written to its log so far. */
    getLog(): string;
}

export const fleetSecret = "fleet-secret-of-stand-ins";

/** Starts one router process. */
export async function startRouter(options: RouterOptions): Promise<RouterProcess> {
    const ports = await findPorts(3);
    const [callerAddress, operatorAddress, peerAddress] = ports.map(port => `127.0.0.1:${port}`) as [
        string,
        string,
        string,
    ];
    const directory = mkdtempSync(path.join(tmpdir(), "marjoramvane-"));
    const file = path.join(directory, "settings.toml");
    writeFileSync(
        file,
        stringify({
            vm: options.vm,
            dataCentre: options.dataCentre,
            fleetSecret,
            listen: { callers: callerAddress, operators: operatorAddress, peers: peerAddress },
            store: { address: options.storeAddress },
            ...(options.vmListAddress === undefined ? {} : { vmList: { address: options.vmListAddress } }),
            peers: [...(options.peers ?? [])],
            ...options.overrides,
        }),
    );
    const child = spawn(process.execPath, [...(options.nodeOptions ?? []), programFile, "serve", "--settings", file], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    let log = "";
    child.stderr.setEncoding("utf8").on("data", (text: string) => {
        log += text;
    });
    const exited = new Promise<number | NodeJS.Signals>(resolve => {
        child.once("exit", (code, signal) => {
            rmSync(directory, { recursive: true, force: true });
            resolve(code ?? signal ?? 1);
        });
    });
    return { vm: options.vm, callerAddress, operatorAddress, peerAddress, process: child, exited, getLog: () => log };
}

/** Kills a process, also a paused one, and waits for its exit. */
export async function stopRouter(router: RouterProcess): Promise<void> {
    router.process.kill("SIGCONT");
    router.process.kill("SIGKILL");
    await router.exited;
}

/** Waits until `GET /readyz` of the process answers 200. */
export async function waitForRouter(router: RouterProcess, timeoutMs = 15_000): Promise<void> {
    const end = performance.now() + timeoutMs;
    for (;;) {
        const response = await fetch(`http://${router.callerAddress}/readyz`).catch(() => undefined);
        if (response?.status === 200) {
            return;
        }
        if (performance.now() > end) {
            throw new Error(`${router.vm} did not become ready: ${router.getLog().slice(-2000)}`);
        }
        await new Promise(resolve => setTimeout(resolve, 25));
    }
}
