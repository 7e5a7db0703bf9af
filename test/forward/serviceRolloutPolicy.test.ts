/** Pure rules of service rollouts: share, tests, verdict, states. */
import { describe, expect, it } from "vitest";
import { toOrderRevision, toServerVersion } from "../../src/forward/ids";
import { canSendCanary, computeCanaryCredit, countCanaryServers } from "../../src/forward/policy/canaryShare";
import { recordResponse } from "../../src/forward/policy/responseHistogram";
import {
    chooseNextState,
    chooseRollout,
    computeDecisionMs,
    createRollout,
    isOldVersion,
    moveRollout,
} from "../../src/forward/policy/serviceRolloutRules";
import {
    computeVersionVerdict,
    createRouteEvidence,
    createSideCounts,
    findSickServer,
    type RouteEvidence,
    type SideCounts,
} from "../../src/forward/policy/versionVerdict";
import { type RouteId, type TargetId, toTargetId } from "../../src/ids";

const [v1, v2, v3] = ["v1", "v2", "v3"].map(toServerVersion) as [
    ReturnType<typeof toServerVersion>,
    ReturnType<typeof toServerVersion>,
    ReturnType<typeof toServerVersion>,
];
const buildOrder = (revision: number, to = v2) => ({ revision: toOrderRevision(revision), to, periodMs: 12_000 });

function addAnswers(side: SideCounts, count: number, { ms = 100, failures = 0 } = {}): void {
    side.answers += count;
    side.failures += failures;
    for (let index = failures; index < count; index += 1) {
        recordResponse(side.responses, ms * (1 + (index % 10) / 20));
    }
}

function buildEvidence(newAnswers: Parameters<typeof addAnswers>[2] & { readonly count: number; }): RouteEvidence {
    const evidence = createRouteEvidence();
    addAnswers(evidence.old, 500);
    addAnswers(evidence.new, newAnswers.count, newAnswers);
    return evidence;
}

const computeKind = (routes: readonly RouteEvidence[]): string =>
    computeVersionVerdict({
        routes: new Map(routes.map((evidence, index) => [`route-${index}` as RouteId, evidence])),
        earlier: [],
        hasAllTraffic: false,
    }).kind;

describe("the verdict about a version", () => {
    it("is open without answers, and good after as many as the design note states", () => {
        expect(computeKind([buildEvidence({ count: 0 })])).toBe("open");
        expect(computeKind([buildEvidence({ count: 20 })])).toBe("open");
        expect(computeKind([buildEvidence({ count: 40 })])).toBe("good");
    });

    it("is bad after few answers when all of them fail or are several times slower", () => {
        expect(computeKind([buildEvidence({ count: 4, failures: 4 })])).toBe("bad");
        expect(computeKind([buildEvidence({ count: 5, ms: 400 })])).toBe("bad");
    });

    // Guards against single failures, as of a server that crashes, that end the rollout of a good version.
    it("is not bad after one failure among a few answers", () => {
        expect(computeKind([buildEvidence({ count: 10, failures: 1 })])).toBe("open");
    });

    // Guards against a bad route that disappears among the good answers of all others.
    it("is bad when one of several routes fails", () => {
        const sound = buildEvidence({ count: 60 });
        expect(computeKind([sound, sound, buildEvidence({ count: 12, failures: 5 })])).toBe("bad");
    });

    // Guards against a version that is excused by its good answers at the start.
    it("is bad when the answers since an earlier time are", () => {
        const route = "route-0" as RouteId;
        const evidence = buildEvidence({ count: 300 });
        const before = createRouteEvidence().new;
        addAnswers(before, 300);
        addAnswers(evidence.new, 10, { failures: 5 });
        const routes = new Map([[route, evidence]]);
        expect(computeVersionVerdict({ routes, earlier: [], hasAllTraffic: false }).kind).not.toBe("bad");
        const earlier = [new Map([[route, before]])];
        expect(computeVersionVerdict({ routes, earlier, hasAllTraffic: false }).kind).toBe("bad");
    });

    // Guards against a small part of bad answers that is many requests in a service with much traffic.
    it("is bad when one of twenty among many answers fails", () => {
        expect(computeKind([buildEvidence({ count: 200, failures: 10 })])).toBe("bad");
    });

    it("compares with an old version that fails as often", () => {
        const evidence = createRouteEvidence();
        addAnswers(evidence.old, 500, { failures: 150 });
        addAnswers(evidence.new, 50, { failures: 15 });
        expect(computeKind([evidence])).not.toBe("bad");
    });
});

