// Configuration of the scripts' small deployment, as the operator writes it to the store.
import { createAttemptId, sendRequest } from "./fleet.mjs";

export const apiKey = "wu3fexd9dnn2ctnfzs98";
export const modelName = "daka510000";

const buildRoute = (name, kind, service, changes = {}) => ({
    name,
    "host": "jepu9.example",
    "prefix": `/${name}/`,
    kind,
    "timeout-ms": 4000,
    "target-latency-ms": 600,
    "priority": 1,
    service,
    "max-attempts": 1,
    "no-auth": false,
    "sticky": kind === "streaming",
    "resumable": false,
    "gap-aim-ms": 600,
    ...changes,
});

export const configuration = {
    version: 7,
    routes: [
        buildRoute("copy", "streaming", "engines"),
        buildRoute("lookup", "idempotent", "ledger"),
        buildRoute("order", "non_idempotent", "ledger"),
        buildRoute("upload", "non_idempotent", "uploads"),
    ],
    services: [
        {
            "name": "engines",
            "health-path": "/healthz",
            "max-connections": 360,
            "protocol": "h1",
            "tls": false,
            "engine": {
                "slots": 64,
                "kv-capacity": 106027,
                "kv-token-bytes": 18432,
                "link-mbps": 550000,
                "max-concurrency": 12,
                "models": [{ name: modelName }],
            },
        },
        { "name": "ledger", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false },
        { "name": "uploads", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false },
    ],
    limits: {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    tenants: [{
        "name": "sese880",
        "api-keys": [apiKey],
        "priority": 1,
        "unit": "tokens",
        "plain-tokens": 200,
        "isolated": false,
        "rate-per-s": 10_000_000,
        "burst": 10_000_000,
    }],
};

/** Writes the first configuration and the version of the model. */
export function writeConfiguration(store) {
    store.put("op/config", configuration);
    store.put(`op/version/${modelName}`, { model: modelName, version: 1 });
}

/** Tokens of each prompt, for which its tenant's limit counts. */
const promptTokens = 1460;
const outputTokens = 80;
export const tokensPerPrompt = promptTokens + outputTokens;

/** Sends a prompt of three parts: one that all share, the given one, and one of its own. */
export const sendPrompt = (machine, middlePart, record, options = {}) =>
    sendRequest(machine, {
        method: "POST",
        path: "/copy/1",
        key: apiKey,
        body: "prompt",
        headers: {
            "x-marjoramvane-model": modelName,
            "x-marjoramvane-token-usage": `${promptTokens},${outputTokens}`,
            "x-marjoramvane-prompt-prefix": `5c1e07a2:800,${middlePart}:410,${createAttemptId().slice(0, 8)}:250`,
        },
        ...options,
    }, record);
