/** Answers whose transfer coding Node's parser does not remove, or not as their head says, in both modes and in calls. */
import { afterEach, describe, expect, it } from "vitest";
import { sendHttpCall } from "../src/adapters/httpClient";
import { sendRequest } from "./support/platformFleet";
import { lastChunk, openRawCaller, startRawTarget } from "./support/rawConnections";
import { formatRequest, formatSignedHead, startRawFleet } from "./support/rawFleet";
import { sendCall, startServiceFleet } from "./support/services";

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

interface Answer {
    readonly status: number;
    readonly body: string;
}

interface Exchange {
    readonly method?: "POST" | "HEAD";
    /** Value of `Transfer-Encoding` in the answer of the target. */
    readonly coding: string;
    readonly body: string;
}

/** Sends a request to a target that answers with this coding and body, and closes the connection. */
type SendRequest = (exchange: Exchange) => Promise<Answer>;

const modes: { readonly [Name in "forwarding" | "completions"]: SendRequest; } = {
    forwarding: async ({ method = "POST", coding, body }) => {
        const rawFleet = await startRawFleet((socket, request) => {
            socket.end(`${formatSignedHead(request, "200 OK", [`Transfer-Encoding: ${coding}`])}${body}`);
        });
        closers.push(rawFleet.close);
        return sendRequest(rawFleet.address, { method, path: "/raw-order/coded" });
    },
    completions: async ({ coding, body }) => {
        const target = await startRawTarget(socket => {
            socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n${body}`);
        });
        closers.push(target.close);
        const fleet = await startServiceFleet({ services: 0, addresses: [target.address] });
        closers.push(fleet.stop);
        const { status, text } = await sendCall(fleet, { path: "/coded", id: "job-1" });
        return { status, body: text };
    },
};

const chunkedBody = "4\r\ndone\r\n0\r\n\r\n";

/** Codings that the parser leaves in the body, in whole or in part. */
const undecodedCodings = ["gzip, chunked", "gzip", "chunked, identity", "chunked;q=1", "xchunked", "chunked,"];

/** The parser does not recognize this coding, although white space may follow a value. */
const tabbedCoding = "chunked\t";

describe.each(["forwarding", "completions"] as const)("an answer with a transfer coding, in %s mode", mode => {
    // Guards against a body that the target has not sent, since the header that names its coding is not relayed.
    it.each([...undecodedCodings, tabbedCoding])(
        "is a failed attempt when the body is still coded: %j",
        async coding => {
            const answer = await modes[mode]({ coding, body: chunkedBody });
            expect(answer.status).toBe(502);
            expect(answer.body).toContain("\"code\":\"target_failed\"");
        },
    );

    // Guards against a sound answer that is taken for a coded one.
    it.each([
        { coding: "chunked", body: chunkedBody },
        { coding: "Chunked", body: chunkedBody },
        { coding: "identity, chunked", body: chunkedBody },
        { coding: ", chunked", body: chunkedBody },
        { coding: "identity", body: "done" },
        { coding: "", body: "done" },
    ])("is relayed when the body is plain: $coding", async exchange => {
        expect(await modes[mode](exchange)).toMatchObject({ status: 200, body: "done" });
    });
});

// Guards against a sound answer without a body that is rejected for the coding that its body would have.
it("an answer to HEAD is relayed whatever its coding", async () => {
    const answer = await modes.forwarding({ method: "HEAD", coding: "gzip, chunked", body: "" });
    expect(answer).toMatchObject({ status: 200, body: "" });
});

// Guards against the last chunk after a stream that its caller gets in its coded form.
it("an event stream lacks its last chunk when it is still coded", async () => {
    const rawFleet = await startRawFleet((socket, request) => {
        const head = ["Content-Type: text/event-stream", `Transfer-Encoding: ${tabbedCoding}`];
        socket.end(`${formatSignedHead(request, "200 OK", head)}f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n`);
    });
    closers.push(rawFleet.close);
    const caller = openRawCaller(rawFleet.address);
    closers.push(caller.close);
    caller.write(formatRequest("POST", "/raw-stream/1"));
    expect(await caller.waitForEnd()).not.toBe("open");
    expect(caller.text).not.toMatch(lastChunk);
});

// Guards against a report or a page of the store that is read in its coded form.
it.each([...undecodedCodings, tabbedCoding])("a call fails when its answer is still coded: %j", async coding => {
    const server = await startRawTarget(socket => {
        socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n${chunkedBody}`);
    });
    closers.push(server.close);
    const { address } = server;
    await expect(sendHttpCall({ method: "GET", address, path: "/", timeoutMs: 2000 })).rejects.toMatchObject({
        mayHaveBeenSent: true,
    });
});
