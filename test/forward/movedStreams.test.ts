import { describe, expect, it } from "vitest";
import { encodeOrder, orderPrefix } from "../../src/forward/codec/fleetRows";
import type { ForwardRoute } from "../../src/forward/document";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toWeightsVersion } from "../../src/forward/ids";
import { toMillis, toRequestId, toVmId } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    engineService,
    type ForwardTestNode,
    listEffects,
    model,
} from "../support/forwardNode";

const version2 = toWeightsVersion(2);

const headerFields = {
    attemptId: undefined,
    isSigned: true,
    isNotRun: false,
    isMisdirected: false,
    weightsVersion: undefined,
    requestsPerSecond: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
};

/** Starts streams at the only engine; then a second engine registers. */
async function createNodeWithStreams(
    ids: readonly string[],
    route: Partial<ForwardRoute> = {},
): Promise<ForwardTestNode> {
    const node = await createForwardTestNode();
    node.run([node.buildReadEvent({
        document: buildDocument({ routes: [buildRoute(route)] }),
        targets: [{ name: "e1", target: buildTarget("e1") }],
    })]);
    const arrivedAt = toMillis(node.getNow());
    node.run(ids.map(id => ({
        kind: "requestArrived",
        arrival: buildArrival(id, { arrivedAt, promptTokens: 10 }),
    })));
    node.run(
        ids.flatMap(id => [
            { kind: "attemptWriteStarted" as const, request: toRequestId(id), attempt: 1 },
            {
                kind: "attemptAnswered" as const,
                request: toRequestId(id),
                attempt: 1,
                status: 200,
                headerFields,
                isOpenStream: true,
            },
            { kind: "attemptFirstEvent" as const, request: toRequestId(id), attempt: 1 },
        ]),
        10,
    );
    node.run([node.buildChangeEvent({ targets: [{ name: "e2", target: buildTarget("e2") }] })], 10);
    return node;
}

function buildOrderEvent(node: ForwardTestNode, name: string) {
    const target = buildTarget(name).id;
    return node.buildChangeEvent({
        rows: [{
            key: `${orderPrefix}${name}`,
            value: encodeOrder({ vm: toVmId("other"), target, model, version: version2 }),
            createRevision: 1,
        }],
        weights: [{ model, version: version2 }],
    });
}

/** Ends a moved attempt after event 4, as the HTTP client does. */
const answerMoves = (effect: ForwardEffect) =>
    effect.kind === "moveAttempt"
        ? [{
            kind: "attemptFailed" as const,
            request: effect.request,
            attempt: effect.attempt,
            fault: "moved" as const,
            lastEventId: 4,
        }]
        : [];

function updateBudget(node: ForwardTestNode, level: number): void {
    const budget = node.world.tables.retryBudgets.get(engineService);
    if (budget) {
        budget.level = level;
    }
}

describe("streams of an engine that was ordered to load weights", () => {
    it("moves a resumable stream to another engine, which resumes after the last relayed event", async () => {
        const node = await createNodeWithStreams(["r1"]);
        const effects = node.runFor(800, answerMoves, [buildOrderEvent(node, "e1")]);
        expect(listEffects(effects, "moveAttempt")).toHaveLength(1);
        const [sent] = listEffects(effects, "sendRequest");
        expect(sent?.call.target).toBe(buildTarget("e2").id);
        expect(sent?.call.resumeAfterEventId).toBe(4);
        expect(node.world.tables.targets.get(buildTarget("e1").id)?.failures).toBe(0);
    });

    it("does not move a stream that is not resumable, since the request would run twice", async () => {
        const node = await createNodeWithStreams(["r1"], { isResumable: false });
        expect(listEffects(node.runFor(800, answerMoves, [buildOrderEvent(node, "e1")]), "moveAttempt")).toEqual([]);
    });

    it("does not move a stream whose key was withdrawn, since its request must not be sent again", async () => {
        const node = await createNodeWithStreams(["r1"]);
        node.run([node.buildChangeEvent({ document: { ...buildDocument({ version: 2 }), accounts: new Map() } })], 10);
        expect(listEffects(node.runFor(800, answerMoves, [buildOrderEvent(node, "e1")]), "moveAttempt")).toEqual([]);
    });

    it("does not move streams while no other engine can resume them", async () => {
        const node = await createNodeWithStreams(["r1"]);
        node.run(
            [node.buildChangeEvent({ targets: [{ name: "e2", target: buildTarget("e2", { isLeaving: true }) }] })],
            10,
        );
        expect(listEffects(node.runFor(800, answerMoves, [buildOrderEvent(node, "e1")]), "moveAttempt")).toEqual([]);
    });

    it("moves only as many streams as the retry budget covers, since others would be interrupted", async () => {
        const ids = Array.from({ length: 60 }, (_, index) => `r${index}`);
        const node = await createNodeWithStreams(ids);
        const effects = node.runFor(800, answerMoves, [buildOrderEvent(node, "e1")]);
        const moves = listEffects(effects, "moveAttempt").length;
        expect(moves).toBeGreaterThan(0);
        expect(moves).toBeLessThan(ids.length);
        expect(listEffects(effects, "sendRequest")).toHaveLength(moves);
        expect(listEffects(effects, "interruptAnswer")).toEqual([]);
    });

    it("does not move streams of a draining process, whose retry budget is no longer refilled", async () => {
        const node = await createNodeWithStreams(["r1"]);
        node.run([{ kind: "drainRequested" }], 10);
        expect(listEffects(node.runFor(800, answerMoves, [buildOrderEvent(node, "e1")]), "moveAttempt")).toEqual([]);
    });

    it("resends a moved stream at once if the next engine refuses it, with a retry reserved at the move", async () => {
        const node = await createNodeWithStreams(["r1"]);
        node.run([node.buildChangeEvent({ targets: [{ name: "e3", target: buildTarget("e3") }] })], 10);
        updateBudget(node, 5);
        let sendCount = 0;
        const refuseFirst = (effect: ForwardEffect): readonly ForwardEvent[] => {
            if (effect.kind !== "sendRequest") {
                return answerMoves(effect);
            }
            sendCount += 1;
            updateBudget(node, 0);
            const { attempt, request } = effect;
            const refusal = { ...headerFields, isSigned: false, isNotRun: true };
            return sendCount > 1
                ? []
                : [{
                    kind: "attemptAnswered",
                    request,
                    attempt,
                    status: 503,
                    headerFields: refusal,
                    isOpenStream: false,
                }];
        };
        node.runFor(500, refuseFirst, [buildOrderEvent(node, "e1")]);
        expect(sendCount).toBe(2);
    });

    it("keeps a moved stream open while other engines refuse it and the retry budget is empty", async () => {
        const node = await createNodeWithStreams(["r1"]);
        const refuse = (effect: ForwardEffect): readonly ForwardEvent[] => {
            if (effect.kind !== "sendRequest") {
                return answerMoves(effect);
            }
            updateBudget(node, 0);
            return [{
                kind: "attemptAnswered",
                request: effect.request,
                attempt: effect.attempt,
                status: 503,
                headerFields: { ...headerFields, isSigned: false, isNotRun: true },
                isOpenStream: false,
            }];
        };
        const effects = node.runFor(800, refuse, [buildOrderEvent(node, "e1")]);
        expect(listEffects(effects, "sendRequest")).toHaveLength(1);
        expect(listEffects(effects, "interruptAnswer")).toEqual([]);
        updateBudget(node, 1);
        const later = node.runFor(300, answerMoves);
        expect(listEffects(later, "sendRequest")[0]?.call.resumeAfterEventId).toBe(4);
    });
});
