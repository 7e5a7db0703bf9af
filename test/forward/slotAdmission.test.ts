/** Admission by the slots of engines, several part stores, and the pace of rollouts of weights. */
import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { createForwardBatch, type ForwardEvent } from "../../src/forward/events";
import { toPartId, toWeightsVersion } from "../../src/forward/ids";
import { computeNeededLoads } from "../../src/forward/policy/loadPace";
import { isGivingWay, updateRefusalRate } from "../../src/forward/policy/refusalParity";
import {
    canBeginInTime,
    computeReturnMs,
    estimateShareWaitMs,
    estimateSlotWaitMs,
} from "../../src/forward/policy/slotWait";
import { maxOutdatedFraction } from "../../src/forward/systems/eligibleTargets";
import { canFetchInTime, findPartStore, recordTransferDelay } from "../../src/forward/systems/partStores";
import type { AttemptEstimate } from "../../src/forward/tables/requests";
import { toDataCentreId, toMillis, toRequestId, toTargetId } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildMemberRows,
    buildStreamBegin,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    engineService,
    type ForwardTestNode,
    listEffects,
    listNodeNames,
    model,
} from "../support/forwardNode";
import { createSlotNode, runSlotLoad } from "../support/slotEngines";

const buildEngines = (count: number, slots?: number) =>
    Array.from({ length: count }, (_, index) => `e${index}`).map(name => ({
        name,
        target: buildTarget(name, { address: `${name}:1`, ...(slots === undefined ? {} : { slots }) }),
    }));

const sendArrival = (node: ForwardTestNode, id: string, options: Parameters<typeof buildArrival>[1] = {}) =>
    node.run([{
        kind: "requestArrived",
        arrival: buildArrival(id, { arrivedAt: toMillis(node.getNow()), ...options }),
    }], 1);

/** Lets the process learn that requests hold their slots for a long time. */
function recordTenures(node: ForwardTestNode, tenureMs: number): void {
    for (let index = 0; index < 200; index += 1) {
        node.world.tables.slotUse.recordTenure(engineService, 2, tenureMs);
    }
}

describe("admission beside a burst of long requests", () => {
    const urgent = { name: "urgent", objectiveMs: 500, priority: 0, outputMs: 50, intervalMs: 100 };
    /** An urgent kind may be served less often than a less urgent one by this share of its requests at most. */
    const maxDifference = 0.05;

    // Long requests may queue within their longer objective, so that all slots are always taken and urgent ones are refused.
    it.each([[1500, 50], [4000, 25], [4000, 100], [8000, 25]])(
        "refuses urgent requests no more often than long ones (%i ms each, one in %i ms)",
        async (outputMs, intervalMs) => {
            const batch = { name: "batch", objectiveMs: 2000, priority: 2, outputMs, intervalMs };
            const load = { engines: 4, slots: 4, durationMs: 15_000, kinds: [urgent, batch] };
            const figures = await runSlotLoad(load);
            const computeShare = (name: string): number => {
                const { sent, refused } = figures.get(name) ?? { sent: 0, refused: Number.NaN };
                return refused / sent;
            };
            expect(computeShare("urgent")).toBeLessThanOrEqual(computeShare("batch") + maxDifference);
            expect(computeShare("batch")).toBeLessThan(1);
        },
    );

    // A reserve for urgent requests that nobody sends leaves slots unused.
    it("refuses nothing while the slots suffice", async () => {
        const batch = { name: "batch", objectiveMs: 2000, priority: 2, outputMs: 1000, intervalMs: 200 };
        const figures = await runSlotLoad({ engines: 4, slots: 4, durationMs: 10_000, kinds: [urgent, batch] });
        expect([...figures.values()].map(({ refused }) => refused)).toEqual([0, 0]);
    });

    // A long prompt leaves less of the objective for the wait, so under a lasting overload it is always refused.
    it("serves the largest tenth of a kind at least half as often as the kind", async () => {
        const usual = { name: "usual", objectiveMs: 600, priority: 1, outputMs: 500, intervalMs: 15 };
        const large = { ...usual, name: "large", intervalMs: 150, promptTokens: 20_000 };
        const figures = await runSlotLoad({ engines: 4, slots: 4, durationMs: 20_000, kinds: [usual, large] });
        const computeServed = (names: readonly string[]): number => {
            const rows = names.map(name => figures.get(name) ?? { sent: 0, refused: 0 });
            return 1
                - rows.reduce((sum, { refused }) => sum + refused, 0) / rows.reduce((sum, { sent }) => sum + sent, 0);
        };
        expect(computeServed(["large"])).toBeGreaterThanOrEqual(computeServed(["usual", "large"]) / 2);
    });

    // Refusals of a less urgent kind spread to a more urgent one.
    it("lets a request give way to more urgent ones only, and only while they are refused more often", () => {
        const now = toMillis(1000);
        const refusedRate = updateRefusalRate(undefined, true, now);
        expect(isGivingWay({ rates: [undefined, refusedRate], rank: 3, now })).toBe(true);
        expect(isGivingWay({ rates: [undefined, undefined, undefined, refusedRate], rank: 1, now })).toBe(false);
        expect(isGivingWay({ rates: [refusedRate, refusedRate], rank: 1, now })).toBe(false);
    });
});

