// Stand-in for the platform's store: keys with revisions, leases and watches, and the list of servers.
import http from "node:http";

/** Liveness intervals of silence after which the entry of a server is removed. */
const maxMissedBeats = 3;

export async function startStore({ heartbeatMs }) {
    const items = new Map();
    const leases = new Map();
    const watches = new Set();
    const beatTimers = new Map();
    let changes = [];
    let revision = 1;
    let nextLease = 1;
    /** "none", or what a call meets while the store is down: "reset" or "silent". */
    let outage = "none";

    const encodeItem = ({ key, value, changedAt, createdAt, lease }) => ({
        key,
        "value": Buffer.from(value).toString("base64"),
        "revision": changedAt,
        "create-revision": createdAt,
        lease,
    });

    function recordChange(key, item) {
        if (item) {
            items.set(key, item);
        }
        else {
            items.delete(key);
        }
        changes.push({ revision, key, item });
        changes = changes.slice(-20_000);
    }

    function settleWatches() {
        for (const check of [...watches]) {
            check();
        }
    }

    function writeItem(key, value, lease = 0) {
        recordChange(key, { key, value, changedAt: revision, createdAt: items.get(key)?.createdAt ?? revision, lease });
    }

    /** Writes a key as the operator or a server does. */
    function put(key, value) {
        revision += 1;
        writeItem(key, JSON.stringify(value));
        settleWatches();
    }

    function remove(key) {
        if (items.has(key)) {
            revision += 1;
            recordChange(key, undefined);
            settleWatches();
        }
    }

    function endLease(id) {
        const lease = leases.get(id);
        clearTimeout(lease?.timer);
        leases.delete(id);
        for (const item of [...items.values()].filter(held => held.lease === id)) {
            remove(item.key);
        }
        return lease !== undefined;
    }

    function startLease(id, ttlMs) {
        clearTimeout(leases.get(id)?.timer);
        leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
    }

    function runTransaction({ expected = [], writes = [], deletes = [] }) {
        if (expected.some(({ key, revision: at }) => (items.get(key)?.changedAt ?? 0) !== at)) {
            const rows = expected.flatMap(({ key }) => (items.has(key) ? [encodeItem(items.get(key))] : []));
            return [412, { items: rows }];
        }
        if (writes.some(({ lease }) => lease && !leases.has(lease))) {
            return [404, {}];
        }
        revision += 1;
        writes.forEach(({ key, value, lease }) => writeItem(key, Buffer.from(value, "base64").toString(), lease));
        deletes.filter(key => items.has(key)).forEach(key => recordChange(key, undefined));
        settleWatches();
        return [200, { revision }];
    }

    const listChanges = (prefix, after) =>
        changes.filter(change => change.revision > after && change.key.startsWith(prefix)).map(change =>
            change.item
                ? encodeItem(change.item)
                : { key: change.key, revision: change.revision, tombstone: true }
        );

    function waitForChanges(query, response, answer) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const settle = () => {
            watches.delete(check);
            clearTimeout(timer);
            answer(200, { "events": listChanges(prefix, after), "as-of": revision });
        };
        const check = () => {
            if (listChanges(prefix, after).length > 0) {
                settle();
            }
        };
        const timer = setTimeout(settle, Number(query.get("wait-ms")));
        watches.add(check);
        response.on("close", () => {
            watches.delete(check);
            clearTimeout(timer);
        });
        check();
    }

    const handlers = {
        "kv-key": ({ query, answer }) => {
            const item = items.get(query.get("key"));
            answer(item ? 200 : 404, item ? { ...encodeItem(item), "as-of": revision } : {});
        },
        "kv-range": ({ query, answer }) => {
            const found = [...items.values()].filter(({ key }) => key.startsWith(query.get("prefix") ?? ""));
            answer(200, { "items": found.map(encodeItem), "truncated": false, "as-of": revision });
        },
        "kv-watch": ({ query, response, answer }) => {
            waitForChanges(query, response, answer);
        },
        "kv-txn": ({ body, answer }) => {
            answer(...runTransaction(body));
        },
        "kv-lease": ({ body, answer }) => {
            const lease = nextLease;
            nextLease += 1;
            startLease(lease, body["ttl-ms"]);
            answer(200, { lease, "ttl-ms": body["ttl-ms"] });
        },
        "kv-keep": ({ id, answer }) => {
            const lease = leases.get(id);
            if (lease) {
                startLease(id, lease.ttlMs);
            }
            answer(lease ? 200 : 404, lease ? { "ttl-ms": lease.ttlMs } : {});
        },
        "kv-lease-end": ({ id, answer }) => {
            answer(endLease(id) ? 200 : 404, {});
        },
    };

    const server = http.createServer(async (request, response) => {
        if (outage === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (outage === "silent") {
            return;
        }
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const [, , name, id] = pathname.split("/");
        const text = Buffer.concat(chunks).toString();
        const answer = (status, body) => {
            if (!response.destroyed && outage === "none") {
                response.writeHead(status, { "content-type": "application/json", "store-era": "1" });
                response.end(JSON.stringify(body));
            }
        };
        const body = text === "" ? {} : JSON.parse(text);
        handlers[name]?.({ query: searchParams, response, answer, id: Number(id), body });
    });
    // A closed connection is seen by the side that waits for it.
    server.on("clientError", (_error, socket) => socket.destroy());
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));

    function removeServer(id) {
        clearTimeout(beatTimers.get(id));
        beatTimers.delete(id);
        remove(`servers/${id}`);
    }

    return {
        address: `127.0.0.1:${server.address().port}`,
        put,
        get: key => items.get(key)?.value,
        list: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        /** Writes the entry of a server, as the server does at each interval; lost while the store is down. */
        writeServer: (id, entry) => {
            if (outage !== "none") {
                return;
            }
            put(`servers/${id}`, entry);
            clearTimeout(beatTimers.get(id));
            beatTimers.set(id, setTimeout(() => removeServer(id), heartbeatMs * maxMissedBeats));
        },
        removeServer,
        /** Takes the store down. Its leases run out meanwhile. */
        startOutage: how => {
            outage = how;
            if (how === "reset") {
                server.closeAllConnections();
            }
        },
        endOutage: () => {
            outage = "none";
            // Calls that met a silent store get no answer any more.
            server.closeAllConnections();
        },
        stop: () => {
            [...leases.values()].forEach(({ timer }) => clearTimeout(timer));
            [...beatTimers.values()].forEach(clearTimeout);
            server.closeAllConnections();
            server.close();
        },
    };
}
