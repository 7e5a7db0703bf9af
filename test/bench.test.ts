/** Guards the fakes of the policy benchmark: a figure is of use only if runs are repeatable and lose no request. */
import { describe, expect, test } from "vitest";
import { deployments, faultCases } from "../bench/cases";
import { ownPolicy, type PolicyName, type PolicyRun, runPolicy } from "../bench/fleet";
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
        expect(await runShort(ownPolicy)).toEqual(await runShort(ownPolicy));
    });

    test("ends every request, also those that an engine lost", async () => {
        const run = await runShort(ownPolicy);
        expect(run.arrivals).toBeGreaterThan(200);
        expect(run.ended).toBe(run.arrivals);
    });

    test("knows the caches exactly in the omniscient baseline", async () => {
        const omniscient = await runShort("omniscient, hits");
        const random = await runShort("random");
        expect(omniscient.figures.hitRate).toBeGreaterThanOrEqual(random.figures.hitRate);
        expect(omniscient.figures.wastedTokens).toBeLessThanOrEqual(random.figures.wastedTokens);
    });

    test("keeps requests with their prefix while engines fill up, so that overload does not feed itself", async () => {
        const omniscient = await runShort("omniscient, hits", 600);
        const own = await runShort(ownPolicy, 600);
        expect(own.figures.hitRate).toBeGreaterThanOrEqual(0.9 * omniscient.figures.hitRate);
    });
});
