/** End to end: a caller with a key receives a streamed answer of the right engine through any process. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type Engine, startEngine } from "../standins/engine";
import { computeToken } from "../standins/engineAnswers";
import { type Fleet, hashKey, probeRoute, startFleet, waitForTokens, waitUntil, waitUntilReady } from "./support/fleet";

const key = "sk-test-shop-one";

interface Choice {
    readonly text: string;
}

function buildDocument(engines: readonly Engine[]): unknown {
    return {
        accounts: { shop: { rate: 10_000_000, burst: 10_000_000 } },
        keys: { [hashKey(key)]: { account: "shop" } },
        models: { copywriter: { bytesPerToken: 4, blockTokens: 256 } },
        routes: { ...probeRoute, catalogue: { kind: "model", model: "copywriter", version: "v1" } },
        targets: Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {
            kind: "engine",
            address: engine.address,
            dataCentre: `dc-${index}`,
            model: "copywriter",
            version: "v1",
        }])),
    };
}

function parseStream(text: string): string[] {
    return text.split("\n").filter(line => line.startsWith("data: ")).map(line => line.slice(6));
}

describe("end to end", () => {
    let engines: Engine[];
    let fleet: Fleet;

    beforeEach(async () => {
        const options = { model: "copywriter", version: "v1", blockTokens: 256, decodeMs: 1 };
        engines = [await startEngine(options), await startEngine(options)];
        fleet = await startFleet({ count: 2, document: buildDocument(engines) });
        await waitUntilReady(fleet);
        await Promise.all(fleet.nodes.map(node => waitForTokens(node.settings.listen.callers, key)));
    });

    afterEach(async () => {
        await fleet.stop();
        await Promise.all(engines.map(engine => engine.stop()));
    });

    async function sendCompletion(node: number, body: object, bearer = key): Promise<Response> {
        return fetch(`http://${fleet.nodes[node]?.settings.listen.callers}/v1/completions`, {
            method: "POST",
            headers: { "content-type": "application/json", authorization: `Bearer ${bearer}` },
            body: JSON.stringify({ model: "catalogue", max_tokens: 5, ...body }),
        });
    }

    it("streams a complete answer through each process and sends the key to no engine", async () => {
        const prompt = "Write copy for a shelf talker. ".repeat(200);
        for (const node of [0, 1]) {
            const response = await sendCompletion(node, { prompt, stream: true });
            expect(response.status).toBe(200);
            const data = parseStream(await response.text());
            expect(data.at(-1)).toBe("[DONE]");
            const text = data.slice(0, -1).map(line => (JSON.parse(line) as { choices: Choice[]; }).choices[0]?.text);
            expect(text).toEqual([0, 1, 2, 3, 4].map(index => computeToken(prompt, index)));
        }
        const receivedText = JSON.stringify(engines.map(engine => engine.runs.map(run => [run.headers, run.body])));
        expect(receivedText).not.toContain(key);
    });

    it("sends a shared prompt to the engine that has it cached", async () => {
        const sharedPrompt = "catalogue ".repeat(1000);
        // A prefix counts as cached only once the engine's incarnation is known.
        await sendCompletion(0, { prompt: sharedPrompt });
        await sendCompletion(0, { prompt: sharedPrompt });
        const runCountBefore = engines.flatMap(engine => engine.runs).length;
        for (let index = 0; index < 6; index += 1) {
            const response = await sendCompletion(0, { prompt: `${sharedPrompt}${index}` });
            expect(response.status).toBe(200);
        }
        const runs = engines.flatMap(engine => engine.runs);
        expect(runs.length - runCountBefore).toBe(6);
        expect(runs.filter(run => run.cachedTokens > 0).length).toBeGreaterThanOrEqual(6);
    });

    it("refuses an unknown key before anything runs", async () => {
        const response = await sendCompletion(0, { prompt: "hello" }, "sk-unknown");
        expect(response.status).toBe(401);
        expect(await response.json()).toMatchObject({ error: { code: "key_unknown", verdict: "not_run" } });
        expect(engines.flatMap(engine => engine.runs)).toHaveLength(0);
    });

    it("lists the entries that a caller may use", async () => {
        const expected = fleet.nodes.map(node => node.settings.listen.callers).sort();
        await waitUntil(async () => {
            const response = await fetch(`http://${fleet.nodes[0]?.settings.listen.callers}/v1/entries`);
            const body = await response.json() as { entries: string[]; };
            return JSON.stringify([...body.entries].sort()) === JSON.stringify(expected);
        });
    });
});
