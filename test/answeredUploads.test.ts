/** Uploads that a target answers and does not read, in both modes. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { waitUntil } from "./support/platformFleet";
import { openRawCaller, type RawRequest, startRawTarget } from "./support/rawConnections";
import { formatRequest, formatSignedHead, startRawFleet } from "./support/rawFleet";
import { shopKey, startServiceFleet } from "./support/services";
import { followStalledUploads, type StalledUploads, uploadBytes } from "./support/stalledUploads";

/** One upload fits into the bound of the smallest VM, 11.6 MB, and two do not. */
const body = "x".repeat(uploadBytes);
/** Time limit of requests that are to stay open during a test. */
const longMs = 20_000;

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

interface UploadFleet {
    readonly uploads: StalledUploads;
    /** Connections of the target, by the path of their last request. */
    readonly sockets: ReadonlyMap<string, Socket>;
    /** Sends an upload and waits until its caller has the whole answer. */
    upload(path: string, timeLimitMs: number): Promise<void>;
}

/** Answers each upload once it fills the buffers of its connection. */
function createAnswer(
    uploads: StalledUploads,
    sockets: Map<string, Socket>,
    formatHead: (request: RawRequest) => string,
) {
    return (socket: Socket, request: RawRequest): void => {
        sockets.set(request.path, socket);
        void uploads.runWhenStalled(request.path, () => socket.write(`${formatHead(request)}ok`));
    };
}

async function sendUpload(address: string, head: string): Promise<void> {
    const caller = openRawCaller(address);
    closers.push(caller.close);
    caller.write(`${head}${body}`);
    await caller.waitForText(/^HTTP\/1\.1 200 [^]*\r\n\r\n[^]*ok/);
}

const modes: { readonly [Name in "forwarding" | "completions"]: () => Promise<UploadFleet>; } = {
    forwarding: async () => {
        const uploads = followStalledUploads();
        closers.push(uploads.close);
        const sockets = new Map<string, Socket>();
        const formatHead = (request: RawRequest) => formatSignedHead(request, "200 OK", ["Content-Length: 2"]);
        const rawFleet = await startRawFleet(createAnswer(uploads, sockets, formatHead), {
            answersEarly: true,
            maxBodyBytes: uploadBytes,
            timeoutMs: longMs,
        });
        closers.push(rawFleet.close);
        return {
            uploads,
            sockets,
            upload: (path, deadlineMs) =>
                sendUpload(
                    rawFleet.address,
                    formatRequest("POST", `/raw-order${path}`, { deadlineMs, body }).slice(0, -body.length),
                ),
        };
    },
    completions: async () => {
        const uploads = followStalledUploads();
        closers.push(uploads.close);
        const sockets = new Map<string, Socket>();
        const target = await startRawTarget(
            createAnswer(uploads, sockets, () => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"),
            { answersEarly: true },
        );
        closers.push(target.close);
        const fleet = await startServiceFleet({ services: 0, addresses: [target.address] });
        closers.push(fleet.stop);
        return {
            uploads,
            sockets,
            upload: (path, timeLimitMs) =>
                sendUpload(
                    fleet.fleet.nodes[0]?.settings.listen.callers ?? "",
                    [
                        `POST /services/lookup${path} HTTP/1.1`,
                        "Host: h",
                        `Authorization: Bearer ${shopKey}`,
                        `X-Request-Timeout-Ms: ${timeLimitMs}`,
                        `Content-Length: ${body.length}`,
                        "",
                        "",
                    ].join("\r\n"),
                ),
        };
    },
};

describe.each(["forwarding", "completions"] as const)(
    "an answered upload that its target does not read, in %s mode",
    mode => {
        // Guards against LOST: bodies of answered requests filled the memory of the process until it was killed.
        it("is given up, the oldest first, when all of them take too much memory", async () => {
            const { uploads, upload } = await modes[mode]();
            await upload("/first", longMs);
            expect(uploads.listStalled()).toHaveLength(1);
            await upload("/second", longMs);
            await waitUntil(() => uploads.listStalled().length === 1);
            expect(uploads.listStalled()[0]).toContain("/second");
        });

        // Guards against connections that stay open, with their bodies, for as long as the target likes.
        it("is given up at the time limit of its request", async () => {
            const { uploads, upload } = await modes[mode]();
            await upload("/order", 1500);
            expect(uploads.listStalled()).toHaveLength(1);
            await waitUntil(() => uploads.listStalled().length === 0);
        });

        // Guards against a sound target that loses its connections since it reads an upload only after its answer.
        it("keeps its connection for the next request when the target reads on in time", async () => {
            const { uploads, upload, sockets } = await modes[mode]();
            await upload("/first", longMs);
            const [socket] = sockets.values();
            socket?.resume();
            await waitUntil(() => (socket?.bytesRead ?? 0) > body.length && uploads.listStalled().length === 0);
            expect(socket?.destroyed).toBe(false);
        });
    },
);
