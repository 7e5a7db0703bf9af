import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { RouteKind } from "../../src/forward/document";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toMillis } from "../../src/ids";
import { refusalKinds } from "../../src/refusals";
import {
    buildArrival,
    buildDocument,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    listEffects,
    plainService,
} from "../support/forwardNode";

const headerFields = {
    isSigned: true,
    isNotRun: false,
    isMisdirected: false,
    weightsVersion: undefined,
    requestsPerSecond: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
};

/** Outcomes of an attempt: whether the target ran the request, and whether bytes were written to the socket. */
const outcomes = {
    notConnected: { hasRun: false, hasSentBytes: false },
    closedBeforeAnswer: { hasRun: true, hasSentBytes: true },
    silent: { hasRun: true, hasSentBytes: true },
    refused: { hasRun: false, hasSentBytes: true },
    failed: { hasRun: true, hasSentBytes: true },
    answered: { hasRun: true, hasSentBytes: true },
    answeredForAnother: { hasRun: true, hasSentBytes: true },
} as const;
type Outcome = keyof typeof outcomes;

function buildEvents({ request, attempt }: Extract<ForwardEffect, { kind: "sendRequest"; }>, outcome: Outcome) {
    const base = { request, attempt };
    const buildAnswer = (
        status: number,
        changedFields: Partial<typeof headerFields> & { attemptId?: string; },
    ): ForwardEvent => ({
        kind: "attemptAnswered",
        ...base,
        status,
        headerFields: { attemptId: request, ...headerFields, ...changedFields },
        isOpenStream: false,
    });
    const buildFailure = (fault: "connect" | "closed"): ForwardEvent => ({
        kind: "attemptFailed",
        ...base,
        fault,
        lastEventId: 0,
    });
    const finalEvents: Readonly<Record<Outcome, readonly ForwardEvent[]>> = {
        notConnected: [buildFailure("connect")],
        closedBeforeAnswer: [buildFailure("closed")],
        silent: [],
        refused: [buildAnswer(503, { isNotRun: true })],
        failed: [buildAnswer(500, {})],
        answered: [buildAnswer(200, {})],
        answeredForAnother: [buildAnswer(200, { attemptId: "another" })],
    };
    return outcomes[outcome].hasSentBytes
        ? [{ kind: "attemptWriteStarted" as const, ...base }, ...finalEvents[outcome]]
        : finalEvents[outcome];
}

const anyOutcome = fc.constantFrom(...Object.keys(outcomes) as Outcome[]);

describe("generated histories of requests", () => {
    it("run a non-repeatable request at most once, and answer 429 or 503 only if the request has not run", async () => {
        const property = fc.asyncProperty(
            fc.constantFrom<RouteKind>("single", "repeatable"),
            fc.array(anyOutcome, { minLength: 8, maxLength: 40 }),
            fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 8 }),
            async (kind, plannedOutcomes, gapsMs) => {
                const route = buildRoute({
                    kind,
                    maxTargets: kind === "single" ? 1 : 3,
                    services: [{ service: plainService, weight: 1 }],
                    latencyObjectiveMs: 100,
                    timeoutMs: 600,
                });
                const node = await createForwardTestNode();
                const targets = ["s1", "s2", "s3"].map(name => ({
                    name,
                    target: buildTarget(name, { service: plainService }),
                }));
                node.run([node.buildReadEvent({ document: buildDocument({ routes: [route] }), targets })]);
                const runs = new Map<string, number>();
                const remainingOutcomes = [...plannedOutcomes];
                const answer = (effect: ForwardEffect): readonly ForwardEvent[] => {
                    if (effect.kind !== "sendRequest") {
                        return [];
                    }
                    const outcome = remainingOutcomes.shift() ?? "answered";
                    runs.set(effect.request, (runs.get(effect.request) ?? 0) + Number(outcomes[outcome].hasRun));
                    return buildEvents(effect, outcome);
                };
                const effects: ForwardEffect[] = [];
                for (const [index, gapMs] of gapsMs.entries()) {
                    const arrival = buildArrival(`r${index}`, {
                        arrivedAt: toMillis(node.getNow()),
                        parts: [],
                        model: undefined,
                        callerTimeoutMs: 600,
                    });
                    effects.push(...node.runFor(gapMs, answer, [{ kind: "requestArrived", arrival }]));
                }
                effects.push(...node.runFor(2000, answer));
                for (const { refusal, request } of listEffects(effects, "refuseRequest")) {
                    const isNotRunRefusal = [429, 503].includes(refusalKinds[refusal.code].status);
                    expect(isNotRunRefusal && (runs.get(request) ?? 0) > 0).toBe(false);
                }
                for (const count of runs.values()) {
                    expect(count).toBeLessThanOrEqual(kind === "single" ? 1 : 3);
                }
                const endedRequests = new Set(
                    [...listEffects(effects, "refuseRequest"), ...listEffects(effects, "relayAnswer")]
                        .map(({ request }) => request),
                );
                expect(endedRequests.size).toBe(gapsMs.length);
            },
        );
        await fc.assert(property, { numRuns: 150, seed: 20261204 });
    });

    it("never apply an older configuration, whichever versions the store returns in reads and changes", async () => {
        const property = fc.asyncProperty(
            fc.array(fc.record({ version: fc.integer({ min: 1, max: 30 }), isRead: fc.boolean() }), { maxLength: 25 }),
            async steps => {
                const node = await createForwardTestNode();
                let newestVersion = 0;
                for (const { version, isRead } of steps) {
                    const changes = { document: buildDocument({ version }) };
                    node.run([isRead ? node.buildReadEvent(changes) : node.buildChangeEvent(changes)], 5);
                    newestVersion = Math.max(newestVersion, version);
                    expect(Number(node.world.tables.configuration.version ?? 0)).toBe(newestVersion);
                }
            },
        );
        await fc.assert(property, { numRuns: 100, seed: 20261204 });
    });
});
