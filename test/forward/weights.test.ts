import { Err, Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { encodeOrder, orderPrefix, rolloutLeaderKey } from "../../src/forward/codec/fleetRows";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toWeightsVersion } from "../../src/forward/ids";
import { toTargetId, toVmId } from "../../src/ids";
import {
    buildDocument,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listEffects,
    model,
} from "../support/forwardNode";

const engineNames = ["e1", "e2", "e3", "e4", "e5", "e6"];
const version2 = toWeightsVersion(2);

/** Answers reads with version 1 and accepts every order. */
function answerEngines(effect: ForwardEffect): readonly ForwardEvent[] {
    if (effect.kind === "readEngine") {
        const report = { weights: new Map([[model, toWeightsVersion(1)]]), isBusy: false, acceptedOrderCount: 3 };
        return [{ kind: "engineReported", target: effect.target, report: Ok(report) }];
    }
    if (effect.kind === "orderWeights") {
        return [{
            kind: "orderAnswered",
            target: effect.target,
            version: effect.order.version,
            outcome: "started",
        }];
    }
    return [];
}

function createEffectHandler(node: ForwardTestNode) {
    const store = createGrantingStore(node.getNow);
    return (effect: ForwardEffect) => [...store(effect), ...answerEngines(effect)];
}

/** Creates a process that has read the store and is the rollout leader. */
async function createLeader(): Promise<ForwardTestNode> {
    const node = await createForwardTestNode();
    node.run([]);
    const targets = engineNames.map(name => ({ name, target: buildTarget(name) }));
    node.runFor(1500, createEffectHandler(node), [node.buildReadEvent({ document: buildDocument(), targets })]);
    return node;
}

/** An engine with the oldest weights, which is ordered first. */
const buildOldEngine = (name: string, start = 1) => ({
    name,
    target: buildTarget(name, {
        id: toTargetId(`${name}@${start}`),
        weights: new Map([[model, toWeightsVersion(0)]]),
    }),
});

