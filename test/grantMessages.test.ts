/** Grants between real processes: guards against grant messages that the peer protocol rejects or alters. */
import { afterEach, expect, it } from "vitest";
import { type Engine, startEngine } from "../standins/engine";
import { type Fleet, hashKey, startFleet, waitUntil, waitUntilReady } from "./support/fleet";

const key = "sk-test-shop-one";
let engine: Engine;
let fleet: Fleet;

afterEach(async () => {
    await fleet.stop();
    await engine.stop();
});

it("serves requests on each process from the bucket of a single owner when there are no floors", async () => {
    engine = await startEngine({ model: "copywriter", version: "v1", blockTokens: 256, decodeMs: 1 });
    fleet = await startFleet({
        count: 2,
        overrides: { rates: { floorFraction: 0, grantTtlMs: 300 } },
        document: {
            accounts: { shop: { rate: 100_000, burst: 100_000 } },
            keys: { [hashKey(key)]: { account: "shop" } },
            models: { copywriter: { blockTokens: 256 } },
            routes: { catalogue: { kind: "model", model: "copywriter", version: "v1" } },
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
    await waitUntilReady(fleet);
    for (const { settings } of fleet.nodes) {
        await waitUntil(async () => {
            const response = await fetch(`http://${settings.listen.callers}/v1/completions`, {
                method: "POST",
                headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
                body: JSON.stringify({ model: "catalogue", prompt: "Write copy.", max_tokens: 5 }),
            });
            await response.text();
            return response.status === 200;
        });
    }
    expect(fleet.platform.store.listRange("rate/shop", undefined)).toHaveLength(1);
});
