// What the scripts share: processes of the deploy file, a proxy whose connections can fall silent, requests, the record.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { findPorts } from "../../standins/ports.ts";

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

const startedAt = performance.now();
export const getElapsedMs = () => Math.round(performance.now() - startedAt);

/** Writes lines to the record of the case and to standard output. */
export function createRecord(file) {
    writeFileSync(file, "");
    return text => {
        const line = `${String(getElapsedMs()).padStart(6)} ms  ${text}\n`;
        appendFileSync(file, line);
        process.stdout.write(line);
    };
}

/** Splits IP:PORT. */
export function parseAddress(address) {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
}

/** Settings of the sites, as the template of the deploy file fills them in. */
export const sites = {
    "jmala-amman": {
        agreements: "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform",
        bounds: {
            graceMs: 8000,
            retryRatio: 0.2,
            retryMin: 56,
            retryWindowMs: 10_000,
            quotaWindowMs: 8000,
            quotaOverage: 0.1,
            quotaSlackTokens: 110_000,
            dutyGuardMs: 3000,
            weightsMs: 10_000,
            drainMs: 2000,
            configurationMs: 2000,
            contactMs: 3000,
            targetReportMs: 1200,
            addressesKeepSeconds: 5,
        },
        clients: { memoryMb: 480, maxDescriptors: 6150 },
    },
    "ksba-boards-grown": {
        agreements: "base,drain,config,cost,retry,recover,health,pool,kvcache,stream,engine,tenants,quota,platform",
        bounds: {
            graceMs: 8000,
            retryRatio: 0.2,
            retryMin: 200,
            retryWindowMs: 10_000,
            quotaWindowMs: 8000,
            quotaOverage: 0.1,
            quotaSlackTokens: 110_000,
            dutyGuardMs: 3000,
            weightsMs: 15_000,
            drainMs: 3000,
            configurationMs: 3000,
            contactMs: 4000,
            targetReportMs: 1200,
            addressesKeepSeconds: 5,
        },
        clients: { memoryMb: 186, maxDescriptors: 2212 },
    },
};

const formatTable = table => Object.entries(table).map(([name, value]) => `${name} = ${value}`).join("\n");

