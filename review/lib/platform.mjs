// A small deployment: the store with a configuration, servers, machines, and clients that keep their channels.
import * as http from "node:http";
import { createAttemptId, standins, startMachines, wait, waitUntilReady } from "./fleet.mjs";

const { apiKey, buildPlatformConfiguration, modelName, startPlatformStore } = standins;

/** Time after which a machine without trouble is in touch (`contact-ms`). */
const contactMs = 3000;

/** Starts the store, registers the servers and starts the machines; returns when all are in touch. */
export async function startDeployment({ record, addCleanup, servers, count, configuration = {}, restartMs }) {
    const store = await startPlatformStore();
    addCleanup(() => store.close());
    store.put("op/config", { version: 1, ...buildPlatformConfiguration(configuration) });
    store.put(`op/version/${modelName}`, { model: modelName, version: 1 });
    for (const server of servers) {
        addCleanup(() => server.close());
        store.put(`servers/${server.instance}`, server.buildRegistration());
    }
    const fleet = await startMachines({ count, storeAddress: store.address, record, restartMs });
    addCleanup(() => fleet.stop());
    for (const machine of fleet.machines) {
        await waitUntilReady(machine);
    }
    await wait(contactMs + 500);
    record(`in touch: ${fleet.machines.map(({ name }) => name).join(", ")}`);
    return { store, machines: fleet.machines };
}

/** Headers of a client's request as on the wire of the platform. */
export const buildHeaders = ({ id = createAttemptId(), key = apiKey, deadlineMs, tokens, parts }) => ({
    "Host": "shop.example",
    "X-Marjoramvane-Attempt-Id": id,
    "X-Marjoramvane-Deadline-Ms": String(deadlineMs),
    "Authorization": `Token ${key}`,
    ...(parts === undefined
        ? {}
        : {
            "X-Marjoramvane-Model": modelName,
            "X-Marjoramvane-Token-Usage": tokens ?? "1460,80",
            "X-Marjoramvane-Prompt-Prefix": parts,
        }),
});

/** A client with one channel that it keeps for all of its requests. */
export function createClient(address) {
    const colon = address.lastIndexOf(":");
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    return {
        /**
         * Sends a request. `end` says how it ended: `answered`, `cut` in the middle of its answer, `closed` without an
         * answer, or `waiting` when the client left after `patienceMs`.
         */
        send: ({ method = "POST", path, body = "", patienceMs, ...rest }) =>
            new Promise(resolve => {
                const headers = buildHeaders(rest);
                const id = headers["X-Marjoramvane-Attempt-Id"];
                const startedAt = performance.now();
                const settle = outcome => {
                    clearTimeout(timer);
                    resolve({
                        id,
                        ms: Math.round(performance.now() - startedAt),
                        isKept: call.reusedSocket,
                        ...outcome,
                    });
                };
                const call = http.request({
                    host: address.slice(0, colon),
                    port: Number(address.slice(colon + 1)),
                    method,
                    path,
                    agent,
                    headers: method === "GET" ? headers : { ...headers, "Content-Length": String(body.length) },
                });
                const timer = setTimeout(() => {
                    settle({ end: "waiting" });
                    call.destroy();
                }, patienceMs);
                call.on("error", () => settle({ end: "closed" }));
                call.on("response", response => {
                    const chunks = [];
                    response.on("data", chunk => chunks.push(chunk));
                    response.on("error", () => settle({ end: "cut", status: response.statusCode }));
                    response.on("end", () => {
                        settle({
                            end: "answered",
                            status: response.statusCode,
                            headers: response.headers,
                            body: Buffer.concat(chunks).toString("latin1"),
                        });
                    });
                });
                call.end(body);
            }),
        close: () => agent.destroy(),
    };
}
