/** The policy benchmark: its figures are valid only if its runs are reproducible and lose no request. */
import { describe, expect, test } from "vitest";
import { deployments, faultCases } from "../bench/cases";
import { type PolicyName, type PolicyRun, routerPolicy, runPolicy } from "../bench/policyRun";
import { loadHasher } from "../src/adapters/hasher";

async function runShort(policy: PolicyName, requests = 300): Promise<PolicyRun> {
    const hasher = await loadHasher();
    return runPolicy({
        deployment: deployments.sulina,
        fault: faultCases["engine lost"],
        policy,
        seed: 7,
        requests,
        hasher,
    });
}

describe("policy benchmark", () => {
    test("gives the same figures for the same seed, so that two policies can be compared", async () => {
        expect(await runShort(routerPolicy)).toEqual(await runShort(routerPolicy));
    });

    test("ends every request, including those lost by an engine", async () => {
        const run = await runShort(routerPolicy);
        expect(run.arrivalCount).toBeGreaterThan(200);
        expect(run.endedCount).toBe(run.arrivalCount);
    });

    test("gives the omniscient baseline no lower hit rate and no more wasted tokens than random routing", async () => {
        const omniscient = await runShort("omniscient, hits");
        const random = await runShort("random");
        expect(omniscient.figures.hitRate).toBeGreaterThanOrEqual(random.figures.hitRate);
        expect(omniscient.figures.wastedTokens).toBeLessThanOrEqual(random.figures.wastedTokens);
    });

    test("keeps routing by prefix as engines fill up, so that cache misses do not add to an overload", async () => {
        const omniscient = await runShort("omniscient, hits", 600);
        const routerRun = await runShort(routerPolicy, 600);
        expect(routerRun.figures.hitRate).toBeGreaterThanOrEqual(0.9 * omniscient.figures.hitRate);
    });
});
