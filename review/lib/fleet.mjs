// Starts the program as the deploy file says, with settings made from its template, and records what happens.
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import { createRequire } from "node:module";
import * as net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");

/** The project's own stand-ins, as bundled by `build.sh`. */
export const standins = createRequire(import.meta.url)(path.join(root, "build/review/standins.cjs"));

/** False when the script has to run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Bounds of the sheet of `sites/sulina-gondola.toml`, as the platform's settings name them. */
const bounds = {
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-min": 54,
    "quota-window-s": 8,
    "quota-overage": 0.1,
    "quota-slack": 110_000,
    "lease-ms": 3000,
    "version-ms": 10_000,
    "drain-ms": 2000,
    "config-apply-ms": 2000,
    "contact-ms": 3000,
    "ttl_max_s": 5,
};

/** Ports below the range from which the system takes those of outgoing connections. */
const firstPort = 11_000;
const portCount = 20_000;
let nextPortOffset = (process.pid * 97) % portCount;

function isPortFree(port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** Free ports; a port is found once only. */
async function findFreePorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = firstPort + nextPortOffset;
        nextPortOffset = (nextPortOffset + 1) % portCount;
        if (await isPortFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Renders the placeholders of the template, of which the project's one uses only plain values. */
function renderTemplate(template, fields) {
    return template.replaceAll(/\{\{([^}]+)\}\}/g, (_, name) => {
        // Names of bounds hold no dots, but dashes; the first step may hold a dash, too.
        const value = name.split(".").reduce((table, step) => table?.[step], fields);
        return value === undefined ? "" : String(value);
    });
}

/** Creates the record of a script, which also goes to standard output. */
export function createRecord(folder) {
    const file = path.join(folder, "record.txt");
    fs.writeFileSync(file, "");
    const startedAt = performance.now();
    return text => {
        const line = `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`;
        fs.appendFileSync(file, line);
        process.stdout.write(line);
    };
}

/**
 * Starts `count` machines. With `restartMs`, a process that ends is started again after that time, as the platform does.
 */
export async function startMachines(
    { count, storeAddress, record, zones = ["zone-a", "zone-b", "zone-c"], restartMs },
) {
    const deploy = parse(fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8"));
    const role = deploy.roles.front;
    const template = fs.readFileSync(path.join(root, role.template), "utf8");
    const folder = fs.mkdtempSync(path.join(tmpdir(), "marjoramvane-review-"));
    const [program, ...args] = role.run.split(" ");
    let isStopped = false;

    function spawnProcess(machine) {
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, MARJORAMVANE_CONFIG: machine.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        machine.process = child;
        machine.starts += 1;
        child.stdout.setEncoding("utf8").on("data", text => {
            machine.log += text;
        });
        child.stderr.setEncoding("utf8").on("data", text => {
            machine.log += text;
        });
        machine.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                machine.ends.push({ at: performance.now(), code, signal });
                if (!isStopped) {
                    record(`${machine.name}: process ${child.pid} ended, code ${code}, signal ${signal}`);
                    if (restartMs !== undefined && !machine.isHeld) {
                        setTimeout(() => {
                            if (!isStopped) {
                                spawnProcess(machine);
                            }
                        }, restartMs);
                    }
                }
                resolve();
            });
        });
    }

    const machines = [];
    for (let index = 0; index < count; index += 1) {
        const [front, readiness, directory, metrics, peers] = await findFreePorts(5);
        const zone = zones[index % zones.length];
        const name = `edge-${zone}-${index + 1}`;
        const address = port => `127.0.0.1:${port}`;
        const fields = {
            node: name,
            zone,
            ip: "127.0.0.1",
            listen: { front: address(front), readiness: address(readiness), directory: address(directory) },
            "port-range": [metrics, peers],
            platform: { address: storeAddress },
            "heartbeat-ms": 1200,
            bounds,
        };
        const settingsFile = path.join(folder, `${name}.toml`);
        fs.writeFileSync(settingsFile, renderTemplate(template, fields));
        const machine = {
            name,
            settingsFile,
            front: address(front),
            readiness: address(readiness),
            directory: address(directory),
            log: "",
            ends: [],
            starts: 0,
            isHeld: false,
        };
        spawnProcess(machine);
        machines.push(machine);
    }
    return {
        machines,
        stop: async () => {
            isStopped = true;
            for (const { process: child } of machines) {
                if (child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGCONT");
                    child.kill("SIGKILL");
                }
            }
            await Promise.all(machines.map(({ exited }) => exited));
            fs.rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Status of a GET request; 0 when there is no answer. */
export function readStatus(address, requestPath) {
    const colon = address.lastIndexOf(":");
    return new Promise(resolve => {
        const call = http.get({
            host: address.slice(0, colon),
            port: Number(address.slice(colon + 1)),
            path: requestPath,
            agent: false,
            timeout: 1000,
        }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
            response.on("error", () => resolve(0));
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(0));
    });
}

export async function waitUntilReady(machine, timeoutMs = 15_000) {
    const end = performance.now() + timeoutMs;
    while (await readStatus(machine.readiness, "/-/readyz") !== 200) {
        if (performance.now() > end) {
            throw new Error(`${machine.name} is not ready: ${machine.log.slice(-1000)}`);
        }
        await wait(50);
    }
}

let attempts = 0;

/** A new id of a client's attempt. */
export function createAttemptId() {
    attempts += 1;
    return `${process.pid.toString(16).padStart(6, "0")}${attempts.toString(16).padStart(10, "0")}`;
}

/**
 * Sends bytes on a new channel and reads until it ends, or until `timeoutMs`. Returns the bytes and how the channel ended:
 * `fin`, `reset` or `timeout`.
 */
export function exchangeBytes(address, bytes, timeoutMs) {
    const colon = address.lastIndexOf(":");
    return new Promise(resolve => {
        const chunks = [];
        const socket = net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const finish = end => {
            clearTimeout(timer);
            socket.destroy();
            resolve({ end, text: Buffer.concat(chunks).toString("latin1") });
        };
        const timer = setTimeout(() => finish("timeout"), timeoutMs);
        socket.on("connect", () => socket.write(bytes));
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("end", () => finish("fin"));
        socket.on("error", () => finish("reset"));
    });
}

/** Runs a script: exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
export async function runCase(folder, run) {
    const record = createRecord(folder);
    const cleanups = [];
    const deadline = setTimeout(() => {
        record("the script took too long");
        void finish(2);
    }, 110_000);
    async function finish(code) {
        clearTimeout(deadline);
        for (const cleanup of cleanups.reverse()) {
            await cleanup();
        }
        record(`exit ${code}`);
        process.exit(code);
    }
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => {
            record(`the script was ended by ${signal}`);
            void finish(2);
        });
    }
    try {
        record(`trouble ${hasTrouble ? "yes" : "no"}`);
        const isBroken = await run({ record, addCleanup: cleanup => cleanups.push(cleanup) });
        record(isBroken ? "the rule was broken" : "the rule held");
        await finish(isBroken ? 1 : 0);
    }
    catch (error) {
        record(`the case could not run: ${error.stack}`);
        await finish(2);
    }
}
