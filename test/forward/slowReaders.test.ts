/** Callers that read a stream too slowly, in front of a real process. */
import type * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { buildPlatformConfiguration, buildPlatformRoute, plainService } from "../../standins/platformConfiguration";
import { type PlatformServer, startPlatformServer } from "../../standins/platformServer";
import { type PlatformStore, startPlatformStore } from "../../standins/platformStore";
import { closeClients, type OpenClient, openUnreadClient } from "../support/clientLoads";
import { type ForwardProcess, startForwardProcess } from "../support/forwardProcess";
import { apiKey, sendRequest, waitUntil } from "../support/platformFleet";
import { type RawTarget, startRawTarget } from "../support/rawConnections";

let store: PlatformStore;
let service: PlatformServer;
let target: RawTarget | undefined;
let process: ForwardProcess | undefined;
const clients: OpenClient[] = [];

afterEach(async () => {
    closeClients(clients.splice(0));
    process?.kill();
    target?.close();
    await Promise.all([store.close(), service.close()]);
});

const eventBytes = 64 * 1024;

/** Writes events as fast as the connection takes them. */
function writeEvents(socket: net.Socket): () => number {
    let id = 0;
    const writeNext = (): void => {
        do {
            id += 1;
        }
        while (!socket.destroyed && socket.write(`id: ${id}\ndata: ${"x".repeat(eventBytes)}\n\n`));
    };
    socket.on("drain", writeNext);
    writeNext();
    return () => id;
}

describe("a caller that does not read its stream", () => {
    // Guards against work at a target that goes on for a caller that has been given up, and against events that are held.
    it("slows its target down, and ends the target's work once it has made no progress for too long", async () => {
        let isClosed = false;
        let getEventCount = (): number => 0;
        store = await startPlatformStore();
        service = await startPlatformServer({ instance: "s1", service: plainService });
        target = await startRawTarget(socket => {
            socket.write(
                "HTTP/1.1 200 OK\r\nx-marjoramvane-response-signature: s\r\nContent-Type: text/event-stream\r\n\r\n",
            );
            socket.on("close", () => {
                isClosed = true;
            });
            getEventCount = writeEvents(socket);
        });
        const base = buildPlatformConfiguration({ version: 1 });
        const stream = buildPlatformRoute("stream", "streaming", "raw", { "timeout-ms": 60_000, "max-attempts": 1 });
        store.put("op/config", {
            ...base,
            routes: [...base["routes"] as readonly unknown[], stream],
            services: [...base["services"] as readonly unknown[], { "name": "raw", "max-connections": 10 }],
        });
        store.put("servers/s1", service.buildRegistration());
        store.put("servers/raw", { ...service.buildRegistration(), service: "raw", address: target.address });
        process = await startForwardProcess(store.address, { clients: { stallMs: 500 } });
        const { callerAddress, metricsAddress } = process;
        const sendSound = () =>
            sendRequest(callerAddress, { path: "/lookup/1", method: "GET" }).then(
                ({ status }) => status,
                () => 0,
            );
        await waitUntil(async () => (await sendSound()) === 200, 10_000);
        const client = openUnreadClient(callerAddress);
        clients.push(client);
        const headers = [
            "Host: shop.example",
            `Authorization: Token ${apiKey}`,
            "x-marjoramvane-attempt-id: 0123456789abcdef",
            "x-marjoramvane-deadline-ms: 60000",
            "Content-Length: 0",
        ];
        client.socket.write(`POST /stream/1 HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n`);
        await waitUntil(() => isClosed, 20_000);
        // The buffers of both connections in the system take some megabytes; the stream would have no end.
        expect(getEventCount() * eventBytes).toBeLessThan(64 * 1024 * 1024);
        expect(await sendSound()).toBe(200);
        const metrics = await sendRequest(metricsAddress, { path: "/metrics", method: "GET" });
        expect(metrics.body).toContain("clients_outside_limits_total{listener=\"callers\",fault=\"stalled\"} 1");
    }, 60_000);
});