describe("admission of one request", () => {
    // Requests wait in the queue of a full engine until they are late, and are refused late in their time.
    it("refuses at once, with the time to come back, what cannot begin in time, until a slot is free", async () => {
        const node = await createSlotNode({
            bySlots: true,
            changes: { document: buildDocument(), targets: buildEngines(1, 2) },
        });
        recordTenures(node, 4000);
        for (const id of ["r1", "r2"]) {
            expect(listEffects(sendArrival(node, id), "sendRequest")).toHaveLength(1);
            node.run(buildStreamBegin(toRequestId(id), 1), 1);
        }
        const [refusal] = listEffects(sendArrival(node, "r3"), "refuseRequest");
        expect(refusal?.refusal.code).toBe("overloaded");
        expect(refusal?.refusal.retryAfterSeconds).toBeGreaterThan(0);
        node.run([{ kind: "attemptFinished", request: toRequestId("r1"), attempt: 1 }], 50);
        expect(listEffects(sendArrival(node, "r4"), "sendRequest")).toHaveLength(1);
    });

    // Long prompts starve when their own length counts as lateness.
    it("does not refuse a very long prompt at an idle engine", async () => {
        const changes = { document: buildDocument(), targets: buildEngines(1, 2) };
        const node = await createSlotNode({ bySlots: true, changes });
        const parts = [{ id: toPartId("own"), tokens: 90_000 }];
        const effects = sendArrival(node, "r1", { parts, promptTokens: 90_000 });
        expect(listEffects(effects, "sendRequest")).toHaveLength(1);
    });

    // Callers come back too early and are refused again, or later than capacity is there.
    it.each([[900, 100], [900, 5000], [5000, 100], [5000, 20_000]])(
        "names a time at which the request is admitted (wait %i ms, first event after %i ms)",
        (waitMs, firstEventMs) => {
            const admission = { waitMs, firstEventMs, objectiveMs: 600 };
            const returnMs = computeReturnMs({ ...admission, refusedShare: 0, random: 0.5 });
            expect(canBeginInTime(admission)).toBe(false);
            expect(canBeginInTime({ ...admission, waitMs: waitMs - returnMs - 1 })).toBe(true);
            expect(canBeginInTime({ ...admission, waitMs: waitMs - returnMs + 260 })).toBe(false);
        },
    );

    // Refused callers come back in one moment.
    it("spreads the times to come back", () => {
        const admission = { waitMs: 3000, firstEventMs: 100, objectiveMs: 600, refusedShare: 0.5 };
        const computeReturn = (random: number): number => computeReturnMs({ ...admission, random });
        expect(computeReturn(1) / computeReturn(0)).toBeGreaterThan(1.5);
    });

    // An idle engine counts as busy, or a full one as free.
    it("estimates no wait for a free slot, and a longer one the more requests are ahead", () => {
        const base = { slots: 4, tenureMs: 1000, aheadShare: 1 };
        const waits = [3, 4, 8, 16].map(requests => estimateSlotWaitMs({ ...base, requests }));
        expect(waits[0]).toBe(0);
        expect(waits).toEqual([...new Set(waits)].sort((left, right) => left - right));
        expect(estimateShareWaitMs({ ownRequests: 0, ownSlots: 0.05, tenureMs: 1000 })).toBe(0);
    });
});