/** Processes of the deploy file, with a temporary folder for their settings. */
export function createFleet({ root, site }) {
    const { agreements, bounds, clients } = sites[site];
    const folder = mkdtempSync(path.join(tmpdir(), "marjoramvane-review-"));
    const machines = [];

    function startProcess(machine) {
        const child = spawn(
            process.execPath,
            ["--max-old-space-size=96", "--max-semi-space-size=2", "target/marjoramvane.cjs", "forward"],
            {
                cwd: root,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, MARJORAMVANE_CONFIG: machine.settingsFile },
                stdio: ["ignore", "pipe", "pipe"],
            },
        );
        machine.child = child;
        for (const stream of [child.stdout, child.stderr]) {
            stream.setEncoding("utf8").on("data", text => {
                machine.log += text;
            });
        }
        child.once("exit", (code, signal) => {
            machine.exits.push({ code, signal, at: getElapsedMs() });
        });
    }

    return {
        machines,
        startProcess,
        add: async ({ vm, dataCentre, store }) => {
            const [callers, readiness, directory, metrics, peers] = (await findPorts(5)).map(port =>
                `127.0.0.1:${port}`
            );
            const settingsFile = path.join(folder, `${vm}.toml`);
            writeFileSync(
                settingsFile,
                `vm = "${vm}"
dataCentre = "${dataCentre}"
agreements = "${agreements}"
[listen]
callers = "${callers}"
readiness = "${readiness}"
directory = "${directory}"
metrics = "${metrics}"
peers = "${peers}"
[store]
address = "${store}"
[bounds]
${formatTable(bounds)}
[clients]
${formatTable(clients)}
`,
            );
            const machine = { vm, callers, readiness, directory, settingsFile, log: "", child: undefined, exits: [] };
            machines.push(machine);
            startProcess(machine);
            return machine;
        },
        waitUntilReady: async () => {
            for (let tries = 0; tries < 150; tries += 1) {
                const answers = await Promise.all(
                    machines.map(({ readiness }) =>
                        sendRequest(readiness, { method: "GET", path: "/-/readyz", key: undefined, timeoutMs: 500 })
                    ),
                );
                if (answers.every(({ status }) => status === 200)) {
                    return true;
                }
                await wait(100);
            }
            return false;
        },
        stop: () => {
            for (const { child } of machines) {
                if (child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGCONT");
                    child.kill("SIGKILL");
                }
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/**
 * Forwards connections. While `silent` they carry nothing; what is held up is lost when the cut ends, with the
 * connections. With `mbitPerSecond`, all connections share a link of that speed in the direction of the caller.
 */
export async function startProxy(target, { mbitPerSecond = Number.POSITIVE_INFINITY } = {}) {
    const bytesPerMs = mbitPerSecond * 125;
    const pieceBytes = 8192;
    const sockets = new Set();
    let isSilent = false;
    let linkFreeAt = 0;

    /** Delays the bytes until the link has carried them. */
    function sendOverLink(to, bytes) {
        const now = performance.now();
        linkFreeAt = Math.max(linkFreeAt, now) + bytes.length / bytesPerMs;
        setTimeout(() => {
            if (!to.destroyed && !isSilent) {
                to.write(bytes);
            }
        }, linkFreeAt - now);
    }

    const server = net.createServer(client => {
        const upstream = net.connect(parseAddress(target));
        for (const [from, to, isLimited] of [[client, upstream, false], [upstream, client, true]]) {
            sockets.add(from);
            from.on("error", () => undefined);
            from.on("data", bytes => {
                if (isSilent || to.destroyed) {
                    return;
                }
                if (!isLimited || mbitPerSecond === Number.POSITIVE_INFINITY) {
                    to.write(bytes);
                    return;
                }
                for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
                    sendOverLink(to, bytes.subarray(offset, offset + pieceBytes));
                }
            });
            from.on("close", () => {
                sockets.delete(from);
                const waitMs = isLimited ? Math.max(0, linkFreeAt - performance.now()) : 0;
                if (!isSilent) {
                    setTimeout(() => to.destroy(), waitMs);
                }
            });
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const closeAll = () => {
        for (const socket of sockets) {
            socket.destroy();
        }
    };
    return {
        address: `127.0.0.1:${server.address().port}`,
        startCut: () => {
            isSilent = true;
        },
        endCut: () => {
            closeAll();
            isSilent = false;
        },
        close: () => {
            server.close();
            closeAll();
        },
    };
}

let attemptNumber = 0;

/** Creates the id of a client attempt. */
export function createAttemptId() {
    attemptNumber += 1;
    return `${process.pid.toString(16)}${attemptNumber.toString(16)}`.padStart(16, "0");
}

/** Sends a request; resolves with status 0 when there is no whole answer. */
export function sendRequest(address, options) {
    const { method = "POST", path: target, headers = {}, body, key, timeoutMs = 4000, agent, attempt } = options;
    const id = attempt ?? createAttemptId();
    const sentAt = getElapsedMs();
    return new Promise(resolve => {
        const request = http.request({
            ...parseAddress(address),
            method,
            path: target,
            agent: agent ?? false,
            headers: {
                "host": "shop.example",
                "x-marjoramvane-attempt-id": id,
                ...(key === undefined ? {} : { authorization: `Token ${key}` }),
                ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
                ...headers,
            },
        });
        let isSettled = false;
        const settle = answer => {
            if (!isSettled) {
                isSettled = true;
                clearTimeout(timer);
                resolve({ id, sentAt, endedAt: getElapsedMs(), headers: {}, body: "", ...answer });
            }
        };
        const timer = setTimeout(() => {
            settle({ status: 0, fault: "timeout" });
            request.destroy();
        }, timeoutMs);
        request.on("error", error => {
            settle({ status: 0, fault: error.code ?? error.message });
        });
        request.on("response", response => {
            const chunks = [];
            const { statusCode: status, headers: answerHeaders } = response;
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => {
                settle({ status, headers: answerHeaders, fault: error.code ?? error.message });
            });
            response.on("end", () => {
                settle({
                    status,
                    headers: answerHeaders,
                    body: Buffer.concat(chunks).toString("latin1"),
                    fault: response.complete ? undefined : "incomplete",
                });
            });
        });
        request.end(body);
    });
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export function runCase(run) {
    const deadline = setTimeout(() => {
        console.error("The case took too long.");
        process.exit(2);
    }, 119_000);
    run().then(
        isBroken => {
            clearTimeout(deadline);
            process.exit(isBroken ? 1 : 0);
        },
        error => {
            console.error(error);
            process.exit(2);
        },
    );
}
