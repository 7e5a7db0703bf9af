/** Ends of streams as callers see them: their bytes, and the way in which the connection ends. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { decodeChunks, lastChunk, openRawCaller, type RawCaller, type RawRequest } from "../support/rawConnections";
import { formatRequest, formatSignedHead, type RawFleet, startRawFleet } from "../support/rawFleet";

let rawFleet: RawFleet | undefined;
const callers: RawCaller[] = [];

afterEach(async () => {
    callers.splice(0).forEach(caller => {
        caller.close();
    });
    await rawFleet?.close();
    rawFleet = undefined;
});

/** How the target frames its stream. */
type Framing = "chunks" | "connection";

const framingHeaders: { readonly [Name in Framing]: string; } = {
    chunks: "Transfer-Encoding: chunked",
    connection: "Connection: close",
};

const framedBytes: { readonly [Name in Framing]: (text: string) => string; } = {
    chunks: text => `${text.length.toString(16)}\r\n${text}\r\n`,
    connection: text => text,
};

/** Writes the stream of one request. */
interface StreamWriter {
    write(text: string, onWritten?: () => void): void;
    /** Ends the stream as a sound target does. */
    finish(): void;
    readonly socket: Socket;
}

function createStreamWriter(socket: Socket, framing: Framing): StreamWriter {
    const write = (text: string, onWritten?: () => void): void => {
        socket.write(framedBytes[framing](text), onWritten);
    };
    return {
        socket,
        write,
        finish: () => {
            if (framing === "chunks") {
                socket.write("0\r\n\r\n");
            }
            else {
                socket.end();
            }
        },
    };
}

const eventCount = 8;
/** Events that the target sends before its stream breaks off. */
const eventsBeforeBreak = 4;
const eventMs = 15;

const formatEvent = (id: number): string => `id: ${id}\ndata: talker ${id}\n\n`;

const formatEvents = (count: number): string =>
    Array.from({ length: count }, (_, index) => formatEvent(index + 1)).join("");

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Sends the events of a stream, and calls `breakOff` in place of the fifth one. */
async function sendStream(writer: StreamWriter, breakOff?: (writer: StreamWriter) => void): Promise<void> {
    for (let id = 1; id <= eventCount; id += 1) {
        if (breakOff && id > eventsBeforeBreak) {
            breakOff(writer);
            return;
        }
        writer.write(formatEvent(id));
        await wait(eventMs);
    }
    writer.finish();
}

interface StreamOptions {
    readonly framing: Framing;
    /** HTTP version of the caller. */
    readonly version: string;
    readonly path?: string;
    readonly deadlineMs?: number;
    readonly breakOff?: (writer: StreamWriter) => void;
    /** Answers the second attempt of a stream that is resumed. */
    readonly answerAgain?: (socket: Socket, request: RawRequest) => void;
}

/** Requests a stream, and returns the process and the connection of the caller. */
async function requestStream(
    options: StreamOptions,
): Promise<{ readonly caller: RawCaller; readonly fleet: RawFleet; }> {
    const { framing, version, path = "/raw-stream/1", deadlineMs = 3000, breakOff, answerAgain } = options;
    let attempts = 0;
    const fleet = await startRawFleet((socket, request) => {
        attempts += 1;
        if (attempts > 1 && answerAgain) {
            answerAgain(socket, request);
            return;
        }
        const head = ["Content-Type: text/event-stream", framingHeaders[framing]];
        socket.write(formatSignedHead(request, "200 OK", head));
        void sendStream(createStreamWriter(socket, framing), breakOff);
    });
    rawFleet = fleet;
    const caller = openRawCaller(fleet.address);
    callers.push(caller);
    caller.write(formatRequest("POST", path, { version, deadlineMs }));
    return { caller, fleet };
}

const readBody = ({ text }: RawCaller): string => text.slice(text.indexOf("\r\n\r\n") + 4);

/** Streams to callers of HTTP/1.0, which see only the end of the connection. */
const unframed = [
    { what: "its target does, too", framing: "connection", version: "1.0" },
    { what: "its target sends it in chunks", framing: "chunks", version: "1.0" },
] as const;

/** Streams to callers of HTTP/1.1, whose end is their last chunk. */
const framed = [
    { what: "its target has no framing", framing: "connection", version: "1.1" },
    { what: "its target sends it in chunks, too", framing: "chunks", version: "1.1" },
] as const;

/** The target sends nothing more and keeps its connection. */
const stopSending = (): void => undefined;

/** Every way in which a stream that has begun ends early. */
const breaks: readonly (Omit<StreamOptions, "framing" | "version"> & {
    readonly why: string;
    /** Number of events that arrive. */
    readonly events?: number;
    /** Ends the stream from the side of the process. */
    readonly endProcess?: (fleet: RawFleet) => void;
})[] = [
    {
        why: "the target ends inside an event",
        breakOff: ({ write, socket }) => {
            write("id: 5\nda");
            socket.end();
        },
    },
    { why: "the target resets its connection", breakOff: ({ socket }) => socket.resetAndDestroy() },
    {
        // The bytes of the stream and the reset arrive together, which Node reports as the end of the connection.
        why: "the target resets its connection at once after its last event",
        breakOff: ({ write, socket }) => {
            write(formatEvent(eventsBeforeBreak + 1), () => socket.resetAndDestroy());
        },
        events: eventsBeforeBreak + 1,
    },
    {
        why: "an event is too long",
        breakOff: ({ write }) => {
            write(`id: 5\ndata: ${"x".repeat(2 * 1024 * 1024)}`);
        },
    },
    {
        why: "an event has a wrong id",
        breakOff: ({ write }) => {
            write(formatEvent(7));
        },
    },
    {
        why: "the time limit passes",
        deadlineMs: 400,
        breakOff: stopSending,
    },
    {
        why: "the target fails again when the stream is resumed",
        path: "/raw-resumable/1",
        breakOff: ({ socket }) => socket.resetAndDestroy(),
        answerAgain: (socket, request) => {
            socket.write(formatSignedHead(request, "500 Internal Server Error", ["Content-Length: 0"]));
        },
    },
    {
        why: "the grace period of a planned stop ends",
        breakOff: stopSending,
        endProcess: ({ node }) => {
            node.node.drain();
        },
    },
    {
        why: "the process ends",
        breakOff: stopSending,
        endProcess: ({ node }) => {
            node.node.stop();
        },
    },
];

