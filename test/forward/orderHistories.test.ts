import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type ArrivedOrder, type OrderFleet, startOrderFleet, type StoreLink } from "../support/orderFleet";

/** Two holders must not order one engine within this time; `dutyGuardMs` of the test settings. */
const guardMs = 3000;

type Step = (fleet: OrderFleet) => void;

const anyNode = fc.integer({ min: 0, max: 2 });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
    fc.integer({ min: 2, max: 40 }).map((version): Step => fleet => {
        fleet.name(version);
    }),
    fc.tuple(anyNode, fc.constantFrom<StoreLink>("open", "cut", "lost", "late")).map(([index, link]): Step => fleet => {
        const node = fleet.nodes[index];
        if (node) {
            node.link = link;
        }
    }),
    fc.tuple(anyNode, fc.integer({ min: 100, max: 6000 }), fc.boolean()).map(
        ([index, ms, isSuspended]): Step => fleet => {
            fleet.nodes[index]?.freeze(ms, isSuspended);
        },
    ),
    fc.constantFrom(0, 500, 4000).map((delayMs): Step => fleet => {
        fleet.orderDelayMs = delayMs;
    }),
);

/** Pairs of orders in a row to one engine. */
function listPairs(arrived: readonly ArrivedOrder[]): (readonly [ArrivedOrder, ArrivedOrder])[] {
    const last = new Map<string, ArrivedOrder>();
    return arrived.flatMap(order => {
        const before = last.get(order.engine);
        last.set(order.engine, order);
        return before ? [[before, order] as const] : [];
    });
}

describe("generated histories of orders", () => {
    it("keep to one holder at a time and never bring an engine back", async () => {
        let orders = 0;
        let changes = 0;
        const property = fc.asyncProperty(
            fc.array(fc.tuple(anyStep, fc.integer({ min: 100, max: 4000 })), { minLength: 4, maxLength: 12 }),
            async steps => {
                const fleet = await startOrderFleet();
                fleet.run(5000);
                for (const [step, ms] of steps) {
                    step(fleet);
                    fleet.run(ms);
                }
                fleet.orderDelayMs = 0;
                fleet.nodes.forEach(node => {
                    node.link = "open";
                });
                fleet.name(50);
                fleet.run(25_000);
                for (const [before, after] of listPairs(fleet.arrived)) {
                    expect(after.fencing).toBeGreaterThanOrEqual(before.fencing);
                    if (after.holder !== before.holder) {
                        changes += 1;
                        expect(after.fencing).toBeGreaterThan(before.fencing);
                        expect(after.at - before.at).toBeGreaterThanOrEqual(guardMs);
                    }
                }
                for (const versions of fleet.taken.values()) {
                    expect(versions).toEqual([...versions].sort((left, right) => left - right));
                    expect(versions.at(-1)).toBe(50);
                }
                orders += fleet.arrived.length;
            },
        );
        await fc.assert(property, { numRuns: 300, seed: 78 });
        // Histories in which nobody takes the duty over would prove nothing.
        expect(orders).toBeGreaterThan(200);
        expect(changes).toBeGreaterThan(10);
    }, 300_000);
});
