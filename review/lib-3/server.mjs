// Stand-in for a server: a plain service, or a model server that streams events.
import http from "node:http";
import { heartbeatMs, wait } from "./fleet.mjs";

const instanceHeader = "x-marjoramvane-target-instance";
const attemptHeader = "x-marjoramvane-attempt-id";
/** Time that new weights take. */
const loadMs = 760;

/**
 * Starts a server that registers itself in the store. `handle` gets a request that is meant for this server, with
 * functions for its answer; the default runs it and answers 200.
 */
export async function startServer({ id, service, store, record, model, handle, onOrder, slots = 8 }) {
    const received = [];
    const orders = [];
    let born = Date.now();
    /** Orders accepted in this lifetime. */
    let seq = 0;
    let version = 1;
    let loadTimer;
    let state = "ready";
    let isRegistered = true;
    let isUp = true;
    let beatTimer;

    const buildEntry = () => ({
        service,
        address,
        zone: "zone-a",
        version: "v1",
        slots,
        state,
        "cold-left-ms": 0,
        "stage": "unified",
        ...(model ? { models: [{ name: model, version, adapters: [] }] } : {}),
        seq,
        born,
    });

    function writeEntry() {
        clearTimeout(beatTimer);
        if (isUp && isRegistered) {
            store.writeServer(id, buildEntry());
            beatTimer = setTimeout(writeEntry, heartbeatMs);
        }
    }

    const buildHeaders = attempt => ({
        "x-marjoramvane-attempt-id": attempt,
        "x-marjoramvane-response-signature": `${id}.${attempt}`,
        ...(model ? { "x-marjoramvane-weight-versions": String(version) } : {}),
    });

    async function sendStream(attempt, response) {
        response.writeHead(200, { ...buildHeaders(attempt), "content-type": "text/event-stream" });
        for (let event = 1; event <= 4 && !response.destroyed; event += 1) {
            response.write(`id: ${event}\ndata: ${event}\n\n`);
            await wait(40);
        }
        response.end();
    }

    function sendAnswer(attempt, response, headers = {}) {
        record.add(`runs ${attempt} on ${id}`);
        if (model) {
            void sendStream(attempt, response);
            return;
        }
        response.writeHead(200, { ...buildHeaders(attempt), ...headers, "content-length": 2 });
        response.end("ok");
    }

    /** Turns a request away that has not run. */
    function sendRefusal(attempt, response, headers = {}) {
        record.add(`refuses ${attempt} on ${id}`);
        response.writeHead(503, {
            "x-marjoramvane-attempt-id": attempt,
            "x-marjoramvane-not-executed": "1",
            "content-length": 0,
            ...headers,
        });
        response.end();
    }

    function sendJson(response, body, status = 200) {
        if (!response.destroyed) {
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify(body));
        }
    }

    /** Accepts an order to load a version of the model, as a server that checks no fencing tokens. */
    function admitOrder(order) {
        if (order.version <= version) {
            return 200;
        }
        if (loadTimer || (order.expected !== undefined && order.expected !== seq)) {
            return 409;
        }
        seq += 1;
        loadTimer = setTimeout(() => {
            loadTimer = undefined;
            version = order.version;
            writeEntry();
        }, loadMs);
        return 202;
    }

    async function handleOrder(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const order = JSON.parse(Buffer.concat(chunks).toString());
        if ((request.headers[instanceHeader] ?? id) !== id) {
            sendJson(response, {}, 421);
            return;
        }
        const status = admitOrder(order);
        const at = record.getMs();
        orders.push({ at, status, ...order });
        record.add(
            `order of ${order.holder} to ${id}: version ${order.version}, token ${order["fencing-token"]}, ${status}`,
        );
        sendJson(response, {}, status);
        onOrder?.({ id, at, ...order });
    }

    const controls = {
        "/-/report": (_request, response) => {
            const models = [{ name: model, version, adapters: [] }];
            const isBusy = loadTimer !== undefined;
            sendJson(response, { stage: "unified", models, busy: isBusy, seq, queued: 0, active: 0 });
        },
        "/-/order": (request, response) => {
            void handleOrder(request, response);
        },
        "/-/kv-events": (_request, response) => {
            setTimeout(() => sendJson(response, { epoch: born, next: 0, lost: false, events: [] }), 800);
        },
    };

    const listener = http.createServer((request, response) => {
        const control = controls[request.url.split("?")[0]];
        if (control) {
            control(request, response);
            return;
        }
        const attempt = request.headers[attemptHeader];
        request.resume();
        request.on("end", () => {
            const expected = request.headers[instanceHeader];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { "x-marjoramvane-instance-id": id, "content-length": 0 });
                response.end();
                return;
            }
            received.push({ attempt, at: record.getMs(), path: request.url, headers: request.headers });
            record.add(`reaches ${attempt} server ${id}`);
            const answer = {
                request,
                run: headers => sendAnswer(attempt, response, headers),
                refuse: headers => sendRefusal(attempt, response, headers),
            };
            (handle ?? (({ run }) => run()))(answer);
        });
        request.on("error", () => undefined);
    });
    await new Promise(resolve => listener.listen(0, "127.0.0.1", resolve));
    const { port } = listener.address();
    const address = `127.0.0.1:${port}`;
    writeEntry();

    const closeListener = () =>
        new Promise(resolve => {
            listener.close(resolve);
            listener.closeAllConnections();
        });

    return {
        id,
        received,
        orders,
        getVersion: () => version,
        /** Writes the entry at once, with a changed state. */
        updateState: next => {
            state = next;
            writeEntry();
        },
        /** The server no longer reaches the store, or reaches it again. */
        updateRegistration: isNow => {
            isRegistered = isNow;
            writeEntry();
        },
        /** Crashes, and starts again under its id after a while. */
        restart: async downMs => {
            if (!isUp) {
                return;
            }
            isUp = false;
            clearTimeout(beatTimer);
            clearTimeout(loadTimer);
            loadTimer = undefined;
            record.add(`server ${id} ends`);
            await closeListener();
            await wait(downMs);
            born = Date.now();
            seq = 0;
            isUp = true;
            await new Promise(resolve => listener.listen(port, "127.0.0.1", resolve));
            record.add(`server ${id} starts again`);
            writeEntry();
        },
        stop: () => {
            isUp = false;
            clearTimeout(beatTimer);
            clearTimeout(loadTimer);
            void closeListener();
        },
    };
}
