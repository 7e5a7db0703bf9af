/** Responses that have no body by definition, over kept connections of a target and a caller. */
import { afterEach, describe, expect, it } from "vitest";
import { waitUntil } from "../support/platformFleet";
import { openRawCaller, type RawCaller } from "../support/rawConnections";
import {
    formatHead,
    formatRequest,
    formatSignedHead,
    type RawFleet,
    signatureHeader,
    startRawFleet,
} from "../support/rawFleet";

let rawFleet: RawFleet | undefined;
const callers: RawCaller[] = [];

afterEach(async () => {
    callers.splice(0).forEach(caller => {
        caller.close();
    });
    await rawFleet?.close();
    rawFleet = undefined;
});

/** Time for which an order runs; the response without a body arrives meanwhile. */
const orderMs = 150;

interface Bodiless {
    readonly status: string;
    readonly headers: readonly string[];
}

async function startFleet({ status, headers }: Bodiless): Promise<RawFleet> {
    rawFleet = await startRawFleet((socket, request) => {
        if (request.path === "/raw-lookup/empty") {
            socket.write(formatHead(request, status, headers));
            return;
        }
        setTimeout(() => {
            socket.write(`${formatSignedHead(request, "200 OK", ["Content-Length: 4"])}done`);
        }, request.path.startsWith("/raw-order/") ? orderMs : 0);
    });
    return rawFleet;
}

function openCaller(address: string): RawCaller {
    const caller = openRawCaller(address);
    callers.push(caller);
    return caller;
}

interface Case extends Bodiless {
    readonly what: string;
    readonly method: string;
    /** `Content-Length` with which it is relayed. */
    readonly length?: string;
}

const signed = [signatureHeader];
const noContent = { method: "GET", status: "204 No Content" };
const notModified = { method: "GET", status: "304 Not Modified" };
const headAnswer = { method: "HEAD", status: "200 OK" };
const cases: readonly Case[] = [
    { what: "a 204", ...noContent, headers: signed },
    { what: "a 204 with a length of 0", ...noContent, headers: [...signed, "Content-Length: 0"] },
    { what: "a 204 that announces a body", ...noContent, headers: [...signed, "Content-Length: 5"] },
    { what: "a 204 in chunks", ...noContent, headers: [...signed, "Transfer-Encoding: chunked"] },
    { what: "a 204 that closes its connection", ...noContent, headers: [...signed, "Connection: close"] },
    { what: "a 304", ...notModified, headers: [] },
    { what: "a 304 with a length", ...notModified, headers: ["Content-Length: 5"] },
    { what: "a 304 in chunks", ...notModified, headers: ["Transfer-Encoding: chunked"] },
    { what: "an answer to HEAD", ...headAnswer, headers: signed },
    { what: "an answer to HEAD with a length", ...headAnswer, headers: [...signed, "Content-Length: 5"], length: "5" },
    { what: "an answer to HEAD in chunks", ...headAnswer, headers: [...signed, "Transfer-Encoding: chunked"] },
    { what: "a stream's answer to HEAD", ...headAnswer, headers: [...signed, "Content-Type: text/event-stream"] },
];

describe("a response without a body", () => {
    // Guards against LOST: the end of such a response on a kept connection ended the process with all of its requests.
    it.each(cases)("is relayed, and the caller's connection and other requests go on: $what", async testCase => {
        const { method, status, length } = testCase;
        const { address, target } = await startFleet(testCase);
        const orders = [1, 2, 3].map(number => {
            const caller = openCaller(address);
            caller.write(formatRequest("POST", `/raw-order/${number}`));
            return caller;
        });
        await waitUntil(() => target.requests.length === orders.length);
        const caller = openCaller(address);
        caller.write(formatRequest(method, "/raw-lookup/empty"));
        await caller.waitForText(/\r\n\r\n/);
        const head = caller.text;
        expect(head).toMatch(new RegExp(`^HTTP/1\\.1 ${status.slice(0, 3)} `));
        expect(head).not.toMatch(/^transfer-encoding:/im);
        expect(/^content-length: (\d+)/im.exec(head)?.[1]).toBe(length);
        caller.write(formatRequest("GET", "/raw-lookup/next"));
        await caller.waitForText(/done$/);
        expect(caller.text.slice(head.length)).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
        await Promise.all(orders.map(order => order.waitForText(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\ndone$/)));
        expect(target.requests.filter(({ path }) => path === "/raw-lookup/empty")).toHaveLength(1);
    });

    it("is not relayed as a success when it lacks the signature of its target", async () => {
        const { address } = await startFleet({ status: "204 No Content", headers: [] });
        const caller = openCaller(address);
        caller.write(formatRequest("GET", "/raw-lookup/empty"));
        await caller.waitForText(/^HTTP\/1\.1 502 [^]*"verdict":"(ran|may_have_run)"/);
        caller.write(formatRequest("GET", "/raw-lookup/next"));
        await caller.waitForText(/done$/);
    });
});