describe("orders for new weights", () => {
    it("are not sent within the guard time after the first read, because earlier orders are not known", async () => {
        const node = await createLeader();
        const published = [node.buildChangeEvent({ weights: [{ model, version: version2 }] })];
        expect(listEffects(node.runFor(1500, createEffectHandler(node), published), "orderWeights")).toHaveLength(0);
        expect(listEffects(node.runFor(2000, createEffectHandler(node)), "orderWeights").length).toBeGreaterThan(0);
    });

    it("are recorded in the store before they are sent", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        const effects = node.runFor(500, createEffectHandler(node), [
            node.buildChangeEvent({ weights: [{ model, version: version2 }] }),
        ]);
        const order = listEffects(effects, "orderWeights")[0];
        const recordedAt = effects.findIndex(effect =>
            effect.kind === "callStore" && effect.purpose.for === "order" && effect.purpose.target === order?.target
        );
        expect(order?.order.expectedOrderCount).toBe(3);
        expect(recordedAt).toBeGreaterThanOrEqual(0);
        expect(recordedAt).toBeLessThan(effects.indexOf(order as ForwardEffect));
    });

    it("are not sent to an engine to which another process has sent an order within the guard time", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        const rows = engineNames.slice(0, 5).map(name => ({
            key: `${orderPrefix}${name}`,
            value: encodeOrder({ vm: toVmId("other"), target: toTargetId(`${name}@1`), model, version: version2 }),
            createRevision: 1,
        }));
        const changes = [node.buildChangeEvent({ rows, weights: [{ model, version: version2 }] })];
        const ordersWithinGuard = listEffects(node.runFor(2500, createEffectHandler(node), changes), "orderWeights");
        expect(new Set(ordersWithinGuard.map(effect => effect.target))).toEqual(new Set([toTargetId("e6@1")]));
    });

    // Guards against ONE: the engine crashed with its sender, and the next leader took its new start for another engine.
    it.each([
        ["has started again under its name", [buildOldEngine("e1", 2)]],
        ["has lost its row and is back", [{ name: "e1", target: undefined }, buildOldEngine("e1")]],
    ])(
        "are not sent within the guard time to an engine that %s since another process ordered it",
        async (_, changes) => {
            const node = await createLeader();
            node.runFor(4000, createEffectHandler(node));
            const value = encodeOrder({ vm: toVmId("other"), target: toTargetId("e1@1"), model, version: version2 });
            const rows = [{ key: `${orderPrefix}e1`, value, createRevision: 1 }];
            node.run([node.buildChangeEvent({ rows })], 1);
            for (const target of changes) {
                node.run([node.buildChangeEvent({ targets: [target] })], 200);
            }
            const published = [node.buildChangeEvent({ weights: [{ model, version: version2 }] })];
            const within = listEffects(node.runFor(2500, createEffectHandler(node), published), "orderWeights");
            expect(within.length).toBeGreaterThan(0);
            expect(within.map(({ instance }) => instance)).not.toContain("e1");
        },
    );

    // Guards against the same for a process that reads the order before the row of its engine.
    it("are not sent within the guard time to an engine that registers after another process's order", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        const value = encodeOrder({ vm: toVmId("other"), target: toTargetId("e7@1"), model, version: version2 });
        node.run([node.buildChangeEvent({ rows: [{ key: `${orderPrefix}e7`, value, createRevision: 1 }] })], 1);
        const effects = node.runFor(2500, createEffectHandler(node), [node.buildChangeEvent({
            targets: [buildOldEngine("e7")],
            weights: [{ model, version: version2 }],
        })]);
        expect(listEffects(effects, "orderWeights").map(({ instance }) => instance)).not.toContain("e7");
    });

    it("begin with the engine that has the oldest weights", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        const targets = engineNames.map((name, index) => ({
            name,
            target: buildTarget(name, { weights: new Map([[model, toWeightsVersion(index === 4 ? 1 : 2)]]) }),
        }));
        node.run([node.buildChangeEvent({ targets })]);
        const effects = node.runFor(200, createEffectHandler(node), [
            node.buildChangeEvent({ weights: [{ model, version: toWeightsVersion(3) }] }),
        ]);
        expect(listEffects(effects, "readEngine")[0]?.target).toBe(toTargetId("e5@1"));
    });

    it("do not cause a read in every tick while the reports of the engines cannot be read", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        const published = [node.buildChangeEvent({ weights: [{ model, version: version2 }] })];
        const store = createGrantingStore(node.getNow);
        const answerUnreadableEngines = (effect: ForwardEffect): readonly ForwardEvent[] =>
            effect.kind === "readEngine"
                ? [{ kind: "engineReported", target: effect.target, report: Err({ message: "refused" }) }]
                : store(effect);
        const reads = listEffects(node.runFor(2000, answerUnreadableEngines, published), "readEngine");
        expect(reads.length).toBeLessThanOrEqual(engineNames.length * 3);
    });

    it("are not sent after a suspension that the monotonic clock did not count", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        node.suspend(5000);
        const effects = node.runFor(100, answerEngines, [
            node.buildChangeEvent({ weights: [{ model, version: version2 }] }),
        ]);
        expect(listEffects(effects, "orderWeights")).toHaveLength(0);
    });

    it("are still sent while the leader is draining, since all other processes may be draining too", async () => {
        const node = await createLeader();
        node.runFor(4000, createEffectHandler(node));
        node.run([{ kind: "drainRequested" }]);
        const effects = node.runFor(500, createEffectHandler(node), [
            node.buildChangeEvent({ weights: [{ model, version: version2 }] }),
        ]);
        expect(listEffects(effects, "orderWeights").length).toBeGreaterThan(0);
    });

    it("are sent by one leader, so a process does not claim leadership while another one holds it", async () => {
        const node = await createForwardTestNode();
        node.run([]);
        const rows = [{ key: rolloutLeaderKey, value: "other", createRevision: 5 }];
        const read = [node.buildReadEvent({ document: buildDocument(), rows })];
        const calls = listEffects(node.runFor(3000, createEffectHandler(node), read), "callStore");
        expect(calls.some(call => call.purpose.for === "leadership")).toBe(false);
    });
});
