/** Unexpected errors in listeners of sockets, requests and responses, in both modes. */
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { platformPorts } from "../platform";
import { createListenerGuard } from "../src/adapters/listenerGuard";
import { createOpenRequests, type OpenRequest } from "../src/adapters/openRequests";
import { createTargetClient } from "../src/adapters/targetClient";
import type { Settings } from "../src/config/settings";
import type { Event } from "../src/events";
import { createForwardClient } from "../src/forward/adapters/forwardClient";
import { createOpenForwardRequests } from "../src/forward/adapters/openForwardRequests";
import type { ForwardEvent } from "../src/forward/events";
import { toRequestId, toTargetId } from "../src/ids";
import type { Failure } from "../src/runner";
import { startFleet as startCompletionsFleet, waitUntilReady } from "./support/fleet";
import { type PlatformFleet, sendRequest, startPlatformFleet, waitUntil } from "./support/platformFleet";
import { openRawCaller, startRawTarget } from "./support/rawConnections";
import { formatRequest, formatSignedHead, startRawFleet } from "./support/rawFleet";

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

describe("a guard", () => {
    // Guards against an error of one listener that ends the process, or that leaves its owner waiting for ever.
    it("reports what a listener throws with the ids of its owner, and ends only the owner", () => {
        const failures: Failure[] = [];
        const ended: string[] = [];
        const createGuard = (request: string) =>
            createListenerGuard({
                part: "test",
                fields: { request },
                end: () => {
                    ended.push(request);
                    throw new Error("The end fails, too.");
                },
                reportFailure: failure => failures.push(failure),
            });
        const received: string[] = [];
        createGuard("r1")(() => {
            throw new TypeError("Cannot read properties of null");
        })();
        createGuard("r2")((text: string) => received.push(text))("bytes");
        expect(ended).toEqual(["r1"]);
        expect(received).toEqual(["bytes"]);
        expect(failures.map(({ part, fields }) => [part, fields])).toEqual([
            ["test", { request: "r1" }],
            ["test", { request: "r1" }],
        ]);
    });
});

type AnyEvent = ForwardEvent | Event;

interface TestClient {
    readonly events: AnyEvent[];
    readonly failures: Failure[];
    send(id: string, address: string): void;
}

/** The event of an answer with which the listener that posts it fails. */
const failingId = "r-failing";
function checkEvent(event: AnyEvent): void {
    if (event.kind === "attemptAnswered" && event.request === toRequestId(failingId)) {
        throw new Error("unexpected");
    }
}

const settings = {
    timeouts: { connectMs: 400, idleMs: 2000, engineIdleMs: 2000 },
    limits: { answerBytes: 1024 },
} as unknown as Settings;

const clients: { readonly [Mode in "forwarding" | "completions"]: () => TestClient; } = {
    forwarding: () => {
        const events: ForwardEvent[] = [];
        const failures: Failure[] = [];
        const openRequests = createOpenForwardRequests();
        const client = createForwardClient({
            codec: platformPorts.headers,
            openRequests,
            isClosing: () => false,
            post: event => {
                checkEvent(event);
                events.push(event);
            },
            reportFailure: failure => failures.push(failure),
        });
        closers.push(client.close);
        const send = (id: string, address: string): void => {
            const request = toRequestId(id);
            const body = Buffer.alloc(0);
            openRequests.add(
                { id: request, attemptId: id, method: "GET", path: "/", rawHeaders: [], body, response: {} } as never,
            );
            const call = {
                target: toTargetId("t"),
                address,
                instance: "t",
                account: undefined,
                timeLeftMs: 5000,
                idleTimeoutMs: undefined,
                resumeAfterEventId: undefined,
            };
            client.send({ kind: "sendRequest", request, attempt: 1, call });
        };
        return { events, failures, send };
    },
    completions: () => {
        const events: Event[] = [];
        const failures: Failure[] = [];
        const openRequests = createOpenRequests();
        const client = createTargetClient({
            settings,
            openRequests,
            post: event => {
                checkEvent(event);
                events.push(event);
            },
            reportFailure: failure => failures.push(failure),
        });
        closers.push(client.close);
        const send = (id: string, address: string): void => {
            const request = toRequestId(id);
            openRequests.add({ id: request, headers: {}, body: Buffer.alloc(0) } as unknown as OpenRequest);
            const endpoint = "service" as const;
            const call = { address, method: "GET", path: "/", endpoint, stream: false, needsNewConnection: false };
            client.send({ kind: "sendRequest", request, attempt: 1, call: { ...call, timeoutMs: 1000 } });
        };
        return { events, failures, send };
    },
};

