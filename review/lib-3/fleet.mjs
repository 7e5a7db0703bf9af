// Starts the project's processes with the command and the template of the deploy file, and what the scripts share.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";

/** Settings of a small deployment, with the names of the platform's settings file. */
const deployment = {
    zone: "zone-a",
    contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "kvcache",
        "stream",
        "engine",
        "tenants",
        "quota",
        "platform",
    ],
    "heartbeat-ms": 1200,
    limits: { "memory-mb": 255, "max-fds": 6150 },
    bounds: {
        "contact-ms": 3000,
        "drain-ms": 2000,
        "grace-s": 8,
        "config-apply-ms": 2000,
        "retry-budget-ratio": 0.2,
        "budget-window-s": 10,
        "retry-min": 54,
        "quota-window-s": 8,
        "quota-overage": 0.1,
        "quota-slack": 110000,
        "lease-ms": 3000,
        "version-ms": 10000,
        ttl_max_s: 5,
    },
};

export const { bounds, limits, "heartbeat-ms": heartbeatMs } = deployment;

const getField = (fields, name) => name.split(".").reduce((value, part) => value?.[part], fields);

/** Fills in a template as the platform does; sections stand for "when there is a value". */
function formatTemplate(template, fields) {
    const withoutSections = template.replace(
        /\{\{#([^}]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g,
        (_, name, text) => (getField(fields, name) === undefined ? "" : text),
    );
    return withoutSections.replace(/\{\{([^}]+)\}\}/g, (_, name) => String(getField(fields, name) ?? ""));
}

const canListen = port =>
    new Promise(resolve => {
        const server = net.createServer();
        server.on("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });

/** Finds free ports below those that the system gives to outgoing connections. */
async function findPorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = 10_240 + Math.floor(Math.random() * 20_000);
        if (await canListen(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Collects what was sent, answered and run; written to record.txt beside the script. */
export function createRecord(folder) {
    const startedAt = performance.now();
    const lines = [];
    const getMs = () => performance.now() - startedAt;
    return {
        getMs,
        add: text => {
            lines.push(`${(getMs() / 1000).toFixed(3)} ${text}`);
        },
        write: () => {
            writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
        },
    };
}

/** Starts machines, one process each. */
export async function startMachines({ count, storeAddress, record }) {
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const template = readFileSync(/^template = "(.*)"$/m.exec(deploy)[1], "utf8");
    const folder = mkdtempSync(path.join(tmpdir(), "review-"));
    const machines = [];
    for (let index = 1; index <= count; index += 1) {
        const [front, readiness, directory, metrics, peers] = await findPorts(5);
        const settings = formatTemplate(template, {
            ...deployment,
            node: `edge-${index}`,
            ip: "127.0.0.1",
            listen: {
                front: `127.0.0.1:${front}`,
                readiness: `127.0.0.1:${readiness}`,
                directory: `127.0.0.1:${directory}`,
            },
            "port-range": [metrics, peers],
            platform: { address: storeAddress },
        });
        const file = path.join(folder, `edge-${index}.conf`);
        writeFileSync(file, settings);
        const child = spawn(program, words, {
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", MARJORAMVANE_CONFIG: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const machine = {
            name: `edge-${index}`,
            port: front,
            readiness,
            child,
            log: "",
            agent: new http.Agent({ keepAlive: true }),
        };
        for (const stream of [child.stdout, child.stderr]) {
            stream.setEncoding("utf8").on("data", text => {
                machine.log += text;
            });
        }
        child.once("exit", (code, signal) => record.add(`${machine.name} ended: ${code ?? signal}`));
        machines.push(machine);
    }
    return {
        machines,
        stop: () => {
            machines.forEach(({ child, agent }) => {
                agent.destroy();
                child.kill("SIGKILL");
            });
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

const isReady = ({ readiness }) =>
    new Promise(resolve => {
        http.get({ host: "127.0.0.1", port: readiness, path: "/-/readyz" }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        }).on("error", () => resolve(false));
    });

export async function waitForReady(machines) {
    for (let tries = 0; tries < 150; tries += 1) {
        if ((await Promise.all(machines.map(isReady))).every(Boolean)) {
            return;
        }
        await wait(100);
    }
    throw new Error("The machines did not become ready.");
}

export const createAttemptId = () => randomBytes(8).toString("hex");

/** Sends one request of a client; resolves with its status, or 0 when no whole answer came. */
export function sendRequest(
    machine,
    { method = "GET", path: target, headers = {}, body, key, id = createAttemptId(), deadlineMs = 3000 },
    record,
) {
    record.add(`sent ${id} to ${machine.name}`);
    return new Promise(resolve => {
        const settle = (status, received = {}) => {
            record.add(`answered ${id} ${status}`);
            resolve({ id, status, headers: received });
        };
        const request = http.request({
            host: "127.0.0.1",
            port: machine.port,
            method,
            path: target,
            agent: machine.agent,
            headers: {
                host: "jepu9.example",
                "x-marjoramvane-attempt-id": id,
                "x-marjoramvane-deadline-ms": String(deadlineMs),
                ...(key ? { authorization: `Token ${key}` } : {}),
                ...headers,
            },
        }, response => {
            response.resume();
            response.on("end", () => settle(response.complete ? response.statusCode : 0, response.headers));
            response.on("error", () => settle(0));
        });
        request.on("error", () => settle(0));
        request.end(body);
    });
}

/** Runs a case: 1 when `check` finds that the rule was broken, 0 when it held, 2 when the case could not run. */
export async function runCase(folder, play) {
    const record = createRecord(folder);
    const cleanups = [];
    let code = 2;
    const timer = setTimeout(() => {
        record.add("the case took too long");
        end();
    }, 118_000);
    const end = () => {
        clearTimeout(timer);
        cleanups.reverse().forEach(cleanup => cleanup());
        record.write();
        process.exit(code);
    };
    try {
        const violations = await play({
            record,
            isTroubled: process.env.TROUBLE !== "0",
            addCleanup: cleanup => cleanups.push(cleanup),
        });
        violations.forEach(text => record.add(`BROKEN ${text}`));
        violations.forEach(text => console.log(text));
        code = violations.length > 0 ? 1 : 0;
    }
    catch (error) {
        record.add(`could not run: ${error.stack}`);
        console.log(error.message);
    }
    end();
}
