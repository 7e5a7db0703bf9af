// The operator: writes configurations to the store, and keeps the servers registered.
import {
    apiKey,
    buildPlatformConfiguration,
    buildPlatformRoute,
    plainService,
} from "../../standins/platformConfiguration.ts";

export const secondKey = "key-that-is-withdrawn";

/** The first routes are the stand-ins' own; `grow` adds routes as `big_config` does. */
export function createOperator(store) {
    const added = [];
    let version = 0;
    let keys = [apiKey, secondKey];

    /** Makes the next version. */
    function prepare() {
        version += 1;
        const base = buildPlatformConfiguration({ version });
        const configuration = {
            ...base,
            routes: [...base.routes, ...added],
            tenants: [{ "name": "shop", "api-keys": keys, "rate-per-s": 0, "burst": 0 }],
        };
        return { version, text: JSON.stringify(configuration) };
    }

    return {
        grow: count => {
            const first = added.length;
            for (let index = first; index < first + count; index += 1) {
                added.push(buildPlatformRoute(`idle-${index}`, "idempotent", plainService));
            }
        },
        withdraw: () => {
            keys = [apiKey];
        },
        prepare,
        /** Sends the next version; the store acknowledges it at once. Returns its number and its size. */
        send: (prepared = prepare()) => {
            store.putText("op/config", prepared.text);
            return { version: prepared.version, bytes: Buffer.byteLength(prepared.text) };
        },
    };
}

/** Writes the entries of the servers every heartbeat. */
export function registerServers(store, servers) {
    const write = () => {
        for (const server of servers) {
            store.put(`servers/${server.instance}`, server.buildRegistration());
        }
    };
    write();
    return setInterval(write, 1200);
}
