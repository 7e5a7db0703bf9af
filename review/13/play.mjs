// A new configuration isolates a tenant whose requests have left shared parts in the engines' caches.
import path from "node:path";
import { fileURLToPath } from "node:url";
import { apiKey, configuration, modelName, sendPrompt, writeConfiguration } from "../lib-3/config.mjs";
import { bounds, heartbeatMs, runCase, startMachines, wait, waitForReady } from "../lib-3/fleet.mjs";
import { startServer } from "../lib-3/server.mjs";
import { startStore } from "../lib-3/store.mjs";

const [firstTenant] = configuration.tenants;
const secondTenant = { ...firstTenant, "name": "nusa114", "api-keys": ["9anu6wsjnbanfqasnmgk"] };
const [secondKey] = secondTenant["api-keys"];
const soundMs = 100;

const buildConfiguration = (version, isIsolated) => ({
    ...configuration,
    version,
    tenants: [{ ...firstTenant, isolated: isIsolated }, secondTenant],
});

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({ record, isTroubled, addCleanup }) => {
    const store = await startStore({ heartbeatMs });
    addCleanup(store.stop);
    writeConfiguration(store);
    store.put("op/config", buildConfiguration(8, false));
    let isolatedAt;
    const sentAt = new Map();
    const violations = [];

    /** Keeps parts under the text of `X-Marjoramvane-Cache-Salt`, with the tenant whose request made them. */
    function createCache(id) {
        const parts = new Map();
        return ({ headers }) => {
            const tenant = headers["x-marjoramvane-tenant-id"];
            const salt = headers["x-marjoramvane-cache-salt"] ?? "";
            const attempt = headers["x-marjoramvane-attempt-id"];
            const keys = headers["x-marjoramvane-prompt-prefix"].split(",").map(part =>
                `${salt} ${part.split(":")[0]}`
            );
            const firstMissing = keys.findIndex(key => !parts.has(key));
            const used = keys.slice(0, firstMissing < 0 ? keys.length : firstMissing);
            const foreign = used.filter(key => parts.get(key) !== tenant);
            record.add(
                `${attempt} of ${tenant} on ${id} with salt ${salt} uses ${
                    used.map(key => `${key} of ${parts.get(key)}`)
                }`,
            );
            const isLate = isolatedAt !== undefined && sentAt.get(attempt) > isolatedAt + bounds["config-apply-ms"];
            if (isLate && foreign.length > 0) {
                violations.push(
                    `${attempt} of ${tenant} used a part that a request of ${parts.get(foreign[0])} had made`,
                );
            }
            keys.filter(key => !parts.has(key)).forEach(key => parts.set(key, tenant));
        };
    }

    const servers = [];
    for (const id of ["i-7f3a91c2", "i-02d9e6b4"]) {
        const readPrompt = createCache(id);
        const handle = ({ request, run }) => {
            readPrompt(request);
            run();
        };
        servers.push(await startServer({ id, service: "engines", model: modelName, store, record, slots: 64, handle }));
    }
    const fleet = await startMachines({ count: 2, storeAddress: store.address, record });
    addCleanup(() => servers.forEach(({ stop }) => stop()));
    addCleanup(fleet.stop);
    await waitForReady(fleet.machines);
    await wait(2000);
    let sent = 0;
    const traffic = setInterval(() => {
        sent += 1;
        const id = sent.toString(16).padStart(16, "0");
        sentAt.set(id, record.getMs());
        const [key, machine] = [sent % 3 === 0 ? secondKey : apiKey, fleet.machines[sent % 2]];
        void sendPrompt(machine, `91bd3f0${sent % 4}`, record, { key, id });
    }, soundMs);
    addCleanup(() => clearInterval(traffic));
    await wait(3000);
    if (isTroubled) {
        store.put("op/config", buildConfiguration(9, true));
        isolatedAt = record.getMs();
        record.add(`version 9 is acknowledged: ${firstTenant.name} is isolated`);
    }
    await wait(6000);
    clearInterval(traffic);
    await wait(1000);
    return violations;
});
