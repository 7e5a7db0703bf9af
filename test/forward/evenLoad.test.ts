/**
 * Even load from reports of peers that are as old as the exchange makes them. Guards against herding: many processes
 * that choose the same engine until the next reports show that it is overloaded.
 *
 * The goal: no engine has more than twice the mean queue for longer than one report interval, and requests still reach
 * the engines that hold their shared parts. An engine with no more work than one whole prompt has no queue.
 */
import { describe, expect, it } from "vitest";
import { createForwardBatch } from "../../src/forward/events";
import { listEstimatedLoads } from "../../src/forward/systems/engineLoad";
import { applyLoadReports } from "../../src/forward/systems/loadReports";
import { createPeerLoadsTable } from "../../src/forward/tables/peerLoads";
import type { ForwardTargetRow } from "../../src/forward/tables/targets";
import { addMillis, toMillis, toTargetId, toVmId } from "../../src/ids";
import { buildPeerState, buildTarget, createForwardTestNode } from "../support/forwardNode";
import { computeIntervalMs, type LoadCaseFigures, type LoadCaseName, runLoadCase } from "../support/loadCases";

const timeoutMs = 120_000;
/** Share of the requests that may miss their shared parts in addition, as the cost of a lower queue. */
const maxLostHits = 0.01;

async function runBoth(nodes: number, load: LoadCaseName): Promise<Record<"reports" | "estimates", LoadCaseFigures>> {
    return {
        reports: await runLoadCase({ nodes, load, estimatesLoad: false }),
        estimates: await runLoadCase({ nodes, load, estimatesLoad: true }),
    };
}

describe("load of 63 engines", () => {
    it.each([24, 80])("stays even under a steady load of %i processes", async nodes => {
        const { reports, estimates } = await runBoth(nodes, "steady");
        expect(estimates.longestExcessMs).toBeLessThanOrEqual(computeIntervalMs(nodes));
        expect(estimates.hitShare).toBeGreaterThanOrEqual(reports.hitShare - maxLostHits);
        expect(estimates.p95Ms).toBeLessThan(reports.p95Ms);
        expect(estimates.maxIntervalMeanMs).toBeLessThan(reports.maxIntervalMeanMs);
        expect(estimates.refusedShare).toBeLessThanOrEqual(reports.refusedShare);
    }, timeoutMs);

    it.each([24, 80])("stays even in a burst at %i processes", async nodes => {
        const { reports, estimates } = await runBoth(nodes, "burst");
        expect(estimates.longestExcessMs).toBeLessThanOrEqual(computeIntervalMs(nodes));
        expect(estimates.hitShare).toBeGreaterThanOrEqual(reports.hitShare - maxLostHits);
        expect(estimates.refusedShare).toBeLessThanOrEqual(reports.refusedShare);
    }, timeoutMs);

    it.each([24, 80])("stays even when a quarter of the engines is slow, with %i processes", async nodes => {
        const computeSpeed = (engine: number): number => (engine % 4 === 0 ? 0.55 : 1);
        const figures = await runLoadCase({ nodes, load: "steady", estimatesLoad: true, computeSpeed });
        expect(figures.longestExcessMs).toBeLessThanOrEqual(computeIntervalMs(nodes));
    }, timeoutMs);

    // Reports of a small fleet are at most 300 ms old.
    it("is the same with and without the estimates in a small fleet", async () => {
        const { reports, estimates } = await runBoth(4, "burst");
        expect(estimates).toEqual(reports);
    }, timeoutMs);
});

describe("work ahead of a request", () => {
    const [peer, other] = [toVmId("front-8"), toVmId("front-9")];
    const id = toTargetId("e1@1");

    async function estimateTokens(state: Parameters<typeof buildPeerState>[0], priority: number): Promise<number> {
        const { world, getNow } = await createForwardTestNode();
        world.tables.targets.apply("e1", buildTarget("e1"), toMillis(getNow()));
        const now = toMillis(getNow());
        const tick = { number: 1, now, wallNow: 0, events: createForwardBatch([]), due: world.timers.takeDue(now) };
        applyLoadReports(world, tick, buildPeerState(state));
        const [load] = listEstimatedLoads(world, tick, [world.tables.targets.get(id) as ForwardTargetRow], priority);
        return load?.queue.queuedTokens ?? Number.NaN;
    }

    it("leaves out queued requests that the engine admits later", async () => {
        const state = { load: [[id, 900, 3]], queued: [[id, [[1, 200], [4, 700]]]] } as const;
        expect(await estimateTokens(state, 1)).toBeCloseTo(200);
        expect(await estimateTokens(state, 4)).toBeCloseTo(900);
    });

    // Guards against reading a report of an older process, or one with unknown priorities, as an empty queue.
    it.each([undefined, [[id, [[12, 900]]]] as const, [[id, [[0.5, 900]]]] as const])(
        "counts all tokens of a report without usable priorities (%j)",
        async queued => {
            expect(await estimateTokens({ load: [[id, 900, 3]], ...(queued ? { queued } : {}) }, 1)).toBeCloseTo(900);
        },
    );

    // Guards against sums that drift from the last reports, and against rows that stay behind.
    it("is the sum of the last reports, until they are outdated", () => {
        const table = createPeerLoadsTable();
        const start = toMillis(1000);
        table.apply(peer, [{ target: id, queuedTokens: 500, requests: 2 }], start);
        table.apply(other, [{ target: id, queuedTokens: 100, requests: 1 }], addMillis(start, 500));
        table.apply(peer, [{ target: id, queuedTokens: 300, requests: 1 }], addMillis(start, 900));
        expect(table.rows.get(id)).toMatchObject({ queuedTokens: 400, requests: 2 });
        table.removeOutdated(addMillis(start, 2000), 1200);
        expect(table.rows.get(id)).toMatchObject({ queuedTokens: 300, requests: 1 });
        expect(table.rows.get(id)?.weightedTokens[0]).toBeGreaterThan(0);
        table.removeOutdated(addMillis(start, 9000), 1200);
        expect(table.rows.size).toBe(0);
    });
});
