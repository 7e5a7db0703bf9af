/** Answers whose target ends the connection while it has not read the request, as callers of both modes see them. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { decodeChunks, lastChunk, openRawCaller, type RawCaller, startRawTarget } from "./support/rawConnections";
import { formatRequest, formatSignedHead, startRawFleet } from "./support/rawFleet";
import { shopKey, startServiceFleet } from "./support/services";
import { followStalledUploads, uploadBytes } from "./support/stalledUploads";

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

/** Writes the answer of the target after the given status and headers, and ends it. */
type Answer = (socket: Socket) => void;

interface Exchange {
    readonly path: string;
    readonly status?: string;
    readonly headers?: readonly string[];
    /** HTTP version of the caller in the forwarding mode. */
    readonly version?: string;
    /** Writes the body. */
    readonly answer: Answer;
}

const body = "x".repeat(uploadBytes);

/** Sends a request with a long body to a target that answers it unread, and returns the connection of the caller. */
const modes: { readonly [Name in "forwarding" | "completions"]: (exchange: Exchange) => Promise<RawCaller>; } = {
    forwarding: async ({ path, status = "200 OK", headers = [], version = "1.1", answer }) => {
        const uploads = followStalledUploads();
        closers.push(uploads.close);
        const rawFleet = await startRawFleet((socket, request) => {
            void uploads.runWhenStalled(request.path, () => {
                socket.write(formatSignedHead(request, status, headers));
                answer(socket);
            });
        }, { answersEarly: true, maxBodyBytes: uploadBytes });
        closers.push(rawFleet.close);
        const caller = openRawCaller(rawFleet.address);
        closers.push(caller.close);
        caller.write(formatRequest("POST", path, { version, body }));
        return caller;
    },
    completions: async ({ path, status = "200 OK", headers = [], answer }) => {
        const uploads = followStalledUploads();
        closers.push(uploads.close);
        const target = await startRawTarget((socket, request) => {
            void uploads.runWhenStalled(request.path, () => {
                socket.write([`HTTP/1.1 ${status}`, ...headers, "", ""].join("\r\n"));
                answer(socket);
            });
        }, { answersEarly: true });
        closers.push(target.close);
        const fleet = await startServiceFleet({ services: 0, addresses: [target.address] });
        closers.push(fleet.stop);
        const caller = openRawCaller(fleet.fleet.nodes[0]?.settings.listen.callers ?? "");
        closers.push(caller.close);
        caller.write([
            `POST /services/orders${path} HTTP/1.1`,
            "Host: h",
            `Authorization: Bearer ${shopKey}`,
            "Idempotency-Key: job-1",
            `Content-Length: ${body.length}`,
            "",
            body,
        ].join("\r\n"));
        return caller;
    },
};

/** Ends the connection in the orderly way, and resets it once its end has been sent. */
const endAndReset = (socket: Socket): void => {
    socket.end(() => {
        socket.resetAndDestroy();
    });
};