describe("a server that has no answers", () => {
    const route = "route-0" as RouteId;
    const servers = ["s1", "s2"].map(toTargetId) as [TargetId, TargetId];

    function findSick(counts: readonly { readonly lost: number; readonly failures?: number; }[]) {
        const old = createSideCounts();
        addAnswers(old, 500);
        const added = counts.map(({ lost, failures = 0 }, index) => {
            const side = createSideCounts();
            addAnswers(side, 20, { failures: lost + failures });
            side.lost = lost;
            return [servers[index] as TargetId, new Map([[route, side]])] as const;
        });
        const evidence = { old: new Map([[route, old]]), servers: new Map(added) };
        return findSickServer({ evidence, earlier: [], hasAllTraffic: false });
    }

    it("is found when it is the only one, and not when others are like it or it answers with failures", () => {
        expect(findSick([{ lost: 8 }, { lost: 0 }])).toBe(servers[0]);
        expect(findSick([{ lost: 8 }])).toBe(servers[0]);
        expect(findSick([{ lost: 8 }, { lost: 8 }])).toBeUndefined();
        expect(findSick([{ lost: 0, failures: 8 }, { lost: 0 }])).toBeUndefined();
    });
});

describe("the share of a version on trial", () => {
    it("allows a request once the share of those sent reaches it", () => {
        expect(canSendCanary({ sent: 12, canarySent: 0, credit: 0 }, 0.1)).toBe(false);
        expect(canSendCanary({ sent: 13, canarySent: 0, credit: 0 }, 0.1)).toBe(true);
        expect(canSendCanary({ sent: 13, canarySent: 1, credit: 0 }, 0.1)).toBe(false);
    });

    it("gives all processes together credits of at most half of the slack", () => {
        for (const processes of [1, 4, 26, 80, 1000]) {
            expect(processes * computeCanaryCredit({ point: 1, slack: 50, processes })).toBeLessThanOrEqual(25);
        }
    });

    it("goes to as many servers as an old one's load needs", () => {
        expect([1, 4, 12, 24, 63].map(count => countCanaryServers(count, 0.1))).toEqual([1, 1, 1, 2, 6]);
    });
});

describe("the rules of a rollout", () => {
    const context = { wallNow: 1000, versions: [v1, v2] };
    const rollout = createRollout(undefined, buildOrder(5), context);
    const listOld = (next: Parameters<typeof isOldVersion>[0] | undefined) =>
        next && [v1, v2, v3].filter(version => isOldVersion(next, version));

    // Guards against requests to a version on trial as if it were in use, once another order has replaced its own.
    it("allow nothing for the version of an order that another one replaces", () => {
        const later = { wallNow: 2000, versions: [v1, v2, v3] };
        const next = chooseRollout({ kind: "order", order: buildOrder(6, v3) }, rollout, rollout, later);
        expect(next).toMatchObject({ to: v3, state: "observing", observedAt: 2000 });
        expect(listOld(next)).toEqual([v1]);
        expect(listOld(createRollout(moveRollout(rollout, "rolledBack"), buildOrder(7, v3), later))).toEqual([v1]);
    });

    // Guards against requests to a version that was started before its order.
    it("allow only the completed version beside the one of the next order", () => {
        const completed = moveRollout(moveRollout(rollout, "shifting"), "completed");
        expect(listOld(createRollout(completed, buildOrder(7, v3), context))).toEqual([v2]);
    });

    it("need nothing of the version that an order back leaves", () => {
        expect(listOld(createRollout(rollout, buildOrder(6, v1), context))).toEqual([]);
    });

    it("roll a withdrawn order back unless it was completed", () => {
        const completed = moveRollout(rollout, "completed");
        expect(chooseRollout({ kind: "none" }, rollout, rollout, context)?.state).toBe("rolledBack");
        expect(chooseRollout({ kind: "none" }, undefined, rollout, context)?.state).toBe("rolledBack");
        expect(chooseRollout({ kind: "none" }, completed, completed, context)?.state).toBe("completed");
        expect(chooseRollout({ kind: "malformed" }, rollout, rollout, context)?.state).toBe("observing");
    });

    it("decide late, wait without servers, and need nothing from servers that are all of the version", () => {
        const facts = {
            verdict: "good",
            hasNewServers: true,
            hasOldServers: true,
            isDecisionDue: true,
            isOldVersionUnused: false,
        } as const;
        expect(chooseNextState("observing", facts)).toBe("shifting");
        expect(chooseNextState("observing", { ...facts, isDecisionDue: false })).toBe("observing");
        expect(chooseNextState("observing", { ...facts, hasNewServers: false })).toBe("observing");
        expect(chooseNextState("observing", { ...facts, verdict: "open", hasOldServers: false })).toBe("shifting");
        expect(chooseNextState("shifting", facts)).toBe("shifting");
        expect(chooseNextState("shifting", { ...facts, isOldVersionUnused: true })).toBe("completed");
        expect(chooseNextState("shifting", { ...facts, verdict: "bad" })).toBe("rolledBack");
        expect(computeDecisionMs({ periodMs: 12_000, responseMs: 400 })).toBe(8100);
    });
});
