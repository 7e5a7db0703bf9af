/** Ports on loopback for processes and servers that are started after their addresses are known. */
import * as net from "node:net";

/**
 * Ports below the range that the system assigns to outgoing connections: a connection of another process could occupy a
 * port of that range after `findPorts` chose it and before its user listens. `fetch` refuses some ports up to 10080.
 */
const firstPort = 11_000;
const blockCount = 400;
/** The first port of a block is its guard; the others are given out. */
const blockSize = 50;

/** Blocks that this process has reserved; it keeps them until it exits, so that no other process gives out their ports. */
const reservedBlocks: number[] = [];
/** Processes begin at different blocks, so that they seldom try to reserve the same one. */
let nextBlock = process.pid % blockCount;
let candidates: number[] = [];
let pendingReservation: Promise<void> | undefined;

/** Listens on a port; returns the server, or undefined if the port is in use. */
function openServer(port: number): Promise<net.Server | undefined> {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => {
            resolve(undefined);
        });
        server.listen(port, "127.0.0.1", () => {
            resolve(server);
        });
    });
}

async function isPortFree(port: number): Promise<boolean> {
    const server = await openServer(port);
    await new Promise<void>(resolve => {
        if (server) {
            server.close(() => {
                resolve();
            });
        }
        else {
            resolve();
        }
    });
    return server !== undefined;
}

const listBlockPorts = (block: number): number[] =>
    Array.from({ length: blockSize - 1 }, (_, index) => firstPort + block * blockSize + 1 + index);

/** Reserves the next block that no process has reserved, or begins again with the own ones when there is none left. */
async function reserveBlock(): Promise<void> {
    for (let tried = 0; tried < blockCount; tried += 1) {
        const block = nextBlock;
        nextBlock = (nextBlock + 1) % blockCount;
        const guard = await openServer(firstPort + block * blockSize);
        if (guard) {
            guard.unref();
            reservedBlocks.push(block);
            candidates = listBlockPorts(block);
            return;
        }
    }
    candidates = reservedBlocks.flatMap(listBlockPorts);
}

async function acquireCandidate(): Promise<number> {
    for (;;) {
        const port = candidates.shift();
        if (port !== undefined) {
            return port;
        }
        pendingReservation ??= reserveBlock().finally(() => {
            pendingReservation = undefined;
        });
        await pendingReservation;
    }
}

/**
 * Finds free ports on loopback. No other process that uses this function gets the same ports while this one runs, and
 * this one does not get a port again until it has tried all that it could reserve.
 *
 * @example
 * const [callers, operators] = await findPorts(2);
 */
export async function findPorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = await acquireCandidate();
        if (await isPortFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}
