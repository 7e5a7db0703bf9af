import * as fc from "fast-check";
import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import type { ForwardEffect, ForwardEffectOf } from "../../src/forward/effects";
import type { FleetRow, ForwardEvent } from "../../src/forward/events";
import { addUsage, createUsageWindow, updateUsageWindow } from "../../src/forward/policy/usageWindow";
import type { ForwardSettings } from "../../src/forward/settings";
import { toCallId, toMillis } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildMemberRows,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
    listNodeNames,
} from "../support/forwardNode";

const windowMs = 8000;
const rate = 10_000;
const maxAllowedTokens = (rate * 8 + rate) * 1.1 + 1000;
const smallFleetSize = 4;
/** The processes of a fleet of this size exchange state every 2.6 s. */
const largeFleetSize = 35;

interface Fleet {
    readonly nodes: (ForwardTestNode | undefined)[];
    /** Times and tokens of admitted requests. */
    readonly admitted: { readonly at: number; readonly tokens: number; }[];
    /** Rows about accounts in the store. */
    readonly storedRows: ReadonlyMap<string, FleetRow>;
    getWriteCount(): number;
    /** Runs each process for `stepMs`; `arrivals` has the index of a process for each request that it receives. */
    step(arrivals: readonly number[]): Promise<void>;
    /** Starts the process anew, killed without notice before or stopped by `stop`. */
    restart(index: number): Promise<void>;
    /** Ends the process; the others see that its row is removed. */
    stop(index: number): void;
}

interface FleetOptions {
    readonly size?: number;
    readonly rate?: number;
    readonly slackTokens?: number;
    readonly promptTokens?: number;
}

async function startNode(
    names: readonly string[],
    index: number,
    { rate, slackTokens }: Required<FleetOptions>,
    members: readonly string[] = names,
    storedRows: Iterable<FleetRow> = [],
): Promise<ForwardTestNode> {
    const rows = [...buildMemberRows(members), ...storedRows];
    const node = await createForwardTestNode(names[index], index + 1);
    const { settings } = node.world;
    (node.world as { settings: ForwardSettings; }).settings = {
        ...settings,
        bounds: { ...settings.bounds, quotaSlackTokens: slackTokens },
    };
    node.run([]);
    node.run([
        node.buildReadEvent({
            document: buildDocument({ rate }),
            rows,
            targets: [{ name: "e", target: buildTarget("e") }],
        }),
    ]);
    return node;
}

const stepMs = 50;

