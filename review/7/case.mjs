// The configuration grows by many routes, on the smallest links; does it come into force?
import { apiKey, plainService } from "../../standins/platformConfiguration.ts";
import { startPlatformServer } from "../../standins/platformServer.ts";
import { startPlatformStore } from "../../standins/platformStore.ts";
import { createFleet, createRecord, getElapsedMs, runCase, sendRequest, startProxy, wait } from "../lib-2/harness.mjs";
import { createOperator, registerServers, secondKey } from "../lib-2/operator.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const processCount = 4;
/** The smallest link of the sheet. Only the answers of the store pass it here. */
const mbitPerSecond = 7;
/** `big_config`: the sizes that the site file names; together they stay under `value-bytes`. */
const growths = [1800, 1400, 1400];
const configApplyMs = 3000;
const observedMs = 15_000;
/** How long a process that was stopped and started is given to become ready. */
const startMs = 30_000;

runCase(async () => {
    const record = createRecord("review/7/record.txt");
    const store = await startPlatformStore();
    const servers = await Promise.all(
        ["s1", "s2"].map(instance => startPlatformServer({ instance, service: plainService })),
    );
    registerServers(store, servers);
    const operator = createOperator(store);
    operator.send();
    const fleet = createFleet({ root: ".", site: "ksba-boards-grown" });
    const proxies = [];

    /** Sends a request with the key; returns the answer and whether a server ran it. */
    async function sendOrder(machine, key) {
        const answer = await sendRequest(machine.callers, {
            path: "/issue/1",
            key,
            body: "entry",
            headers: { "x-marjoramvane-deadline-ms": "1500" },
            timeoutMs: 1600,
        });
        const hasRun = servers.some(server =>
            server.receivedRequests.some(request => request.attempt === answer.id && request.hasRun)
        );
        return { ...answer, hasRun };
    }

    try {
        for (let index = 1; index <= processCount; index += 1) {
            const proxy = await startProxy(store.address, { mbitPerSecond });
            proxies.push(proxy);
            await fleet.add({ vm: `front-${index}`, dataCentre: "nbo-karen", store: proxy.address });
        }
        if (!(await fleet.waitUntilReady())) {
            throw new Error("The processes did not become ready.");
        }
        record(`${processCount} processes are ready; each reads the store over ${mbitPerSecond} Mbit/s.`);
        await wait(3000);
        for (const count of hasTrouble ? growths : []) {
            operator.grow(count);
            const { version, bytes } = operator.send();
            record(`Version ${version} adds ${count} routes; it has ${bytes} bytes. Acknowledged.`);
            await wait(6000);
        }
        operator.withdraw();
        const { version, bytes } = operator.send();
        const acknowledgedAt = getElapsedMs();
        record(`Version ${version} withdraws a key; it has ${bytes} bytes. Acknowledged.`);
        const late = new Map(fleet.machines.map(machine => [machine, []]));
        while (getElapsedMs() - acknowledgedAt < observedMs) {
            await Promise.all(fleet.machines.map(async machine => {
                const { id, sentAt, status, hasRun } = await sendOrder(machine, secondKey);
                const ageMs = sentAt - acknowledgedAt;
                if (hasRun && ageMs > configApplyMs) {
                    late.get(machine).push(ageMs);
                    record(`${machine.vm}: request ${id}, sent ${ageMs} ms after the acknowledgement: run, ${status}.`);
                }
                if (ageMs > observedMs - 400) {
                    record(`${machine.vm}: ${status} for the withdrawn key, ${ageMs} ms after the acknowledgement.`);
                }
            }));
            await wait(200);
        }
        for (const [{ vm }, ages] of late) {
            record(
                `${vm}: ${ages.length} requests with the withdrawn key ran that were sent more than ${configApplyMs} ms `
                    + `after the acknowledgement${ages.length > 0 ? `, the last ${ages.at(-1)} ms after it` : ""}.`,
            );
        }
        const [stopped] = fleet.machines;
        stopped.child.kill("SIGTERM");
        while (stopped.exits.length === 0) {
            await wait(50);
        }
        fleet.startProcess(stopped);
        const startedAt = getElapsedMs();
        record(`${stopped.vm} was stopped as planned and started again.`);
        let status = 0;
        while (status !== 200 && getElapsedMs() - startedAt < startMs) {
            ({ status } = await sendOrder(stopped, apiKey));
            await wait(250);
        }
        record(
            status === 200
                ? `${stopped.vm} serves again after ${getElapsedMs() - startedAt} ms.`
                : `${stopped.vm} still answers ${status} after ${startMs} ms.`,
        );
        const isBroken = [...late.values()].some(ages => ages.length > 0);
        record(isBroken ? "The rule is broken." : "The rule held.");
        return isBroken;
    }
    finally {
        fleet.stop();
        proxies.forEach(proxy => proxy.close());
    }
});
