/** A non-repeatable call runs at most once, and what its caller is told of a repeated call is true. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "./support/fleet";
import { otherKey, sendCall, type ServiceFleet, shopKey, startServiceFleet } from "./support/services";

/** UUIDv7 of a point in time, in milliseconds since the Unix epoch. */
function buildDatedKey(at: number): string {
    const time = Math.floor(at).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000001`;
}

describe("claims of non-repeatable calls", () => {
    let system: ServiceFleet;

    beforeEach(async () => {
        system = await startServiceFleet({ nodes: 2, overrides: { timeouts: { drainNoticeMs: 100 } } });
    });

    afterEach(async () => {
        await system.stop();
    });

    const getTotalRuns = (): number => system.services.reduce((sum, service) => sum + service.getRunCounts().total, 0);
    const listClaims = (): string[] =>
        system.fleet.platform.store.listRange("claims/", "claims0").map(row => row.value);
    const waitForEnds = (count: number): Promise<void> =>
        waitUntil(() => listClaims().filter(value => value.includes("\"end\"")).length === count);

    it("refuses a call without a key, which could not be told from its repetition", async () => {
        expect(await sendCall(system)).toMatchObject({
            status: 400,
            error: { code: "idempotency_key_missing", verdict: "not_run" },
        });
        expect(getTotalRuns()).toBe(0);
    });

    it("runs a call once that two VMs get at the same time", async () => {
        const answers = await Promise.all([0, 1, 0, 1].map(node => sendCall(system, { node, id: "job-1" })));
        expect(getTotalRuns()).toBe(1);
        const others = answers.filter(answer => answer.status !== 200 || answer.headers.has("idempotent-replayed"));
        expect(others).toHaveLength(3);
        for (const answer of others.filter(({ status }) => status !== 200)) {
            expect(answer).toMatchObject({ status: 409, error: { verdict: "may_have_run" } });
        }
    });

    it("replays the answer of a finished call and refuses another body, path or service", async () => {
        const first = await sendCall(system, { id: "job-2" });
        await waitForEnds(1);
        const again = await sendCall(system, { node: 1, id: "job-2" });
        expect([again.status, again.text]).toEqual([200, first.text]);
        expect(again.headers.get("idempotent-replayed")).toBe("true");
        for (const change of [{ body: "job 3" }, { path: "/other" }]) {
            expect(await sendCall(system, { id: "job-2", ...change })).toMatchObject({
                status: 422,
                error: { code: "idempotency_key_reused", verdict: "not_run" },
            });
        }
        expect(getTotalRuns()).toBe(1);
    });

    it("says that a call has run whose answer was too large to keep", async () => {
        Object.assign(system.services[0]?.faults ?? {}, { fillerBytes: 100_000 });
        await sendCall(system, { id: "job-3" });
        await waitForEnds(1);
        expect(await sendCall(system, { id: "job-3" })).toMatchObject({
            status: 409,
            error: { code: "idempotency_finished", verdict: "ran" },
        });
        expect(getTotalRuns()).toBe(1);
    });

    it("keeps the claims of accounts apart, so that one cannot block or read another's calls", async () => {
        const answers = await Promise.all(
            [shopKey, otherKey].map(bearer => sendCall(system, { id: "job-4", bearer })),
        );
        expect(answers.map(answer => answer.status)).toEqual([200, 200]);
        expect(getTotalRuns()).toBe(2);
    });

    it("reads a claim back when the store's answer to it was lost", async () => {
        system.fleet.platform.faults.loseAnswers = 1;
        expect(await sendCall(system, { id: "job-5" })).toMatchObject({ status: 200 });
        await waitForEnds(1);
        expect(getTotalRuns()).toBe(1);
    });

    it("refuses while the store is down, runs nothing, and lets the call run once afterwards", async () => {
        system.fleet.platform.startOutage();
        const refused = await sendCall(system, { id: "job-6" });
        expect(refused).toMatchObject({ status: 503, error: { code: "store_unavailable", verdict: "not_run" } });
        expect(system.services[0]?.calls).toEqual([]);
        system.fleet.platform.endOutage();
        expect(await sendCall(system, { id: "job-6" })).toMatchObject({ status: 200 });
        expect(getTotalRuns()).toBe(1);
    });

    it("records the ends of its claims before a VM that drains exits", async () => {
        const [entry] = system.fleet.nodes;
        const { platform } = system.fleet;
        Object.assign(system.services[0]?.faults ?? {}, { hangs: 1 });
        const call = sendCall(system, { id: "job-7", headers: { "x-request-timeout-ms": "1500" } });
        await waitUntil(() => getTotalRuns() === 1);
        platform.startOutage();
        expect(await call).toMatchObject({ error: { verdict: "may_have_run" } });
        entry?.node.drain();
        await waitUntil(async () => (await sendCall(system, { id: "job-8" })).error.code === "draining");
        platform.endOutage();
        await waitUntil(() => entry?.exitCodes.length === 1);
        expect(listClaims().join()).toContain("\"end\"");
    });

    it("records the end later when the store fails after the claim", async () => {
        const { platform } = system.fleet;
        Object.assign(system.services[0]?.faults ?? {}, { hangs: 1 });
        const controller = new AbortController();
        const first = sendCall(system, { id: "job-7", signal: controller.signal }).catch(() => undefined);
        await waitUntil(() => getTotalRuns() === 1);
        platform.startOutage();
        controller.abort();
        await first;
        await waitUntil(() => system.services[0]?.calls[0]?.isCancelled === true);
        expect(listClaims().join()).not.toContain("\"end\"");
        platform.endOutage();
        await waitForEnds(1);
        expect(await sendCall(system, { node: 1, id: "job-7" })).toMatchObject({
            status: 409,
            error: { code: "idempotency_outcome_unknown", verdict: "may_have_run" },
        });
        expect(getTotalRuns()).toBe(1);
    });

    it("refuses dated keys whose claim may be deleted already, and those of the far future", async () => {
        const hour = 3600 * 1000;
        const now = Date.now();
        const codes = await Promise.all([
            { at: now - 168 * hour, code: "idempotency_key_expired" },
            { at: now + hour, code: "idempotency_key_in_future" },
        ].map(async ({ at, code }) => [(await sendCall(system, { id: buildDatedKey(at) })).error, code]));
        for (const [error, code] of codes) {
            expect(error).toMatchObject({ code, verdict: "not_run" });
        }
        expect(getTotalRuns()).toBe(0);
        expect(await sendCall(system, { id: buildDatedKey(now) })).toMatchObject({ status: 200 });
    });

    it("passes the key of a repeatable call on and claims nothing for it", async () => {
        await sendCall(system, { route: "lookup", id: "job-8" });
        await sendCall(system, { route: "lookup", id: "job-8" });
        expect(system.services[0]?.getRunCounts().byKey).toEqual({ "job-8": 2 });
        expect(listClaims()).toEqual([]);
    });
});
