/** A rolling change of a model version over HTTP, while callers send requests. */
import { expect, it } from "vitest";
import { computeChange } from "../src/config/change";
import { parseDocument } from "../src/config/document";
import { headKey, toChangeKey } from "../src/config/records";
import { type Engine, startEngine } from "../standins/engine";
import { hashKey, startFleet, waitUntil, waitUntilReady } from "./support/fleet";

const key = "sk-test-shop-one";

function buildDocument(
    engines: readonly Engine[],
    versions: { readonly route: string; readonly desired: string; },
): unknown {
    return {
        accounts: { shop: { rate: 10_000_000, burst: 10_000_000 } },
        keys: { [hashKey(key)]: { account: "shop" } },
        models: { copywriter: { bytesPerToken: 4 } },
        routes: { catalogue: { kind: "model", model: "copywriter", version: versions.route } },
        targets: Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {
            kind: "engine",
            address: engine.address,
            dataCentre: "dc-0",
            model: "copywriter",
            version: versions.desired,
        }])),
    };
}

// Guards against requests that fail or run on the weights of another version while engines change their version.
it("changes every engine to a new version without failing a request", async () => {
    const options = { model: "copywriter", version: "v1", decodeMs: 1 };
    const engines = [await startEngine(options), await startEngine(options), await startEngine(options)];
    const before = buildDocument(engines, { route: "v1", desired: "v1" });
    const fleet = await startFleet({ count: 2, document: before });
    await waitUntilReady(fleet);
    let currentDocument = parseDocument(before).unwrap();
    const writeChange = (version: number, input: unknown): void => {
        const document = parseDocument(input).unwrap();
        const change = computeChange(currentDocument, document);
        currentDocument = document;
        fleet.platform.store.runTransaction([], [
            { kind: "put", key: toChangeKey(version), value: JSON.stringify({ version, change }) },
            { kind: "put", key: headKey, value: JSON.stringify({ version, changeId: `test-${version}` }) },
        ], []);
    };
    const sendAndCheck = async (): Promise<void> => {
        const response = await fetch(`http://${fleet.nodes[0]?.settings.listen.callers}/v1/completions`, {
            method: "POST",
            headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
            body: JSON.stringify({ model: "catalogue", prompt: "price tag", max_tokens: 3 }),
        });
        expect([response.status, await response.text()]).toEqual([200, expect.any(String)]);
    };
    const countRuns = (version: string): number =>
        engines.flatMap(engine => engine.runs).filter(run => run.body.includes(`copywriter@${version}`)).length;

    await sendAndCheck();
    writeChange(2, buildDocument(engines, { route: "v1", desired: "v2" }));
    await waitUntil(async () => {
        await sendAndCheck();
        return engines.filter(engine => engine.orders.length > 0).length === 2;
    });
    expect(countRuns("v2")).toBe(0);
    writeChange(3, buildDocument(engines, { route: "v2", desired: "v2" }));
    await waitUntil(async () => {
        await sendAndCheck();
        return engines.every(engine => engine.orders.length === 1);
    });
    await waitUntil(async () => {
        await sendAndCheck();
        const states = await Promise.all(engines.map(async engine => {
            const response = await fetch(`http://${engine.address}/state`);
            return response.json() as Promise<{ state: string; version: string; }>;
        }));
        return states.every(({ state, version }) => state === "ready" && version === "v2");
    });
    expect(countRuns("v2")).toBeGreaterThan(0);
    expect(new Set(engines.flatMap(engine => engine.orders.map(order => order.fence))).size).toBe(1);
    await fleet.stop();
    await Promise.all(engines.map(engine => engine.stop()));
});