/** Creates a fleet whose exchange messages arrive in the next step. */
async function createFleet(options: FleetOptions = {}): Promise<Fleet> {
    const fleetOptions = { size: smallFleetSize, rate, slackTokens: 1000, promptTokens: 1000, ...options };
    const names = listNodeNames(fleetOptions.size);
    const nodes: (ForwardTestNode | undefined)[] = await Promise.all(
        names.map((_, index) => startNode(names, index, fleetOptions)),
    );
    const pending: ForwardEvent[][] = names.map(() => []);
    const admitted: { at: number; tokens: number; }[] = [];
    const storedRows = new Map<string, FleetRow>();
    let writeCount = 0;
    let now = 0;
    let requestNumber = 0;

    function applyRow(row: FleetRow): void {
        for (const node of nodes) {
            node?.run([node.buildChangeEvent({ rows: [row] })]);
        }
    }

    /** Carries out what a process writes about accounts; leases and members are not simulated. */
    function writeRow(from: number, { purpose, call }: ForwardEffectOf<"callStore">): void {
        if (purpose.for !== "surge" || call.kind !== "transaction") {
            return;
        }
        for (const change of call.success) {
            if (change.kind === "range") {
                continue;
            }
            writeCount += 1;
            const value = change.kind === "put" ? change.value : undefined;
            const row = { key: change.key, value, createRevision: 1 };
            storedRows.delete(row.key);
            if (value !== undefined) {
                storedRows.set(row.key, row);
            }
            applyRow(row);
        }
        const result = Ok({ kind: "transaction", succeeded: true, revision: 1 } as const);
        nodes[from]?.run([{ kind: "storeReplied", purpose, outcome: { result } } as ForwardEvent]);
    }

    function handleEffect(from: number, effect: ForwardEffect): void {
        if (effect.kind === "callStore") {
            writeRow(from, effect);
        }
        else if (effect.kind === "callPeer") {
            const to = names.indexOf(effect.vm);
            pending[to]?.push({ kind: "peerCallReceived", call: toCallId(`${from}`), state: effect.state });
        }
        else if (effect.kind === "answerPeer") {
            const vm = nodes[from]?.world.settings.vm;
            if (vm !== undefined) {
                pending[Number(effect.call)]?.push({ kind: "peerReplied", vm, result: Ok(effect.state) });
            }
        }
        else if (effect.kind === "sendRequest") {
            admitted.push({ at: now, tokens: fleetOptions.promptTokens + 100 });
        }
    }

    return {
        nodes,
        admitted,
        storedRows,
        getWriteCount: () => writeCount,
        step: async arrivals => {
            now += stepMs;
            for (const [index, node] of nodes.entries()) {
                const events = (pending[index] ?? []).splice(0);
                if (!node) {
                    continue;
                }
                const count = arrivals.filter(nodeIndex => nodeIndex === index).length;
                for (let request = 0; request < count; request += 1) {
                    requestNumber += 1;
                    const arrival = buildArrival(`r${requestNumber}`, {
                        arrivedAt: toMillis(node.getNow() + stepMs),
                        promptTokens: fleetOptions.promptTokens,
                    });
                    events.push({ kind: "requestArrived", arrival });
                }
                const effects = [...node.run(events, stepMs)];
                // Answers end at once, so that only the account's token limit holds requests back.
                for (const { request, attempt } of listEffects(effects, "sendRequest")) {
                    node.run([{ kind: "attemptWriteStarted", request, attempt }, {
                        kind: "attemptFinished",
                        request,
                        attempt,
                    }]);
                }
                for (const effect of effects) {
                    handleEffect(index, effect);
                }
            }
        },
        stop: index => {
            nodes[index] = undefined;
            for (const row of buildMemberRows(names.slice(index, index + 1))) {
                applyRow({ ...row, value: undefined });
            }
        },
        restart: async index => {
            const members = names.filter((_, member) => member === index || nodes[member] !== undefined);
            nodes[index] = await startNode(names, index, fleetOptions, members, storedRows.values());
            for (const row of buildMemberRows(names.slice(index, index + 1))) {
                applyRow(row);
            }
            pending[index]?.splice(0);
            const node = nodes[index];
            if (node) {
                (node.world as { startedAt: number; }).startedAt += now;
            }
        },
    };
}

function computeMaxWindowTokens(admitted: Fleet["admitted"]): number {
    return Math.max(
        0,
        ...admitted.map(({ at: end }) =>
            admitted.filter(({ at }) => at > end - windowMs && at <= end).reduce((sum, { tokens }) => sum + tokens, 0)
        ),
    );
}