describe.each(["forwarding", "completions"] as const)("an error while an answer is handled, in %s mode", mode => {
    // Guards against LOST: an error of one attempt that reaches the requests of all other connections.
    it("fails its attempt as one that may have run, is reported with the request, and ends no other", async () => {
        const target = await startRawTarget((socket, request) => {
            setTimeout(() => {
                socket.write(formatSignedHead(request, "200 OK", ["Content-Length: 0"]));
            }, 20);
        });
        closers.push(target.close);
        const { events, failures, send } = clients[mode]();
        const ids = ["r1", "r2", failingId, "r3"];
        ids.forEach(id => {
            send(id, target.address);
        });
        const listEnds = (id: string): string[] =>
            events.filter(event =>
                "request" in event && event.request === toRequestId(id)
                && (event.kind === "attemptAnswered" || event.kind === "attemptFailed")
            ).map(({ kind }) => kind);
        await waitUntil(() => ids.every(id => listEnds(id).length > 0));
        expect(ids.map(listEnds)).toEqual(
            ids.map(id => [id === failingId ? "attemptFailed" : "attemptAnswered"]),
        );
        expect(events.filter(({ kind }) => kind === "attemptWriteStarted")).toHaveLength(ids.length);
        expect(failures).toHaveLength(1);
        expect(failures[0]?.fields).toMatchObject({ request: failingId });
        expect(failures[0]?.error).toMatchObject({ message: "unexpected", stack: expect.stringContaining("at ") });
    });
});

