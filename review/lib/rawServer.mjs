// A server of the platform that decides itself which bytes it writes.
import * as net from "node:net";

function parseHead(text) {
    const [requestLine = "", ...lines] = text.split("\r\n");
    const [method = "", path = ""] = requestLine.split(" ");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).trim().toLowerCase(), line.slice(colon + 1).trim()];
    }));
    return { method, path, headers };
}

/**
 * Starts a server on a free port. `handle` gets the socket and one request at a time of each channel, with its body read;
 * the next one waits for the promise that it returns. Control calls under `/-/` are answered here.
 */
export async function startRawServer({ instance, service, model, handle, slots = 6, zone = "zone-a" }) {
    const received = [];
    const born = Date.now();
    const sockets = new Set();

    function answerControl(socket, { path }) {
        const send = body => {
            const text = JSON.stringify(body);
            socket.write(
                `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
            );
        };
        if (path.startsWith("/-/kv-events")) {
            setTimeout(() => send({ epoch: born, next: 0, lost: false, events: [] }), 500);
            return;
        }
        send({ stage: "unified", models: [{ name: model, version: 1, adapters: [] }], busy: false, seq: 0 });
    }

    /** Splits the first whole request off the bytes; undefined while there is none. */
    function takeRequest(bytes) {
        const headEnd = bytes.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return undefined;
        }
        const request = parseHead(bytes.subarray(0, headEnd).toString("latin1"));
        const bodyEnd = headEnd + 4 + Number(request.headers["content-length"] ?? 0);
        if (bytes.length < bodyEnd) {
            return undefined;
        }
        request.body = bytes.subarray(headEnd + 4, bodyEnd).toString("latin1");
        return { request, rest: bytes.subarray(bodyEnd) };
    }

    const listener = net.createServer(socket => {
        sockets.add(socket);
        let bytes = Buffer.alloc(0);
        let last = Promise.resolve();
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            for (let taken = takeRequest(bytes); taken; taken = takeRequest(bytes)) {
                const { request, rest } = taken;
                bytes = rest;
                if (request.path.startsWith("/-/")) {
                    answerControl(socket, request);
                    continue;
                }
                received.push(request);
                last = last.then(() => socket.destroyed ? undefined : handle(socket, request));
            }
        });
    });
    await new Promise(resolve => listener.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${listener.address().port}`;
    return {
        address,
        instance,
        /** Requests in the order in which they arrived. */
        received,
        /** Head of an answer of this server with the headers that the protocol asks for. */
        buildHead: (request, status, headers = []) => {
            const attempt = request.headers["x-marjoramvane-attempt-id"];
            return [
                `HTTP/1.1 ${status}`,
                `X-Marjoramvane-Attempt-Id: ${attempt}`,
                `X-Marjoramvane-Response-Signature: ${instance}.${attempt}`,
                ...(model === undefined ? [] : ["X-Marjoramvane-Weight-Versions: 1"]),
                ...headers,
                "",
                "",
            ].join("\r\n");
        },
        buildRegistration: (state = "ready") => ({
            service,
            address,
            zone,
            version: "v1",
            slots,
            state,
            "cold-left-ms": 0,
            stage: "unified",
            ...(model === undefined ? {} : { models: [{ name: model, version: 1, adapters: [] }] }),
            seq: 1,
            born,
        }),
        close: () => {
            listener.close();
            for (const socket of sockets) {
                socket.destroy();
            }
        },
    };
}