describe("fleet-wide token limit of an account", () => {
    it("is kept when one account sends a flood of requests to all processes", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            await fleet.step([0, 1, 2, 3, 0, 1]);
        }
        expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
    });

    it("is kept in a large fleet, whose processes exchange usage rarely", async () => {
        const [largeRate, slackTokens, promptTokens] = [29_000, 110_000, 9090];
        const fleet = await createFleet({ size: largeFleetSize, rate: largeRate, slackTokens, promptTokens });
        // The load jumps to four times the rate: about 13 requests a second over the whole fleet.
        for (let step = 0; step < 500; step += 1) {
            const count = step < 200 ? Number(step % 12 === 0) : Number(step % 3 !== 0);
            await fleet.step(count === 0 ? [] : [step * 11 % largeFleetSize]);
        }
        const maxWindowTokens = computeMaxWindowTokens(fleet.admitted);
        expect(maxWindowTokens).toBeLessThanOrEqual((largeRate * 8 + largeRate) * 1.1 + slackTokens);
        expect(maxWindowTokens).toBeGreaterThan(largeRate * 8);
    });

    it("is for the most part available to one process when the others are idle", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            await fleet.step([0]);
        }
        expect(computeMaxWindowTokens(fleet.admitted.filter(({ at }) => at > windowMs))).toBeGreaterThan(
            maxAllowedTokens * 0.7,
        );
    });

    it("is kept when all processes are killed during a flood", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            if (step === 240) {
                await Promise.all(fleet.nodes.map((_, index) => fleet.restart(index)));
            }
            await fleet.step([0, 1, 2, 3, 0, 1]);
        }
        expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
    });

    // Guards against usage that stays in the window for longer than processes without a record of it assume.
    it.each([20, 50, 90, 120])("is kept when all processes are killed %i steps after a flood begins", async steps => {
        const fleet = await createFleet();
        for (let step = 0; step < 400; step += 1) {
            if (step === 160 + steps) {
                await Promise.all(fleet.nodes.map((_, index) => fleet.restart(index)));
            }
            await fleet.step(step < 160 ? [] : [0, 1, 2, 3, 0, 1]);
        }
        expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
    });

    // Guards against an account that gets nothing after a kill although the store tells that it had used little.
    it("leaves at once what was not used when all processes are killed after a short burst", async () => {
        const fleet = await createFleet();
        const killStep = 180;
        for (let step = 0; step < killStep + 10; step += 1) {
            if (step === killStep) {
                await Promise.all(fleet.nodes.map((_, index) => fleet.restart(index)));
            }
            // The burst is 0.30 of the allowance.
            await fleet.step((step >= 160 && step < 164) || step >= killStep ? [0, 1, 2, 3, 0, 1] : []);
        }
        const tokensAfterKill = fleet.admitted.filter(({ at }) => at > killStep * stepMs)
            .reduce((sum, { tokens }) => sum + tokens, 0);
        expect(tokensAfterKill).toBeGreaterThan(0.4 * maxAllowedTokens);
    });

    it("is kept over generated floods in which all processes are killed, also twice", async () => {
        const property = fc.asyncProperty(
            fc.array(fc.integer({ min: 10, max: 150 }), { minLength: 1, maxLength: 2 }),
            fc.array(fc.nat(3), { minLength: 1, maxLength: 6 }),
            async (kills, arrivals) => {
                const fleet = await createFleet();
                for (let step = 0; step < 500; step += 1) {
                    if (kills.includes(step - 160)) {
                        await Promise.all(fleet.nodes.map((_, index) => fleet.restart(index)));
                    }
                    await fleet.step(step < 160 ? [] : arrivals);
                }
                expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
            },
        );
        await fc.assert(property, { numRuns: 20, seed: 20261208 });
    });

    // Guards against calls to the store, and against requests that are refused after a kill, for even usage.
    it("costs no calls to the store while an account uses most of its allowance evenly", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 600; step += 1) {
            // One request of 1,100 tokens each 150 ms is 0.67 of the allowance.
            await fleet.step(step % 3 === 0 ? [step % 4] : []);
        }
        expect(fleet.getWriteCount()).toBe(0);
    });

    // Guards against the shares that are assumed for silent and new processes, which are no usage.
    it("costs no calls to the store when processes are killed or stopped and start again under an even load", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 700; step += 1) {
            if (step === 200 || step === 500) {
                await fleet.restart(1);
            }
            if (step === 320) {
                fleet.stop(2);
            }
            if (step === 370) {
                await fleet.restart(2);
            }
            await fleet.step(step % 4 === 0 ? [step % 3] : []);
        }
        expect(fleet.getWriteCount()).toBe(0);
    });

    // Guards against a record that outlives its flood and has calls refused after a much later kill.
    it("costs a few calls to the store for a flood, after which the store holds no record", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 600; step += 1) {
            await fleet.step(step < 160 || step > 220 ? [] : [0, 1, 2, 3, 0, 1]);
            if (step === 220) {
                expect(fleet.storedRows.size).toBe(1);
            }
        }
        expect(fleet.getWriteCount()).toBeLessThanOrEqual(12);
        expect([...fleet.storedRows]).toEqual([]);
    });

    // Guards against rows that pile up in the store as accounts are removed.
    it("leaves no record of an account that is removed during a flood", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 240; step += 1) {
            await fleet.step(step < 160 || step > 200 ? [] : [0, 1, 2, 3, 0, 1]);
            if (step === 200) {
                expect(fleet.storedRows.size).toBe(1);
                const document = buildDocument({ version: 2, rate: 0 });
                fleet.nodes.forEach(node => node?.run([node.buildChangeEvent({ document })]));
            }
        }
        expect([...fleet.storedRows]).toEqual([]);
    });

    it("is kept when half of the processes are killed soon after a flood begins", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 500; step += 1) {
            if (step === 280) {
                await fleet.restart(0);
                await fleet.restart(1);
            }
            // The usage of the killed processes is recent and therefore stays in the window for a long time.
            await fleet.step(step < 200 ? [] : [0, 1, 2, 3, 0, 1]);
        }
        expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
    });

    // Guards against a process that starts while others are stopped and does not learn what they had used: in a series of
    // restarts under a flood, the account got the allowance of the stopped processes once more.
    it("is kept when processes stop and start in turn after two of them have used all of it", async () => {
        const fleet = await createFleet();
        fleet.stop(0);
        fleet.stop(1);
        for (let step = 0; step < 200; step += 1) {
            await fleet.step(step < 160 ? [] : [2, 3]);
        }
        await fleet.restart(0);
        await fleet.restart(1);
        const changes = new Map<number, () => void | Promise<void>>([
            [20, () => {
                fleet.stop(3);
            }],
            [30, () => {
                fleet.stop(2);
            }],
            [50, () => fleet.restart(2)],
            [70, () => fleet.restart(3)],
        ]);
        for (let step = 0; step < 140; step += 1) {
            await changes.get(step)?.();
            await fleet.step([2, 3, 2, 3]);
        }
        expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
    });

    // Guards against the time until a peer tells a process what its previous run had used.
    it("is kept when a process that has used all of it restarts", async () => {
        const fleet = await createFleet();
        for (let step = 0; step < 210; step += 1) {
            await fleet.step(step < 160 ? [] : [3]);
        }
        await fleet.restart(3);
        for (let step = 0; step < 140; step += 1) {
            await fleet.step([0, 1, 2, 3]);
        }
        expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
    });

    it("is kept over generated floods, stops and starts", async () => {
        const event = fc.record({ index: fc.nat(3), at: fc.integer({ min: 170, max: 330 }), stopSteps: fc.nat(60) });
        const property = fc.asyncProperty(
            fc.array(event, { minLength: 1, maxLength: 6 }),
            fc.array(fc.nat(3), { minLength: 1, maxLength: 6 }),
            async (stops, arrivals) => {
                const fleet = await createFleet();
                for (let step = 0; step < 420; step += 1) {
                    for (const { index } of stops.filter(({ at }) => at === step)) {
                        fleet.stop(index);
                    }
                    for (const { index } of stops.filter(({ at, stopSteps }) => at + stopSteps === step)) {
                        await fleet.restart(index);
                    }
                    await fleet.step(arrivals);
                }
                expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
            },
        );
        await fc.assert(property, { numRuns: 20, seed: 20261205 });
    });

    it("is kept over generated floods and restarts", async () => {
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
                expect(computeMaxWindowTokens(fleet.admitted)).toBeLessThanOrEqual(maxAllowedTokens);
            },
        );
        await fc.assert(property, { numRuns: 12, seed: 20261204 });
    });
});

describe("usage window", () => {
    it("drops the tokens of a slot once the whole slot is older than the window", () => {
        const window = createUsageWindow({ windowMs, now: toMillis(1000) });
        addUsage(window, 500);
        updateUsageWindow(window, toMillis(1000 + windowMs - 1));
        expect(window.total).toBe(500);
        updateUsageWindow(window, toMillis(1000 + windowMs + 500));
        expect(window.total).toBe(0);
    });
});