describe.each(["forwarding", "completions"] as const)("an answer to a request that is not read, in %s mode", mode => {
    // Guards against a part of an answer that looks complete: the parser takes the reset for its end, and a connection
    // that is still being written to reported no reset.
    it.each([
        {
            when: "with its only part",
            status: "200 OK",
            answer: (socket: Socket) => {
                socket.write("a part");
                socket.resetAndDestroy();
            },
        },
        {
            when: "with its last part",
            status: "200 OK",
            answer: (socket: Socket) => {
                socket.write("a part");
                setTimeout(() => {
                    socket.write(" and more");
                    socket.resetAndDestroy();
                }, 50);
            },
        },
        {
            when: "after its last part",
            status: "200 OK",
            answer: (socket: Socket) => {
                socket.write("a part");
                setTimeout(() => socket.resetAndDestroy(), 50);
            },
        },
        {
            when: "with a part of an error",
            status: "500 Internal Server Error",
            answer: (socket: Socket) => {
                socket.write("a part");
                socket.resetAndDestroy();
            },
        },
    ])("is a failed attempt when the connection was reset $when", async ({ status, answer }) => {
        const caller = await modes[mode]({ path: "/raw-order/reset", status, answer });
        await caller.waitForText(/"verdict":"(ran|may_have_run)"/);
        expect(caller.text).toMatch(/^HTTP\/1\.1 502 /);
        expect(caller.text).not.toContain("a part");
    });

    // Guards against a sound answer that is taken for a broken one, since its target did not read the request.
    it.each([
        { how: "ends its connection", answer: (socket: Socket) => socket.end() },
        { how: "ends and closes its connection", answer: endAndReset },
    ])("is relayed whole when its target $how", async ({ answer }) => {
        const caller = await modes[mode]({
            path: "/raw-order/sound",
            answer: socket => {
                socket.write("the whole answer");
                answer(socket);
            },
        });
        expect(await caller.waitForEnd()).toBe("orderly");
        expect(caller.text).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nthe whole answer$/);
    });

    // Guards against an answer that is dropped although all of its bytes have arrived, and against the end of the process:
    // the error of the upload came when nothing listened to the connection any more.
    it("is relayed whole when it has a length and its connection is reset after it", async () => {
        const uncaught: unknown[] = [];
        const handleUncaught = (error: unknown): void => {
            uncaught.push(error);
        };
        process.on("uncaughtException", handleUncaught);
        closers.push(() => {
            process.off("uncaughtException", handleUncaught);
        });
        const caller = await modes[mode]({
            path: "/raw-order/framed",
            headers: ["Content-Length: 16"],
            answer: socket => {
                socket.write("the whole answer");
                socket.resetAndDestroy();
            },
        });
        await caller.waitForText(/the whole answer$/);
        expect(caller.text).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
        expect(uncaught).toEqual([]);
    });
});

describe("an event stream that answers a request that is not read", () => {
    const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    const headers = ["Content-Type: text/event-stream"];

    /** Opens a stream whose target calls `answer` after it has written its first events. */
    const openStream = (answer: Answer, version = "1.1"): Promise<RawCaller> =>
        modes.forwarding({
            path: "/raw-stream/1",
            headers,
            version,
            answer: socket => {
                socket.write(events);
                answer(socket);
            },
        });

    const readBody = ({ text }: RawCaller): string => text.slice(text.indexOf("\r\n\r\n") + 4);

    /** Opens a stream whose connection is reset together with its last event, after the caller got those before it. */
    async function openResetStream(version?: string): Promise<RawCaller> {
        const sockets: Socket[] = [];
        const caller = await openStream(socket => sockets.push(socket), version);
        await caller.waitForText(/data: two/);
        sockets[0]?.write("id: 3\ndata: three\n\n");
        sockets[0]?.resetAndDestroy();
        return caller;
    }

    // Guards against the last chunk after a stream that was reset.
    it("lacks its last chunk when its connection was reset with its last event", async () => {
        const caller = await openResetStream();
        expect(await caller.waitForEnd()).not.toBe("open");
        expect(caller.text).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
        expect(caller.text).not.toMatch(lastChunk);
    });

    // Guards against a stream that was reset and that a caller without chunks takes for a complete one.
    it("is reset for a caller of HTTP/1.0 when its connection was reset with its last event", async () => {
        const caller = await openResetStream("1.0");
        expect(await caller.waitForEnd()).toBe("reset");
        expect(caller.text).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
    });

    // Guards against a stream that looks complete although the connection was reset before any event was relayed.
    it("is answered with a failure when its connection was reset with its first events", async () => {
        const caller = await openStream(socket => socket.resetAndDestroy());
        await caller.waitForText(/"verdict":"ran"/);
        expect(caller.text).toMatch(/^HTTP\/1\.1 502 /);
    });

    // Guards against a sound stream that is taken for a broken one, since its target did not read the request.
    it.each([
        { how: "ends its connection", answer: (socket: Socket) => socket.end() },
        { how: "ends and closes its connection", answer: endAndReset },
    ])("arrives whole when its target $how", async ({ answer }) => {
        const caller = await openStream(answer);
        await caller.waitForText(lastChunk);
        expect(decodeChunks(readBody(caller))).toBe(events);
    });
});