describe.each(unframed)("a stream of which only the connection shows the end when $what", ({ framing, version }) => {
    // Guards against ORDER and MIXED: a stream that broke off was ended like one that is complete.
    it.each(breaks)("ends with a reset after the events that arrived when $why", async testCase => {
        const { endProcess, events = eventsBeforeBreak, ...options } = testCase;
        const { caller, fleet } = await requestStream({ framing, version, ...options });
        await caller.waitForText(/talker 4\n\n/);
        endProcess?.(fleet);
        expect(await caller.waitForEnd()).toBe("reset");
        expect(caller.text).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
        expect(caller.text).not.toMatch(/^(content-length|transfer-encoding):/im);
        expect(readBody(caller)).toBe(formatEvents(events));
    });

    // Guards against a sound stream that its caller takes for a broken one.
    it("arrives whole and ends in the orderly way when the target finishes it", async () => {
        const { caller } = await requestStream({ framing, version });
        expect(await caller.waitForEnd()).toBe("orderly");
        expect(readBody(caller)).toBe(formatEvents(eventCount));
    });

    // Guards against events that were written and that the reset discards although the caller keeps up.
    it("keeps large events that were written just before it broke off", async () => {
        const data = "x".repeat(200_000);
        const { caller } = await requestStream({
            framing,
            version,
            breakOff: ({ write, socket }) => {
                write(`id: 5\ndata: ${data}\n\nid: 6\ndata: ${data}\n\nid: 7\nda`);
                socket.end();
            },
        });
        expect(await caller.waitForEnd()).toBe("reset");
        expect(readBody(caller)).toBe(
            `${formatEvents(eventsBeforeBreak)}id: 5\ndata: ${data}\n\nid: 6\ndata: ${data}\n\n`,
        );
    });
});

describe("a stream without framing that ends before its first event", () => {
    const head = ["Content-Type: text/event-stream", framingHeaders.connection];

    /** Starts a process whose target ends the first stream after its head, and sends the next one whole. */
    async function startFleet(): Promise<RawFleet> {
        let attempts = 0;
        rawFleet = await startRawFleet((socket, request) => {
            attempts += 1;
            socket.write(formatSignedHead(request, "200 OK", head));
            if (attempts === 1) {
                socket.end();
                return;
            }
            void sendStream(createStreamWriter(socket, "connection"));
        });
        return rawFleet;
    }

    // Guards against an empty stream that looks complete, as an engine leaves it that crashes under a prompt.
    it("is answered with a failure and its verdict", async () => {
        const { address } = await startFleet();
        const caller = openRawCaller(address);
        callers.push(caller);
        caller.write(formatRequest("POST", "/raw-stream/1"));
        await caller.waitForText(/"verdict":"ran"/);
        expect(caller.text).toMatch(/^HTTP\/1\.1 502 /);
        expect(caller.text).not.toMatch(/text\/event-stream/);
    });

    // Guards against a resumed stream that looks complete after the events of the engine before.
    it("lacks its last chunk when it was resumed and no engine goes on with it", async () => {
        const { caller } = await requestStream({
            framing: "connection",
            version: "1.1",
            path: "/raw-resumable/1",
            breakOff: ({ socket }) => socket.resetAndDestroy(),
            answerAgain: (socket, request) => {
                socket.end(formatSignedHead(request, "200 OK", head));
            },
        });
        expect(await caller.waitForEnd()).not.toBe("open");
        expect(caller.text).not.toMatch(lastChunk);
        expect(decodeChunks(readBody(caller))).toBe(formatEvents(eventsBeforeBreak));
    });

    it("is sent again when it may be", async () => {
        const { address } = await startFleet();
        const caller = openRawCaller(address);
        callers.push(caller);
        caller.write(formatRequest("POST", "/raw-resumable/1"));
        await caller.waitForText(lastChunk);
        expect(decodeChunks(readBody(caller))).toBe(formatEvents(eventCount));
    });
});

describe.each(framed)("a stream in chunks when $what", ({ framing, version }) => {
    // Guards against a last chunk after a stream that broke off.
    // The system of the process closes its connections when it has ended; nothing has to be done for them before.
    const breaksBeforeExit = breaks.filter(({ why }) => why !== "the process ends");

    it.each(breaksBeforeExit)("lacks its last chunk when $why", async testCase => {
        const { endProcess, events = eventsBeforeBreak, ...options } = testCase;
        const { caller, fleet } = await requestStream({ framing, version, ...options });
        await caller.waitForText(/talker 4\n\n/);
        endProcess?.(fleet);
        expect(await caller.waitForEnd()).not.toBe("open");
        expect(caller.text).toMatch(/^transfer-encoding: chunked\r$/im);
        expect(caller.text).not.toMatch(lastChunk);
        expect(decodeChunks(readBody(caller))).toBe(formatEvents(events));
    });

    it("has its last chunk when it is complete, and the connection stays in use", async () => {
        const { caller } = await requestStream({ framing, version });
        await caller.waitForText(lastChunk);
        expect(decodeChunks(readBody(caller))).toBe(formatEvents(eventCount));
        expect(caller.end).toBe("open");
    });
});
