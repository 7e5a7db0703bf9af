// A server of orders spoils the status line of its answers; the requests get no answer at all.
import { hasTrouble, runCase, standins, wait } from "../lib/fleet.mjs";
import { createClient, startDeployment } from "../lib/platform.mjs";
import { startRawServer } from "../lib/rawServer.mjs";

const timeoutMs = 600;
const requests = 24;

await runCase(import.meta.dirname, async ({ record, addCleanup }) => {
    let answers = 0;
    const startOrders = async (instance, isFaulty) => {
        const server = await startRawServer({
            instance,
            service: standins.plainService,
            handle: async (socket, request) => {
                await wait(20);
                answers += 1;
                const status = isFaulty && hasTrouble ? "020 OK" : "200 OK";
                socket.write(`${server.buildHead(request, status, ["Content-Length: 4"])}done`);
            },
        });
        return server;
    };
    const servers = [
        await startOrders("i-orders-1", true),
        await startOrders("i-orders-2"),
        await startOrders("i-orders-3"),
    ];
    const routes = standins.buildPlatformConfiguration({}).routes.map(route => ({ ...route, "timeout-ms": timeoutMs }));
    const { machines } = await startDeployment({ record, addCleanup, servers, count: 2, configuration: { routes } });
    const outcomes = await Promise.all(Array.from({ length: requests }, async (_, index) => {
        await wait(index * 100);
        const machine = machines[index % machines.length];
        const client = createClient(machine.front);
        const outcome = await client.send({
            path: "/issue/talker",
            body: "talker",
            deadlineMs: timeoutMs,
            patienceMs: 5000,
        });
        client.close();
        const server = servers.find(({ received }) =>
            received.some(({ headers }) => headers["x-marjoramvane-attempt-id"] === outcome.id)
        );
        record(
            `${machine.name}: order ${outcome.id} ran on ${server?.instance}: ${outcome.end} ${
                outcome.status ?? ""
            } after ${outcome.ms} ms`,
        );
        return outcome;
    }));
    const late = outcomes.filter(({ ms }) => ms > timeoutMs);
    const unanswered = late.filter(({ end, ms }) => end === "waiting" || ms > timeoutMs + 500).length;
    record(`answers that the servers made: ${answers} to ${requests} orders`);
    record(`unanswered at the timeout of ${timeoutMs} ms: ${late.length}; half a second later: ${unanswered}`);
    return unanswered > late.length / 2;
});