describe("settings of admission by slots", () => {
    /** Effects of a burst of requests on two engines, most of which wait. */
    async function runBurst(slots: number | undefined, bySlots: boolean | undefined) {
        const changes = { document: buildDocument(), targets: buildEngines(2, slots) };
        const node = await createSlotNode({ changes, ...(bySlots === undefined ? {} : { bySlots }) });
        const effects = Array.from({ length: 40 }, (_, index) => sendArrival(node, `r${index}`)).flat();
        return { node, effects };
    }

    // Deployments that do not ask for it get other decisions.
    it("leave all decisions as they are when it is off", async () => {
        const { effects } = await runBurst(undefined, undefined);
        for (const bySlots of [undefined, false]) {
            const { node, effects: withSlots } = await runBurst(1, bySlots);
            expect(withSlots).toEqual(effects);
            expect(node.world.tables.slotUse.get(engineService).samples).toHaveLength(0);
        }
        expect(listEffects((await runBurst(1, true)).effects, "refuseRequest").length).toBeGreaterThan(0);
    });

    // A process that switches it on by a reload takes all slots of the engines for its own.
    it("take effect by a reload", async () => {
        const changes = {
            document: buildDocument(),
            targets: buildEngines(2, 4),
            rows: buildMemberRows(listNodeNames(24)),
        };
        const node = await createSlotNode({ changes });
        node.world.settings = { ...node.world.settings, admission: { bySlots: true } };
        node.runFor(1000, createGrantingStore(node.getNow), [{ kind: "reloadRequested", outcome: "applied" }]);
        expect(node.world.tables.slotUse.get(engineService).trafficShare).toBeLessThan(0.1);
    });
});

describe("estimated loads in a large fleet", () => {
    // A request that waits for an engine spreads its shared part over all engines, and the parts are lost.
    it("count a waiting request once in the demand for its shared part", async () => {
        const changes = { document: buildDocument(), targets: [], rows: buildMemberRows(listNodeNames(24)) };
        const node = await createSlotNode({ changes });
        const id = toPartId("catalogue");
        sendArrival(node, "r1", { parts: [{ id, tokens: 600 }, { id: toPartId("own"), tokens: 400 }] });
        for (let index = 0; index < 20; index += 1) {
            node.run([], 1);
        }
        const { demand } = node.world.tables.sharedParts.use(`${engineService} ${id}`);
        // 400 tokens of its own are 8 ms of an engine.
        expect(demand.tokens).toBeLessThanOrEqual(8);
    });
});

describe("several part stores", () => {
    const stores = ["kv1", "kv2", "kv3"].map(name => ({
        id: toTargetId(`${name}@1`),
        address: `${name}:1`,
        dataCentre: toDataCentreId("dc-0"),
        maxFollowers: 1,
    }));
    const createNode = (name: string, partStores: typeof stores) =>
        createSlotNode({ name, changes: { document: { ...buildDocument(), partStores }, targets: buildEngines(1) } });

    // Each process looks for a part in another store, and one store keeps everything.
    it("each keep their parts, and each part has the same store on all processes", async () => {
        const [node, other] = [await createNode("front-1", stores), await createNode("front-2", [...stores].reverse())];
        const parts = Array.from({ length: 300 }, (_, index) => `part-${index}`);
        const owners = parts.map(part => findPartStore(node.world, part)?.id);
        expect(parts.map(part => findPartStore(other.world, part)?.id)).toEqual(owners);
        for (const { id } of stores) {
            // A third each; half of that would already be far outside the spread of a sound hash.
            expect(owners.filter(owner => owner === id).length).toBeGreaterThan(parts.length / 6);
        }
    });

    /** Records the first events of requests that were expected after 100 ms. */
    function recordFirstEvents(node: ForwardTestNode, fetchFrom: string | undefined, lateMs: number): void {
        const now = toMillis(node.getNow());
        const tick = {
            number: 1,
            now,
            wallNow: 0,
            events: createForwardBatch([]),
            due: node.world.timers.takeDue(now),
        };
        const estimate: AttemptEstimate = { firstEventMs: 100, fetchFrom };
        for (let index = 0; index < 5; index += 1) {
            recordTransferDelay(node.world, tick, { sentAt: toMillis(now - 100 - lateMs), estimate });
        }
    }

    function canFetch(node: ForwardTestNode, address: string): boolean {
        const now = toMillis(node.getNow());
        const tick = {
            number: 1,
            now,
            wallNow: 0,
            events: createForwardBatch([]),
            due: node.world.timers.takeDue(now),
        };
        return canFetchInTime(node.world, tick, { address, recomputeMs: 126 });
    }

    // All engines wait for one source whose link is busy, while computing the parts would be faster.
    it("are left out while their transfers are late, and used again later", async () => {
        const node = await createNode("front-1", stores);
        expect(canFetch(node, "kv1:1")).toBe(true);
        recordFirstEvents(node, "kv1:1", 900);
        expect(canFetch(node, "kv1:1")).toBe(false);
        expect(canFetch(node, "kv2:1")).toBe(true);
        node.run([], 10_000);
        expect(canFetch(node, "kv1:1")).toBe(true);
    });

    // Slow engines make every first event late; a source is not the cause then.
    it("are used while requests that fetch nothing are as late", async () => {
        const node = await createNode("front-1", stores);
        recordFirstEvents(node, undefined, 900);
        recordFirstEvents(node, "kv1:1", 900);
        expect(canFetch(node, "kv1:1")).toBe(true);
    });

    // A single store is the usual deployment, in which nothing may change.
    it("are the condition for learning delays", async () => {
        const node = await createNode("front-1", stores.slice(0, 1));
        recordFirstEvents(node, "kv1:1", 5000);
        expect(canFetch(node, "kv1:1")).toBe(true);
        expect(findPartStore(node.world, "part")?.id).toBe("kv1@1");
    });
});

