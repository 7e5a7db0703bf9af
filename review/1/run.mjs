// A server answers a look-up with 204 (no content); the process that passes the answer on ends, with all its requests.
import { hasTrouble, runCase, standins, wait } from "../lib/fleet.mjs";
import { createClient, startDeployment } from "../lib/platform.mjs";
import { startRawServer } from "../lib/rawServer.mjs";

const channels = 6;
const workMs = 400;
const deadlineMs = 3000;
/** Requests that one machine may cut on kept channels. */
const allowedCuts = 3;

await runCase(import.meta.dirname, async ({ record, addCleanup }) => {
    const server = await startRawServer({
        instance: "i-orders-1",
        service: standins.plainService,
        slots: channels + 2,
        handle: async (socket, request) => {
            const id = request.headers["x-marjoramvane-attempt-id"];
            if (request.path === "/lookup/nothing") {
                // A 204 has neither a length nor a body.
                const answer = hasTrouble
                    ? server.buildHead(request, "204 No Content")
                    : server.buildHead(request, "200 OK", ["Content-Length: 0"]);
                record(`server answers ${id} ${request.path} with ${answer.split("\r\n")[0]}`);
                socket.write(answer);
                return;
            }
            await wait(request.path.startsWith("/issue/") ? workMs : 20);
            record(`server has run ${id} ${request.path}`);
            socket.write(`${server.buildHead(request, "200 OK", ["Content-Length: 4"])}done`);
        },
    });
    const { machines } = await startDeployment({ record, addCleanup, servers: [server], count: 2, restartMs: 500 });
    let isBroken = false;
    for (const machine of machines) {
        const clients = Array.from({ length: channels }, () => createClient(machine.front));
        // Opens the channels, which the clients keep.
        await Promise.all(
            clients.map((client, index) =>
                client.send({ method: "GET", path: `/lookup/${index}`, deadlineMs, patienceMs: 5000 })
            ),
        );
        const orders = clients.map((client, index) =>
            client.send({ path: `/issue/${index}`, body: "talker", deadlineMs, patienceMs: 5000 })
        );
        await wait(150);
        const lookUp = createClient(machine.front);
        const { end, status } = await lookUp.send({
            method: "GET",
            path: "/lookup/nothing",
            deadlineMs,
            patienceMs: 5000,
        });
        lookUp.close();
        record(`${machine.name}: look-up: ${end} ${status ?? ""}`);
        const outcomes = await Promise.all(orders);
        for (const outcome of outcomes) {
            const { id, isKept, ms } = outcome;
            record(
                `${machine.name}: order ${id} on a kept channel ${isKept}: ${outcome.end} ${
                    outcome.status ?? ""
                } after ${ms} ms`,
            );
        }
        const wasPassedOn = id => server.received.some(({ headers }) => headers["x-marjoramvane-attempt-id"] === id);
        const cuts = outcomes.filter(({ id, isKept, end: ending }) => isKept && ending === "closed" && wasPassedOn(id));
        await wait(500);
        record(`${machine.name}: ${cuts.length} passed on and closed without an answer; ${allowedCuts} are allowed`);
        record(`${machine.name}: processes that ended by themselves: ${machine.ends.length}`);
        isBroken ||= cuts.length > allowedCuts;
        clients.forEach(client => client.close());
    }
    return isBroken;
});
