/** Cache salts of the completions mode: account, model and version are always part of them. */
import { describe, expect, it } from "vitest";
import type { RequestId } from "../src/ids";
import { type ArrivalOptions, buildOpenDocument, postArrival } from "./support/arrivals";
import { hashKey } from "./support/fleet";
import { addSimulatedEngine } from "./support/simulatedEngine";
import { createSimulation, type SimulatedNode, startSimulatedNode } from "./support/virtualFleet";

async function startSaltFleet() {
    const simulation = createSimulation();
    const salts = new Map<RequestId, string | undefined>();
    const engines = ["v1", "v2"].map((version, index) => {
        const engine = addSimulatedEngine(simulation, { address: `10.1.0.${index + 1}:80`, version });
        simulation.addEngine({
            ...engine,
            handleRequest: (effect, post) => {
                salts.set(effect.request, effect.call.engine?.cacheSalt);
                engine.handleRequest(effect, post);
            },
        });
        return engine;
    });
    const document = {
        ...buildOpenDocument(engines),
        routes: {
            catalogue: { kind: "model", model: "copywriter", version: "v1" },
            next: { kind: "model", model: "copywriter", version: "v2" },
            open: { kind: "model", model: "copywriter", version: "v1", open: true },
        },
        accounts: { shop: { rate: 1e9, burst: 1e9 }, press: { rate: 1e9, burst: 1e9 } },
        keys: { [hashKey("shop-key")]: { account: "shop" }, [hashKey("press-key")]: { account: "press" } },
    };
    simulation.writeConfiguration(1, document);
    const overrides = { rates: { floorFraction: 1, floorSlots: 2 } };
    const nodes = [
        await startSimulatedNode(simulation, { vm: "entry-1", overrides }),
        await startSimulatedNode(simulation, { vm: "entry-2", seed: 2, overrides }),
    ];
    simulation.runFor(5000);
    const getSalt = (node: SimulatedNode, options: ArrivalOptions): string | undefined => {
        const request = postArrival(simulation, node, options);
        simulation.runFor(1000);
        return salts.get(request);
    };
    return { nodes, getSalt };
}

describe("the cache salt of the completions mode", () => {
    // Guards against accounts that share cached prompts, now or under an earlier configuration, and against processes
    // that share none.
    it("differs by account and version and is the same at all processes", async () => {
        const { nodes: [first, second], getSalt } = await startSaltFleet();
        if (!first || !second) {
            throw new Error("The fleet has no two processes.");
        }
        const [shopKey, pressKey] = ["shop-key", "press-key"].map(hashKey) as [string, string];
        const salts = [
            getSalt(first, { keyHash: shopKey }),
            getSalt(first, { keyHash: pressKey }),
            getSalt(first, { keyHash: shopKey, routeName: "next" }),
            getSalt(first, { routeName: "open" }),
        ];
        expect(salts).not.toContain(undefined);
        expect(new Set(salts).size).toBe(4);
        expect(getSalt(second, { keyHash: shopKey })).toBe(salts[0]);
    });

    // Guards against a complaint about one request whose cache scope cannot be told from the logs.
    it("can be told from the account and the model in the line of the request", async () => {
        const { nodes: [node], getSalt } = await startSaltFleet();
        if (!node) {
            throw new Error("The fleet has no process.");
        }
        getSalt(node, { keyHash: hashKey("shop-key"), routeName: "next" });
        const line = node.logs.find(({ message }) => message === "Request routed.");
        expect(line?.fields).toMatchObject({ account: "shop", model: "copywriter@v2" });
    });
});
