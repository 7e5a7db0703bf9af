/** Fair queueing between client accounts, and load shedding. */
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createFairQueue, runFairQueue } from "../src/policy/fairQueue";
import { buildOpenDocument, postArrival } from "./support/arrivals";
import { hashKey } from "./support/fleet";
import { addSimulatedEngine, type SimulatedEngine } from "./support/simulatedEngine";
import { createSimulation, type SimulatedNode, type Simulation, startSimulatedNode } from "./support/virtualFleet";

const quietAccounts = ["quiet-0", "quiet-1", "quiet-2", "quiet-3"];

interface Traffic {
    readonly simulation: Simulation;
    readonly node: SimulatedNode;
    readonly engines: readonly SimulatedEngine[];
    /** Sends requests of each account at its rate per second and returns the waiting times in ms by account. */
    measureWaits(rates: Readonly<Record<string, number>>, durationMs: number): Map<string, number[]>;
    post(account: string, promptBytes?: number): string;
}

async function startTraffic(limits: Record<string, number> = {}): Promise<Traffic> {
    const simulation = createSimulation();
    const engines = [1, 2].map(index =>
        addSimulatedEngine(simulation, { address: `10.1.0.${index}:80`, version: "v1", decodeMs: 200 })
    );
    const accounts = [...quietAccounts, "loud", "large"];
    simulation.writeConfiguration(1, {
        ...buildOpenDocument(engines),
        routes: { catalogue: { kind: "model", model: "copywriter", version: "v1" } },
        accounts: Object.fromEntries(accounts.map(account => [account, { rate: 1e9, burst: 1e9 }])),
        keys: Object.fromEntries(accounts.map(account => [hashKey(account), { account }])),
    });
    const overrides = { rates: { floorFraction: 1, floorSlots: 1 }, limits };
    const node = await startSimulatedNode(simulation, { vm: "entry-1", overrides });
    simulation.runFor(5000);
    const arrivals = new Map<string, { readonly account: string; readonly at: number; }>();
    const post = (account: string, promptBytes = 100): string => {
        const request = postArrival(simulation, node, { keyHash: hashKey(account), promptBytes });
        arrivals.set(request, { account, at: simulation.getNow() });
        return request;
    };
    return {
        simulation,
        node,
        engines,
        post,
        measureWaits: (rates, durationMs) => {
            arrivals.clear();
            const credits = new Map<string, number>();
            for (let elapsed = 0; elapsed < durationMs; elapsed += 5) {
                for (const [account, rate] of Object.entries(rates)) {
                    const credit = (credits.get(account) ?? 0) + (rate * 5) / 1000;
                    credits.set(account, credit >= 1 ? credit - 1 : credit);
                    if (credit >= 1) {
                        post(account);
                    }
                }
                simulation.runFor(5);
            }
            simulation.runFor(1000);
            const waits = new Map<string, number[]>();
            for (const { at, request } of engines.flatMap(engine => engine.started)) {
                const arrival = arrivals.get(request);
                if (arrival) {
                    waits.set(arrival.account, [...(waits.get(arrival.account) ?? []), at - arrival.at]);
                }
            }
            return waits;
        },
    };
}

const computeMean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const computeQuantile = (values: readonly number[], fraction: number): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length * fraction)] ?? 0;

describe("fair queue", () => {
    it("gives two accounts that always have waiting requests equal tokens, whatever the request sizes", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 20_000 }), fc.integer({ min: 1, max: 20_000 }), (small, large) => {
                const queue = createFairQueue();
                const sizes: Record<string, number> = { small, large };
                const sent: Record<string, number> = { small: 0, large: 0 };
                for (let call = 0; call < 400; call += 1) {
                    let freePlaces = 1;
                    runFairQueue(queue, ["small", "large", "small", "large"], {
                        getAccount: item => item,
                        getTokens: item => sizes[item] ?? 0,
                        send: item => {
                            if (freePlaces === 0) {
                                return "all_wait";
                            }
                            freePlaces -= 1;
                            sent[item] = (sent[item] ?? 0) + (sizes[item] ?? 0);
                            return "sent";
                        },
                    });
                }
                expect(Math.abs((sent["small"] ?? 0) - (sent["large"] ?? 0))).toBeLessThanOrEqual(4096 + small + large);
            }),
            { seed: 5, numRuns: 50 },
        );
    });

    // Guards against one account that fills the slots and the queues of the engines with its requests.
    it("keeps the waiting times of other accounts low when one account sends twelve times its usual rate", async () => {
        const quietRates = Object.fromEntries(quietAccounts.map(account => [account, 8]));
        const runAndMeasure = async (loudRate: number): Promise<number[]> => {
            const { measureWaits } = await startTraffic({ queuedRequests: 64 });
            const measured = measureWaits({ ...quietRates, loud: loudRate }, 20_000);
            return quietAccounts.flatMap(account => measured.get(account) ?? []);
        };
        const [baselineWaits, floodWaits] = [await runAndMeasure(8), await runAndMeasure(96)];
        expect([baselineWaits.length, floodWaits.length]).toEqual([640, 640]);
        expect(computeQuantile(baselineWaits, 0.95)).toBe(0);
        // A request runs for 200 ms, so with eight slots in each engine one ends every 14 ms on average.
        expect(computeMean(floodWaits)).toBeLessThan(14);
        expect(computeQuantile(floodWaits, 0.95)).toBeLessThan(50);
    });

    it("gives waiting accounts equal tokens when the real systems run the queue", async () => {
        const { simulation, engines, post } = await startTraffic({ queuedRequests: 4096, queuedTotal: 4096 });
        const accountByRequest = new Map<string, string>();
        for (let index = 0; index < 1200; index += 1) {
            accountByRequest.set(post("loud", 990), "loud");
            accountByRequest.set(post("large", 3990), "large");
        }
        simulation.runFor(8000);
        const counts = { loud: 0, large: 0 };
        for (const { request } of engines.flatMap(engine => engine.started)) {
            counts[accountByRequest.get(request) === "loud" ? "loud" : "large"] += 1;
        }
        expect(counts.loud / (counts.large * 4)).toBeGreaterThan(0.9);
        expect(counts.loud / (counts.large * 4)).toBeLessThan(1.1);
    });
});

describe("shedding", () => {
    it("refuses the newest requests of the account with the longest queue as not run, with a retry time", async () => {
        const { simulation, engines, node, post } = await startTraffic({ queuedRequests: 100, queuedTotal: 60 });
        const loudRequests = Array.from({ length: 90 }, () => post("loud"));
        simulation.runFor(1);
        const quietRequests = Array.from({ length: 20 }, () => post("quiet-0"));
        simulation.runFor(1);
        const refused = node.refusals.map(effect => effect.request);
        expect(refused.length).toBeGreaterThan(0);
        expect(refused.filter(request => quietRequests.includes(request))).toEqual([]);
        expect([...refused].sort()).toEqual(loudRequests.slice(-refused.length).sort());
        for (const { refusal } of node.refusals) {
            expect(refusal).toMatchObject({ code: "overloaded", verdict: "not_run", retryAfterSeconds: 2 });
        }
        simulation.runFor(30_000);
        const attempted = new Set(engines.flatMap(engine => engine.attempts.map(attempt => attempt.request as string)));
        expect(refused.filter(request => attempted.has(request))).toEqual([]);
        expect(attempted.size + refused.length).toBe(110);
    });
});
