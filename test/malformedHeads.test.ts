/** Heads of responses that Node's parser accepts and that cannot be relayed, in both modes. */
import { afterEach, describe, expect, it } from "vitest";
import { sendRequest, waitUntil } from "./support/platformFleet";
import { startRawTarget } from "./support/rawConnections";
import { formatSignedHead, startRawFleet } from "./support/rawFleet";
import { sendCall, startServiceFleet } from "./support/services";

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

interface Answer {
    readonly status: number;
    readonly verdict: string;
}

interface Mode {
    /** Sends an order that must not be repeated. */
    readonly order: (path: string) => Promise<Answer>;
    readonly lookUp: (path: string) => Promise<Answer>;
}

/** Status line and header with which the target answers `/faulty`. */
interface Head {
    readonly status: string;
    readonly header?: string;
    /** Header in place of the length of the body. */
    readonly length?: string;
}

const soundLength = "Content-Length: 4";

const parseVerdict = (body: string): string => /"verdict":"(\w+)"/.exec(body)?.[1] ?? "";

const modes: { readonly [Name in "forwarding" | "completions"]: (head: Head) => Promise<Mode>; } = {
    forwarding: async ({ status, header, length = soundLength }) => {
        const rawFleet = await startRawFleet((socket, request) => {
            const isFaulty = request.path.endsWith("/faulty");
            const headers = isFaulty ? [length, ...(header === undefined ? [] : [header])] : [soundLength];
            const head = formatSignedHead(request, isFaulty ? status : "200 OK", headers);
            socket.write(`${head}done`);
        });
        closers.push(rawFleet.close);
        const send = async (method: string, path: string): Promise<Answer> => {
            const answer = await sendRequest(rawFleet.address, { method, path });
            return { status: answer.status, verdict: parseVerdict(answer.body) };
        };
        return {
            order: path => send("POST", `/raw-order${path}`),
            lookUp: path => send("GET", `/raw-lookup${path}`),
        };
    },
    completions: async ({ status, header, length = soundLength }) => {
        const target = await startRawTarget((socket, request) => {
            const isFaulty = request.path.endsWith("/faulty");
            const headers = isFaulty ? [length, ...(header === undefined ? [] : [header])] : [soundLength];
            const lines = [`HTTP/1.1 ${isFaulty ? status : "200 OK"}`, ...headers, "", "done"];
            socket.write(lines.join("\r\n"));
        });
        closers.push(target.close);
        const fleet = await startServiceFleet({ services: 0, addresses: [target.address] });
        closers.push(fleet.stop);
        const send = async (route: string, path: string): Promise<Answer> => {
            const answer = await sendCall(fleet, { route, path, ...(route === "orders" ? { id: "job-1" } : {}) });
            return { status: answer.status, verdict: answer.error.verdict ?? "" };
        };
        return { order: path => send("orders", path), lookUp: path => send("lookup", path) };
    },
};

describe.each(["forwarding", "completions"] as const)("a response head that cannot be written, in %s mode", mode => {
    // Guards against a request that is closed in the books and whose caller never gets an answer.
    it.each([
        { what: "a status below 100", status: "020 OK" },
        { what: "a status of 0", status: "000 OK" },
        { what: "a status that announces another response", status: "101 Switching Protocols" },
        { what: "a space in the name of a header", status: "200 OK", header: "X More: 1" },
        { what: "a space after the name of a header", status: "200 OK", header: "X-More : 1" },
        { what: "a space before the name of a header", status: "200 OK", header: " X-More: 1" },
        { what: "a control byte in the name of a header", status: "200 OK", header: "X\u0001More: 1" },
        { what: "a header without a name", status: "200 OK", header: ": 1" },
        { what: "a space after the name of the length", status: "200 OK", length: "Content-Length : 4" },
        { what: "a control byte in the name of the length", status: "200 OK", length: "Content\u0000-Length: 4" },
        { what: "a space after the name of the coding", status: "200 OK", length: "Transfer-Encoding : chunked" },
    ])("ends its request as one that may have run, and the next one is served: $what", async head => {
        const { order, lookUp } = await modes[mode](head);
        expect(await order("/faulty")).toEqual({ status: 502, verdict: expect.stringMatching(/^(ran|may_have_run)$/) });
        // The target gets no requests until its back-off ends.
        await waitUntil(async () => (await lookUp("/sound")).status === 200, 15_000);
        expect((await lookUp("/faulty")).status).toBe(502);
        await waitUntil(async () => (await lookUp("/sound")).status === 200, 15_000);
    });
});