describe("an error while headers are decoded", () => {
    // Guards against a caller that waits for an answer that nobody will write.
    it("gives its caller an answer, a log line and a count, and leaves other requests alone", async () => {
        const { headers } = platformPorts;
        const rawFleet = await startRawFleet((socket, request) => {
            const isFailing = request.path === "/raw-order/failing";
            setTimeout(() => {
                const extra = isFailing ? ["x-test-fail: 1"] : [];
                socket.write(formatSignedHead(request, "200 OK", ["Content-Length: 0", ...extra]));
            }, isFailing ? 0 : 100);
        }, {
            ports: {
                ...platformPorts,
                headers: {
                    ...headers,
                    decodeRequest: received => {
                        if (received["x-test-fail"] !== undefined) {
                            throw new Error("unexpected request");
                        }
                        return headers.decodeRequest(received);
                    },
                    decodeResponse: (status, received) => {
                        if (received["x-test-fail"] !== undefined) {
                            throw new Error("unexpected response");
                        }
                        return headers.decodeResponse(status, received);
                    },
                },
            },
        });
        closers.push(rawFleet.close);
        const { address, node } = rawFleet;
        const send = (path: string, requestHeaders = {}) => sendRequest(address, { path, headers: requestHeaders });
        const others = ["/raw-order/1", "/raw-order/2", "/raw-order/3"].map(path => send(path));
        const [failedResponse, failedRequest] = await Promise.all([
            send("/raw-order/failing"),
            send("/raw-order/never-sent", { "x-test-fail": "1" }),
        ]);
        expect(failedResponse).toMatchObject({ status: 502, isComplete: true });
        expect(failedRequest).toMatchObject({ status: 500, isComplete: true });
        expect((await Promise.all(others)).map(({ status }) => status)).toEqual([200, 200, 200]);
        const lines = node.logs.filter(line => line.includes("Unexpected failure; the process goes on."));
        expect(lines).toHaveLength(2);
        expect(lines.join()).toMatch(/"part":"forwardClient".*"stack":"Error: unexpected response/);
        const metrics = await sendRequest(node.metricsAddress, { path: "/metrics", method: "GET" });
        expect(metrics.body).toContain("marjoramvane_internal_failures_total{part=\"forwardClient\"} 1");
        expect(metrics.body).toContain("marjoramvane_internal_failures_total{part=\"frontServer\"} 1");
    });
});

/** Requests that parsers of messages or URLs may reject; each closes its connection. */
const oddRequests = [
    "GET //?name=shop.example&zone=zone-a HTTP/1.1",
    "GET http:// HTTP/1.1",
    "GET /\\ HTTP/1.1",
    "GET //:80/ HTTP/1.1",
    "GET * HTTP/1.1",
    "GET /%zz?%ff=%f HTTP/1.1",
    "GET /a\tb HTTP/1.1",
    "GET /raw-lookup/a\fb HTTP/1.1",
    "POST /exchange HTTP/1.1",
    "OPTIONS * HTTP/1.0",
    "CONNECT a:1 HTTP/1.1",
    "GET /operator/requests/%E0%A4%A HTTP/1.1",
    "not a request",
].flatMap(line =>
    [
        [],
        ["Host: ["],
        ["Host: a", "Host: b"],
        ["Content-Length: 2", "", "{"],
        ["Transfer-Encoding: chunked", "", "zz"],
        ["Upgrade: x", "Connection: upgrade"],
        ["Expect: other"],
        ["Content-Type: application/json", "Content-Length: 4", "", "null"],
    ].map(headers => [line, ...(headers.some(header => header.startsWith("Host")) ? [] : ["Host: a"]), ...headers])
);

/** Sends each request on a connection of its own and resolves when all are closed. */
async function sendOddRequests(address: string): Promise<void> {
    await Promise.all(oddRequests.map(lines =>
        new Promise<void>(resolve => {
            const colon = address.lastIndexOf(":");
            const socket = net.connect(Number(address.slice(colon + 1)), address.slice(0, colon));
            socket.on("error", () => undefined);
            socket.on("close", () => {
                resolve();
            });
            socket.on("data", () => undefined);
            socket.end(`${lines.join("\r\n")}${lines.includes("") ? "" : "\r\nConnection: close\r\n\r\n"}`);
        })
    ));
}

describe("messages that are no sound requests", () => {
    let fleet: PlatformFleet | undefined;

    afterEach(async () => {
        await fleet?.close();
        fleet = undefined;
    });

    // Guards against LOST: one malformed question for addresses ended the process with all of its requests.
    it("end no process of the forwarding mode at any of its listeners", async () => {
        fleet = await startPlatformFleet();
        const { callerAddress, directoryAddress, readinessAddress, metricsAddress, peersAddress } = fleet
            .nodes[0] as PlatformFleet["nodes"][number];
        const addresses = [callerAddress, directoryAddress, readinessAddress, metricsAddress, peersAddress];
        await Promise.all(addresses.map(sendOddRequests));
        const answers = await Promise.all([
            sendRequest(callerAddress, { path: "/lookup/1", method: "GET" }),
            sendRequest(directoryAddress, { path: "/-/resolve?name=shop.example&zone=zone-a", method: "GET" }),
            sendRequest(readinessAddress, { path: "/-/readyz", method: "GET" }),
            sendRequest(metricsAddress, { path: "/", method: "GET" }),
        ]);
        expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
        expect(fleet.nodes[0]?.logs.filter(line => line.includes("Unexpected failure"))).toEqual([]);
    });

    it("end no process of the completions mode at any of its listeners", async () => {
        const completionsFleet = await startCompletionsFleet({ count: 1, document: {} });
        closers.push(completionsFleet.stop);
        await waitUntilReady(completionsFleet);
        const listen = completionsFleet.nodes[0]?.settings.listen;
        const addresses = [listen?.callers, listen?.operators, listen?.peers].map(address => address ?? "");
        await Promise.all(addresses.map(sendOddRequests));
        await waitUntilReady(completionsFleet);
        expect(completionsFleet.logs.filter(line => line.includes("Unexpected failure"))).toEqual([]);
    });

    // Guards against a request that the HTTP client refuses to write, so that nobody answers its caller.
    it("get an answer at once when their path cannot be sent on", async () => {
        const rawFleet = await startRawFleet(() => undefined);
        closers.push(rawFleet.close);
        const completionsFleet = await startCompletionsFleet({ count: 1, document: {} });
        closers.push(completionsFleet.stop);
        const callers = completionsFleet.nodes[0]?.settings.listen.callers ?? "";
        const requests = [
            [rawFleet.address, "/raw-lookup/a\tb"],
            [rawFleet.address, "/raw-order/a\fb"],
            [callers, "/services/orders/a\tb"],
        ] as const;
        for (const [address, path] of requests) {
            const caller = openRawCaller(address);
            closers.push(caller.close);
            caller.write(formatRequest("POST", path));
            await caller.waitForText(/^HTTP\/1\.1 400 [^]*"verdict":"not_run"/);
        }
        expect(rawFleet.target.requests).toHaveLength(0);
    });
});
