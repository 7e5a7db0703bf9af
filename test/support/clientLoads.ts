/** Clients that keep to none of the documented limits, for tests that check what they leave of a process. */
import * as net from "node:net";
import { parseAddress } from "../../src/adapters/httpClient";

export interface PipelinedLoad {
    /** Bytes of one request; repeated as often as the connection takes it. */
    readonly request: string;
    /** Written once, before the repeated request. */
    readonly firstRequest?: string;
    readonly connections?: number;
    /** Bytes that each connection sends at most. */
    readonly maxBytes?: number;
    readonly durationMs?: number;
}

/** Load of the trial in which processes ended. */
export const trialConnections = 24;
export const trialMs = 3000;
const trialBytes = 8 * 1024 * 1024;
const blockBytes = 64 * 1024;
/** Time after which a client whose connection was closed connects again. */
const reconnectMs = 100;

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

export interface OpenClient {
    readonly socket: net.Socket;
    readonly isClosed: boolean;
}

/** Opens a connection that reads nothing. */
export function openUnreadClient(address: string): OpenClient {
    const socket = net.connect(parseAddress(address));
    let isClosed = false;
    socket.pause();
    socket.on("error", () => undefined);
    socket.on("close", () => {
        isClosed = true;
    });
    return {
        socket,
        get isClosed() {
            return isClosed;
        },
    };
}

async function sendOnOneConnection(address: string, block: Buffer, load: Required<PipelinedLoad>): Promise<void> {
    const end = Date.now() + load.durationMs;
    let sentBytes = 0;
    while (Date.now() < end && sentBytes < load.maxBytes) {
        const { socket } = openUnreadClient(address);
        socket.write(load.firstRequest);
        while (Date.now() < end && sentBytes < load.maxBytes && !socket.destroyed) {
            sentBytes += block.length;
            if (!socket.write(block)) {
                await Promise.race([
                    new Promise(resolve => socket.once("drain", resolve)),
                    new Promise(resolve => socket.once("close", resolve)),
                    wait(Math.max(0, end - Date.now())),
                ]);
            }
        }
        await wait(reconnectMs);
        if (Date.now() < end && socket.destroyed) {
            continue;
        }
        await wait(Math.max(0, end - Date.now()));
        socket.destroy();
    }
}

/** Sends pipelined requests on several connections, and reads no answer. */
export async function sendPipelined(address: string, options: PipelinedLoad): Promise<void> {
    const load = {
        firstRequest: "",
        connections: trialConnections,
        maxBytes: trialBytes,
        durationMs: trialMs,
        ...options,
    };
    const block = Buffer.from(load.request.repeat(Math.ceil(blockBytes / load.request.length)));
    await Promise.all(
        Array.from({ length: load.connections }, () => sendOnOneConnection(address, block, load)),
    );
}

/** Opens connections that send `head` once and then nothing, in groups that the backlog of a listener takes. */
export async function openUnfinished(address: string, head: string | Buffer, count: number): Promise<OpenClient[]> {
    const groupSize = 50;
    const clients: OpenClient[] = [];
    while (clients.length < count) {
        for (let index = 0; index < groupSize && clients.length < count; index += 1) {
            const client = openUnreadClient(address);
            client.socket.write(head);
            clients.push(client);
        }
        await wait(20);
    }
    return clients;
}

export function closeClients(clients: readonly OpenClient[]): void {
    clients.forEach(({ socket }) => {
        socket.destroy();
    });
}