describe("rollouts of weights whose loads take long", () => {
    const engineCount = 48;
    /** A load takes this long; four rounds of a quarter of the engines take 13.2 s, two rounds of half of them 6.6 s. */
    const loadMs = 3300;
    /** `bounds.weightsMs` of the test process. */
    const weightsMs = 10_000;

    /** Publishes versions 2 and 3, each for the time given. */
    async function runRollouts(bySlots: boolean, timesMs: readonly number[]) {
        const node = await createForwardTestNode();
        node.world.settings = { ...node.world.settings, admission: { bySlots } };
        const store = createGrantingStore(node.getNow);
        const loads = new Map<string, { readonly version: number; readonly at: number; }>();
        const isLoading = ({ at }: { readonly at: number; }): boolean => at > node.getNow();
        let most = 0;
        const answer = (effect: Parameters<typeof store>[0]): readonly ForwardEvent[] => {
            if (effect.kind === "orderWeights") {
                const { version } = effect.order;
                loads.set(effect.target, { version, at: node.getNow() + loadMs });
                most = Math.max(most, [...loads.values()].filter(isLoading).length);
                return [{ kind: "orderAnswered", target: effect.target, version, outcome: "started" }];
            }
            if (effect.kind === "readEngine") {
                const load = loads.get(effect.target) ?? { version: 1, at: 0 };
                const version = toWeightsVersion(isLoading(load) ? load.version - 1 : load.version);
                const weights = new Map([[model, version]]);
                const report = { weights, isBusy: isLoading(load), acceptedOrderCount: 0 };
                const name = effect.instance;
                const target = buildTarget(name, { address: effect.address, slots: 4, weights });
                return [
                    { kind: "engineReported", target: effect.target, report: Ok(report) },
                    ...isLoading(load) ? [] : [node.buildChangeEvent({ targets: [{ name, target }] })],
                ];
            }
            // The store sends the record of an order to all processes.
            const puts =
                effect.kind === "callStore" && effect.purpose.for === "order" && effect.call.kind === "transaction"
                    ? effect.call.success
                    : [];
            const rows = puts.flatMap(put =>
                put.kind === "put" ? [{ key: put.key, value: put.value, createRevision: 1 }] : []
            );
            return [...store(effect), ...rows.length > 0 ? [node.buildChangeEvent({ rows })] : []];
        };
        node.run([]);
        const targets = buildEngines(engineCount, 4);
        node.runFor(5500, answer, [node.buildReadEvent({ document: buildDocument(), targets })]);
        const behind = timesMs.map((ms, index) => {
            const version = toWeightsVersion(index + 2);
            node.runFor(ms, answer, [node.buildChangeEvent({ weights: [{ model, version }] })]);
            const engines = node.world.tables.targets.listService(engineService);
            return engines.filter(({ weights }) => (weights.get(model) ?? 0) < version).length;
        });
        return { most, behind };
    }

    // Engines that are late get no requests for their outdated weights, which costs more than loading earlier. The time of
    // a load is not known before the first rollout, which has the whole bound of the platform.
    it("load more engines at once, at most half, so that all have the weights in time", async () => {
        const { most, behind } = await runRollouts(true, [weightsMs, weightsMs * maxOutdatedFraction]);
        expect(most).toBeGreaterThan(engineCount / 4);
        expect(most).toBeLessThanOrEqual(engineCount / 2);
        expect(behind).toEqual([0, 0]);
    });

    // Deployments without the setting would lose a larger part of their capacity to loads.
    it("load a quarter of the engines at once when admission by slots is off", async () => {
        expect((await runRollouts(false, [weightsMs])).most).toBeLessThanOrEqual(engineCount / 4);
    });

    // A division by the time left yields no count once the time is over.
    it("need all remaining engines once the time is over, and none when none remains", () => {
        expect(computeNeededLoads({ timesLeftMs: Array.from({ length: 7 }, () => -500), cycleMs: 3300 })).toBe(7);
        expect(computeNeededLoads({ timesLeftMs: Array.from({ length: 0 }, () => 7000), cycleMs: 3300 })).toBe(0);
    });
});
