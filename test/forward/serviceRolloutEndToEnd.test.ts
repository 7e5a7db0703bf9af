/** A rollout of a service version over real connections, with the stand-in of the platform. */
import { afterEach, expect, it } from "vitest";
import { type PlatformServer, startPlatformServer } from "../../standins/platformServer";
import { plainService, type PlatformFleet, sendRequest, startPlatformFleet, waitUntil } from "../support/platformFleet";

let fleet: PlatformFleet | undefined;
let newServer: PlatformServer | undefined;

afterEach(async () => {
    await fleet?.close();
    await newServer?.close();
});

const order = { "service": plainService, "to": "v2", "period-s": 2 };

/** Sends requests to all processes in turn. */
async function sendRequests({ nodes }: PlatformFleet, count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
        const answer = await sendRequest(nodes[index % nodes.length]?.callerAddress ?? "", { path: "/lookup/1" });
        expect(answer.status).toBe(200);
    }
}

const getStatus = ({ store }: PlatformFleet): string | undefined =>
    store.list("status/rollout/").map(({ value }) => value).at(0);

// Guards against orders, states or reports that are lost between the store, the processes and their encodings.
it("moves all requests to the ordered version, and says so to the operators", async () => {
    const started = await startPlatformFleet({
        nodes: 2,
        bounds: "canaryShare = 0.5\ncanarySlack = 50\nrollbackMs = 5000",
    });
    fleet = started;
    const server = await startPlatformServer({ instance: "s3", service: plainService, softwareVersion: "v2" });
    newServer = server;
    started.register(server);
    started.store.put(`op/rollout/${plainService}`, order);
    await waitUntil(() => getStatus(started) !== undefined);
    expect(JSON.parse(getStatus(started) ?? "")).toEqual({ state: "serving", to: "v2" });
    const isCompleted = () => getStatus(started)?.includes("completed") ?? false;
    await waitUntil(async () => {
        await sendRequests(started, 20);
        return isCompleted();
    }, 20_000);
    const countRuns = (servers: readonly PlatformServer[]) =>
        servers.reduce((sum, { receivedRequests }) => sum + receivedRequests.length, 0);
    const before = countRuns(started.services);
    await sendRequests(started, 20);
    expect(countRuns(started.services)).toBe(before);
    const lines = started.nodes.flatMap(({ logs }) => logs.filter(line => line.startsWith("version:")));
    expect(lines.filter(line => line.includes("\"after\":\"completed\"")).length).toBeGreaterThan(0);
}, 40_000);
