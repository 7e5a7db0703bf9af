/** Ends of streams of the completions mode whose caller sees only the end of the connection. */
import { afterEach, describe, expect, it } from "vitest";
import { startEngine } from "../standins/engine";
import { hashKey, probeRoute, startFleet, waitForTokens, waitUntilReady } from "./support/fleet";
import { openRawCaller, type RawCaller } from "./support/rawConnections";

const key = "sk-test-shop-one";
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

interface OpenStream {
    readonly caller: RawCaller;
    readonly stopProcess: () => void;
}

/** Requests a stream by HTTP/1.0, which knows no chunks, and waits for its first event. */
async function openStream({ decodeMs, timeoutMs }: { decodeMs: number; timeoutMs: number; }): Promise<OpenStream> {
    const engine = await startEngine({ model: "copywriter", version: "v1", blockTokens: 256, decodeMs });
    closers.push(engine.stop);
    const fleet = await startFleet({
        count: 1,
        document: {
            accounts: { shop: { rate: 10_000_000, burst: 10_000_000 } },
            keys: { [hashKey(key)]: { account: "shop" } },
            models: { copywriter: { bytesPerToken: 4, blockTokens: 256 } },
            routes: { ...probeRoute, catalogue: { kind: "model", model: "copywriter", version: "v1" } },
            targets: {
                engine: {
                    kind: "engine",
                    address: engine.address,
                    dataCentre: "dc-0",
                    model: "copywriter",
                    version: "v1",
                },
            },
        },
    });
    closers.push(fleet.stop);
    await waitUntilReady(fleet);
    const [node] = fleet.nodes;
    const address = node?.settings.listen.callers ?? "";
    await waitForTokens(address, key);
    const caller = openRawCaller(address);
    closers.push(caller.close);
    const body = JSON.stringify({ model: "catalogue", max_tokens: 5, prompt: "Write copy.", stream: true });
    caller.write([
        "POST /v1/completions HTTP/1.0",
        `Authorization: Bearer ${key}`,
        `X-Request-Timeout-Ms: ${timeoutMs}`,
        `Content-Length: ${body.length}`,
        "",
        body,
    ].join("\r\n"));
    await caller.waitForText(/data: /);
    return { caller, stopProcess: () => node?.node.stop() };
}

describe("a stream of a caller that speaks HTTP/1.0", () => {
    // Guards against a stream that is cut by the end of the process and looks complete.
    it("ends with a reset when the process ends", async () => {
        const { caller, stopProcess } = await openStream({ decodeMs: 200, timeoutMs: 5000 });
        stopProcess();
        expect(await caller.waitForEnd()).toBe("reset");
        expect(caller.text).not.toContain("[DONE]");
    });

    it("ends with an error event when its time limit passes", async () => {
        const { caller } = await openStream({ decodeMs: 300, timeoutMs: 700 });
        expect(await caller.waitForEnd()).toBe("orderly");
        expect(caller.text).toMatch(/event: error\r?\ndata: \{"error":\{"code":"deadline_exceeded"/);
    });

    it("ends in the orderly way when it is complete", async () => {
        const { caller } = await openStream({ decodeMs: 5, timeoutMs: 5000 });
        expect(await caller.waitForEnd()).toBe("orderly");
        expect(caller.text).toMatch(/data: \[DONE\]\n\n$/);
        expect(caller.text).not.toMatch(/^(content-length|transfer-encoding):/im);
    });
});
