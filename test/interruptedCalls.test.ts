/** Calls to engines, peers and the store whose answers end early or are malformed. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createProcessClock } from "../src/adapters/clock";
import { type HttpAnswer, HttpCallError, sendHttpCall } from "../src/adapters/httpClient";
import { createTargetReader } from "../src/adapters/targetReader";
import { toMillis, toTargetId } from "../src/ids";
import type { OrderOutcome } from "../src/targets";
import { waitUntil } from "./support/platformFleet";
import { startRawTarget } from "./support/rawConnections";
import { followStalledUploads, uploadBytes } from "./support/stalledUploads";

const closers: (() => void)[] = [];

afterEach(() => {
    closers.splice(0).forEach(close => {
        close();
    });
});

interface Call {
    readonly head: string;
    /** Writes the body of the answer and ends it. */
    readonly answer: (socket: Socket) => void;
    readonly body?: string;
}

/** Calls a server that answers with these bytes; it does not read a long body. */
async function sendCall({ head, answer, body = "{}" }: Call): Promise<HttpAnswer> {
    const uploads = followStalledUploads();
    closers.push(uploads.close);
    const server = await startRawTarget((socket, { path }) => {
        const handleRequest = (): void => {
            socket.write(head);
            answer(socket);
        };
        if (body.length < uploadBytes) {
            handleRequest();
            return;
        }
        void uploads.runWhenStalled(path, handleRequest);
    }, { answersEarly: true });
    closers.push(server.close);
    return sendHttpCall({ method: "POST", address: server.address, path: "/call", body, timeoutMs: 5000 });
}

/** Bodies of calls, by the way in which the server reads them. */
const bodies = { "that is read": "{}", "that is not read": "x".repeat(uploadBytes) };

/** An answer whose connection marks its end. */
const unframedHead = "HTTP/1.1 200 OK\r\n\r\n";

describe.each(Object.entries(bodies))("the answer without framing to a call %s", (_name, body) => {
    // Guards against a part of a report, an order's outcome or a page of the store that is taken for the whole.
    it("is an error of the call when its connection was reset with its last bytes", async () => {
        const answered = sendCall({
            head: unframedHead,
            body,
            answer: socket => {
                socket.write("{\"a\":1}");
                socket.resetAndDestroy();
            },
        });
        await expect(answered).rejects.toBeInstanceOf(HttpCallError);
        await expect(answered).rejects.toMatchObject({ mayHaveBeenSent: true });
    });

    // Guards against a sound answer that is taken for a broken one.
    it.each([
        { how: "ends the connection", end: (socket: Socket) => socket.end() },
        {
            how: "ends and closes the connection",
            end: (socket: Socket) => socket.end(() => socket.resetAndDestroy()),
        },
    ])("is read whole when the server $how", async ({ end }) => {
        const answer = await sendCall({
            head: unframedHead,
            body,
            answer: socket => {
                socket.write("{\"a\":1}");
                end(socket);
            },
        });
        expect(answer).toMatchObject({ status: 200, text: "{\"a\":1}" });
    });
});

/** Status lines of servers in trouble that Node's parser accepts. */
const invalidStatuses = ["000 OK", "099 OK", "101 Switching Protocols"];

const answerDone = (socket: Socket): void => {
    socket.write("{}");
};

describe("the answer to a call with an invalid status", () => {
    // Guards against an answer of a server in trouble that is read like one of a sound server.
    it.each(invalidStatuses)("is an error of the call: %s", async status => {
        const head = `HTTP/1.1 ${status}\r\nContent-Length: 2\r\n\r\n`;
        await expect(sendCall({ head, answer: answerDone })).rejects.toMatchObject({ mayHaveBeenSent: true });
    });

    // Guards against an order to load weights that counts as accepted although no sound engine has answered it.
    it.each(invalidStatuses)("leaves the outcome of an order unknown: %s", async status => {
        const server = await startRawTarget(socket => {
            socket.write(`HTTP/1.1 ${status}\r\nContent-Length: 2\r\n\r\n{}`);
        });
        closers.push(server.close);
        const outcomes: OrderOutcome[] = [];
        const reader = createTargetReader({
            clock: createProcessClock(),
            post: event => {
                if (event.kind === "orderAnswered") {
                    outcomes.push(event.outcome);
                }
            },
        });
        closers.push(reader.close);
        reader.sendOrder({
            kind: "sendOrder",
            target: toTargetId("engine-1"),
            address: server.address,
            order: { order: "order-1" } as never,
            timeoutMs: 2000,
            expiresAt: toMillis(Number.MAX_SAFE_INTEGER),
        });
        await waitUntil(() => outcomes.length > 0);
        expect(outcomes).toEqual(["unknown"]);
    });
});
