import * as fc from "fast-check";
import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { encodeMember, memberPrefix } from "../../src/forward/codec/fleetRows";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { addUsage, createUsageWindow, updateUsageWindow } from "../../src/forward/policy/usageWindow";
import { toCallId, toMillis } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildMember,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
} from "../support/forwardNode";

const windowMs = 8000;
const rate = 10_000;
const allowed = (rate * 8 + rate) * 1.1 + 1000;
const names = ["front-1", "front-2", "front-3", "front-4"];

interface Fleet {
    readonly nodes: (ForwardTestNode | undefined)[];
    /** Times and tokens of admitted requests. */
    readonly admitted: { readonly at: number; readonly tokens: number; }[];
    step(arrivals: readonly number[]): Promise<void>;
    restart(index: number): Promise<void>;
}

const rows = names.map(name => ({
    key: `${memberPrefix}${name}`,
    value: encodeMember(buildMember(name)),
    createRevision: 1,
}));

async function startNode(index: number): Promise<ForwardTestNode> {
    const node = await createForwardTestNode(names[index], index + 1);
    node.run([]);
    node.run([
        node.read({ document: buildDocument({ rate }), rows, targets: [{ name: "e", target: buildTarget("e") }] }),
    ]);
    return node;
}

const stepMs = 50;

/** A fleet whose exchanges reach each other within one step. */
async function createFleet(): Promise<Fleet> {
    const nodes: (ForwardTestNode | undefined)[] = await Promise.all(names.map((_, index) => startNode(index)));
    const pending: ForwardEvent[][] = names.map(() => []);
    const admitted: { at: number; tokens: number; }[] = [];
    let now = 0;
    let number = 0;

    function postToPeers(from: number, effect: ForwardEffect): void {
        if (effect.kind === "askPeer") {
            const to = names.indexOf(effect.vm);
            pending[to]?.push({ kind: "peerAsked", call: toCallId(`${from}`), state: effect.state });
        }
        else if (effect.kind === "answerPeer") {
            const vm = nodes[from]?.world.settings.vm;
            if (vm !== undefined) {
                pending[Number(effect.call)]?.push({ kind: "peerReplied", vm, result: Ok(effect.state) });
            }
        }
        else if (effect.kind === "sendRequest") {
            admitted.push({ at: now, tokens: 1100 });
        }
    }

    return {
        nodes,
        admitted,
        step: async arrivals => {
            now += stepMs;
            for (const [index, node] of nodes.entries()) {
                const events = (pending[index] ?? []).splice(0);
                if (!node) {
                    continue;
                }
                const count = arrivals.filter(target => target === index).length;
                for (let request = 0; request < count; request += 1) {
                    number += 1;
                    const arrival = buildArrival(`r${number}`, { arrivedAt: toMillis(node.getNow() + stepMs) });
                    events.push({ kind: "requestArrived", arrival });
                }
                const effects = [...node.run(events, stepMs)];
                // Answers end at once, so that only the limit of the account holds requests back.
                for (const { request, attempt } of listEffects(effects, "sendRequest")) {
                    node.run([{ kind: "attemptBytesHanded", request, attempt }, {
                        kind: "attemptFinished",
                        request,
                        attempt,
                    }]);
                }
                for (const effect of effects) {
                    postToPeers(index, effect);
                }
            }
        },
        restart: async index => {
            nodes[index] = await startNode(index);
            pending[index]?.splice(0);
            const node = nodes[index];
            if (node) {
                (node.world as { startedAt: number; }).startedAt += now;
            }
        },
    };
}

function findLargestWindow(admitted: Fleet["admitted"]): number {
    return Math.max(
        0,
        ...admitted.map(({ at: end }) =>
            admitted.filter(({ at }) => at > end - windowMs && at <= end).reduce((sum, { tokens }) => sum + tokens, 0)
        ),
    );
}

describe("usage of accounts over the fleet", () => {
    it("keeps within the allowance when one account floods all processes", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            await fleet.step([0, 1, 2, 3, 0, 1]);
        }
        expect(findLargestWindow(fleet.admitted)).toBeLessThanOrEqual(allowed);
    });

    it("gives one process nearly the whole allowance when the others are idle", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            await fleet.step([0]);
        }
        expect(findLargestWindow(fleet.admitted.filter(({ at }) => at > windowMs))).toBeGreaterThan(allowed * 0.7);
    });

    it("keeps within the allowance when all processes are killed in a flood", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            if (step === 240) {
                await Promise.all(names.map((_, index) => fleet.restart(index)));
            }
            await fleet.step([0, 1, 2, 3, 0, 1]);
        }
        expect(findLargestWindow(fleet.admitted)).toBeLessThanOrEqual(allowed);
    });

    it("keeps within the allowance over generated floods and restarts", async () => {
        const event = fc.record({ index: fc.nat(3), at: fc.integer({ min: 170, max: 330 }) });
        const property = fc.asyncProperty(
            fc.array(event, { maxLength: 3 }),
            fc.array(fc.nat(3), { minLength: 1, maxLength: 6 }),
            async (restarts, arrivals) => {
                const fleet = await createFleet();
                for (let step = 0; step < 380; step += 1) {
                    for (const { index } of restarts.filter(({ at }) => at === step)) {
                        await fleet.restart(index);
                    }
                    await fleet.step(arrivals);
                }
                expect(findLargestWindow(fleet.admitted)).toBeLessThanOrEqual(allowed);
            },
        );
        await fc.assert(property, { numRuns: 12, seed: 20261204 });
    });
});

describe("usage window", () => {
    it("drops tokens once the whole slot lies outside the window", () => {
        const window = createUsageWindow({ windowMs, now: toMillis(1000) });
        addUsage(window, 500);
        updateUsageWindow(window, toMillis(1000 + windowMs - 1));
        expect(window.total).toBe(500);
        updateUsageWindow(window, toMillis(1000 + windowMs + 500));
        expect(window.total).toBe(0);
    });
});
