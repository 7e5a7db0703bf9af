/** Streams and answers of engines that reset during the upload of a prompt, in the completions mode. */
import { Writable } from "node:stream";
import { afterEach, describe, expect, it } from "vitest";
import { createOpenRequests, type OpenRequest } from "../src/adapters/openRequests";
import { createTargetClient } from "../src/adapters/targetClient";
import type { Settings } from "../src/config/settings";
import type { Event } from "../src/events";
import { toRequestId } from "../src/ids";
import type { TargetCall } from "../src/requests";
import { waitUntil } from "./support/platformFleet";
import { startRawTarget } from "./support/rawConnections";
import { followStalledUploads, uploadBytes } from "./support/stalledUploads";

const closers: (() => void)[] = [];

afterEach(() => {
    closers.splice(0).reverse().forEach(close => {
        close();
    });
});

const id = "r1";
const path = "/v1/completions";

const settings = {
    timeouts: { connectMs: 400, idleMs: 5000 },
    limits: { answerBytes: 4 * 1024 * 1024 },
} as unknown as Settings;

interface Outcome {
    /** Kinds of the events that end the attempt, in their order. */
    readonly ends: readonly Event["kind"][];
    /** Bytes that the caller has received. */
    readonly text: string;
}

const streamHead = "Content-Type: text/event-stream";
const jsonHead = "Content-Type: application/json";

/** Sends a long prompt to an engine that writes the answer and resets at once, without reading the prompt. */
async function sendPrompt(head: string, answer: string): Promise<Outcome> {
    const uploads = followStalledUploads();
    closers.push(uploads.close);
    const engine = await startRawTarget(socket => {
        void uploads.runWhenStalled(path, () => {
            socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${answer}`);
            socket.resetAndDestroy();
        });
    }, { answersEarly: true });
    closers.push(engine.close);
    const isStream = head === streamHead;
    const ends: Event["kind"][] = [];
    let text = "";
    const response = Object.assign(
        new Writable({
            write: (chunk: Buffer, _encoding, handleWritten) => {
                text += chunk.toString();
                handleWritten();
            },
        }),
        { writeHead: () => undefined, flushHeaders: () => undefined },
    );
    const openRequests = createOpenRequests();
    const request = toRequestId(id);
    const client = createTargetClient({
        settings,
        openRequests,
        post: event => {
            if (event.kind === "attemptAnswered" && !event.buffered) {
                client.relay({ kind: "relayAnswer", request, attempt: 1 });
            }
            else if (["attemptAnswered", "attemptFailed", "attemptFinished"].includes(event.kind)) {
                ends.push(event.kind);
            }
        },
    });
    closers.push(client.close);
    const openRequest = {
        id: request,
        headers: {},
        body: Buffer.alloc(0),
        completion: { body: { prompt: "x".repeat(uploadBytes) }, includeUsage: false },
        routeName: "model",
        response,
        isStream,
    };
    openRequests.add(openRequest as unknown as OpenRequest);
    const call = {
        address: engine.address,
        method: "POST",
        path,
        endpoint: "completions",
        stream: isStream,
        needsNewConnection: true,
        timeoutMs: 5000,
        engine: { blocks: [], maxTokens: 8, model: "m@1" },
    };
    client.send({ kind: "sendRequest", request, attempt: 1, call: call as unknown as TargetCall });
    await waitUntil(() => ends.length > 0);
    return { ends, text };
}

const formatAnswer = (finishReason: string | null): string =>
    JSON.stringify({ id: `cmpl-${id}`, choices: [{ text: "a", finish_reason: finishReason }] });

const formatEvent = (data: string): string => `data: ${data}\n\n`;

describe("an engine that resets its connection while a prompt is being sent", () => {
    // Guards against a part of a stream that ends like a complete one.
    it.each([
        { what: "its first event", answer: formatEvent(formatAnswer(null)) },
        { what: "the event that names the reason of the end", answer: formatEvent(formatAnswer("stop")) },
    ])("fails a stream after $what", async ({ answer }) => {
        const { ends, text } = await sendPrompt(streamHead, answer);
        expect(ends).toEqual(["attemptFailed"]);
        expect(text).not.toContain("[DONE]");
    });

    // Guards against a part of an answer that is relayed as the whole.
    it("fails an answer that lacks its end", async () => {
        const { ends } = await sendPrompt(jsonHead, formatAnswer("stop").slice(0, -1));
        expect(ends).toEqual(["attemptFailed"]);
    });
});
