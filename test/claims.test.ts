/** A non-repeatable call runs at most once, and answers to repeated calls state correctly whether it ran. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "./support/fleet";
import { otherKey, sendCall, type ServiceFleet, shopKey, startServiceFleet } from "./support/services";

/** UUIDv7 of a point in time, in milliseconds since the Unix epoch. */
function buildDatedKey(at: number): string {
    const time = Math.floor(at).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000001`;
}

describe("claims of non-repeatable calls", () => {
    let serviceFleet: ServiceFleet;

    beforeEach(async () => {
        serviceFleet = await startServiceFleet({ nodes: 2, overrides: { timeouts: { drainNoticeMs: 100 } } });
    });

    afterEach(async () => {
        await serviceFleet.stop();
    });

    const getTotalRuns = (): number =>
        serviceFleet.services.reduce((sum, service) => sum + service.getRunCounts().total, 0);
    const listClaims = (): string[] =>
        serviceFleet.fleet.platform.store.listRange("claims/", "claims0").map(row => row.value);
    const waitForRecordedEnds = (count: number): Promise<void> =>
        waitUntil(() => listClaims().filter(value => value.includes("\"end\"")).length === count);

    it("refuses a call without an idempotency key, because its repetition could not be recognised", async () => {
        expect(await sendCall(serviceFleet)).toMatchObject({
            status: 400,
            error: { code: "idempotency_key_missing", verdict: "not_run" },
        });
        expect(getTotalRuns()).toBe(0);
    });

    it("runs a call once when two VMs receive it at the same time", async () => {
        const answers = await Promise.all([0, 1, 0, 1].map(node => sendCall(serviceFleet, { node, id: "job-1" })));
        expect(getTotalRuns()).toBe(1);
        const repeatedAnswers = answers.filter(answer =>
            answer.status !== 200 || answer.headers.has("idempotent-replayed")
        );
        expect(repeatedAnswers).toHaveLength(3);
        for (const answer of repeatedAnswers.filter(({ status }) => status !== 200)) {
            expect(answer).toMatchObject({ status: 409, error: { verdict: "may_have_run" } });
        }
    });

    it("replays the answer of a finished call and refuses its key with another body or path", async () => {
        const firstAnswer = await sendCall(serviceFleet, { id: "job-2" });
        await waitForRecordedEnds(1);
        const replayedAnswer = await sendCall(serviceFleet, { node: 1, id: "job-2" });
        expect([replayedAnswer.status, replayedAnswer.text]).toEqual([200, firstAnswer.text]);
        expect(replayedAnswer.headers.get("idempotent-replayed")).toBe("true");
        for (const change of [{ body: "job 3" }, { path: "/other" }]) {
            expect(await sendCall(serviceFleet, { id: "job-2", ...change })).toMatchObject({
                status: 422,
                error: { code: "idempotency_key_reused", verdict: "not_run" },
            });
        }
        expect(getTotalRuns()).toBe(1);
    });

    it("answers that a call has run when its answer was too large to store", async () => {
        Object.assign(serviceFleet.services[0]?.faults ?? {}, { fillerBytes: 100_000 });
        await sendCall(serviceFleet, { id: "job-3" });
        await waitForRecordedEnds(1);
        expect(await sendCall(serviceFleet, { id: "job-3" })).toMatchObject({
            status: 409,
            error: { code: "idempotency_finished", verdict: "ran" },
        });
        expect(getTotalRuns()).toBe(1);
    });

    it("separates the claims of client accounts, so that one cannot block or read another's calls", async () => {
        const answers = await Promise.all(
            [shopKey, otherKey].map(bearer => sendCall(serviceFleet, { id: "job-4", bearer })),
        );
        expect(answers.map(answer => answer.status)).toEqual([200, 200]);
        expect(getTotalRuns()).toBe(2);
    });

    it("runs a call once when the store's answer to the creation of its claim was lost", async () => {
        serviceFleet.fleet.platform.faults.loseAnswers = 1;
        expect(await sendCall(serviceFleet, { id: "job-5" })).toMatchObject({ status: 200 });
        await waitForRecordedEnds(1);
        expect(getTotalRuns()).toBe(1);
    });

    it("refuses a call as not run while the store is down, and runs it once afterwards", async () => {
        serviceFleet.fleet.platform.startOutage();
        const refused = await sendCall(serviceFleet, { id: "job-6" });
        expect(refused).toMatchObject({ status: 503, error: { code: "store_unavailable", verdict: "not_run" } });
        expect(serviceFleet.services[0]?.calls).toEqual([]);
        serviceFleet.fleet.platform.endOutage();
        expect(await sendCall(serviceFleet, { id: "job-6" })).toMatchObject({ status: 200 });
        expect(getTotalRuns()).toBe(1);
    });

    it("records the ends of claims before a draining process exits", async () => {
        const [drainingProcess] = serviceFleet.fleet.nodes;
        const { platform } = serviceFleet.fleet;
        Object.assign(serviceFleet.services[0]?.faults ?? {}, { hangs: 1 });
        const call = sendCall(serviceFleet, { id: "job-7", headers: { "x-request-timeout-ms": "1500" } });
        await waitUntil(() => getTotalRuns() === 1);
        platform.startOutage();
        expect(await call).toMatchObject({ error: { verdict: "may_have_run" } });
        drainingProcess?.node.drain();
        await waitUntil(async () => (await sendCall(serviceFleet, { id: "job-8" })).error.code === "draining");
        platform.endOutage();
        await waitUntil(() => drainingProcess?.exitCodes.length === 1);
        expect(listClaims().join()).toContain("\"end\"");
    });

    it("records the end of a claim after a store outage that began after the claim was created", async () => {
        const { platform } = serviceFleet.fleet;
        Object.assign(serviceFleet.services[0]?.faults ?? {}, { hangs: 1 });
        const controller = new AbortController();
        const firstCall = sendCall(serviceFleet, { id: "job-7", signal: controller.signal }).catch(() => undefined);
        await waitUntil(() => getTotalRuns() === 1);
        platform.startOutage();
        controller.abort();
        await firstCall;
        await waitUntil(() => serviceFleet.services[0]?.calls[0]?.isCancelled === true);
        expect(listClaims().join()).not.toContain("\"end\"");
        platform.endOutage();
        await waitForRecordedEnds(1);
        expect(await sendCall(serviceFleet, { node: 1, id: "job-7" })).toMatchObject({
            status: 409,
            error: { code: "idempotency_outcome_unknown", verdict: "may_have_run" },
        });
        expect(getTotalRuns()).toBe(1);
    });

    it("refuses dated keys whose claims may already be deleted, and those too far in the future", async () => {
        const hourMs = 3600 * 1000;
        const now = Date.now();
        const codes = await Promise.all([
            { at: now - 168 * hourMs, code: "idempotency_key_expired" },
            { at: now + hourMs, code: "idempotency_key_in_future" },
        ].map(async ({ at, code }) => [(await sendCall(serviceFleet, { id: buildDatedKey(at) })).error, code]));
        for (const [error, code] of codes) {
            expect(error).toMatchObject({ code, verdict: "not_run" });
        }
        expect(getTotalRuns()).toBe(0);
        expect(await sendCall(serviceFleet, { id: buildDatedKey(now) })).toMatchObject({ status: 200 });
    });

    it("passes on the idempotency key of a repeatable call and creates no claim for it", async () => {
        await sendCall(serviceFleet, { route: "lookup", id: "job-8" });
        await sendCall(serviceFleet, { route: "lookup", id: "job-8" });
        expect(serviceFleet.services[0]?.getRunCounts().byKey).toEqual({ "job-8": 2 });
        expect(listClaims()).toEqual([]);
    });
});
