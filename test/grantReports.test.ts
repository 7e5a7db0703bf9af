/** Grant reports: a lost, repeated, late or reordered report must not return a token to the bucket twice. */
import fc from "fast-check";
import { expect, it } from "vitest";
import { toGrantId, toMillis } from "../src/ids";
import type { GrantReport } from "../src/peers";
import { createBucket, reserveFromBucket, updateBucket } from "../src/policy/bucket";
import { settleReport } from "../src/policy/settlement";

const steps = fc.array(fc.record({ spent: fc.nat(20), returned: fc.nat(20) }), { minLength: 1, maxLength: 8 });
const arrivals = fc.array(fc.record({ report: fc.nat(), at: fc.integer({ min: 0, max: 2000 }) }), { maxLength: 20 });

it("credits at most the tokens that the holder returned, in any order of arrival", () => {
    fc.assert(
        fc.property(steps, arrivals, (planned, deliveries) => {
            const bucket = createBucket({ rate: 1000, burst: 100, now: toMillis(0) });
            updateBucket(bucket, toMillis(1000));
            reserveFromBucket(bucket, 100);
            // Stops the refill, so that every change of the level comes from the grant.
            bucket.rate = 0;
            let [spent, returned] = [0, 0];
            const reports = planned.map((step, index): GrantReport => {
                spent = Math.min(100 - returned, spent + step.spent);
                returned = Math.min(100 - spent, returned + step.returned);
                const reserved = 100 - spent - returned;
                return { grant: toGrantId("1.1"), sequence: index + 1, spent, returned, reserved, reservedForMs: 500 };
            });
            const grant = {
                outstanding: 100,
                sequence: 0,
                spent: 0,
                returned: 0,
                reserved: 0,
                reservedUntil: toMillis(0),
                isCreditable: true,
                expiresAt: toMillis(1000),
            };
            for (const { report, at } of deliveries) {
                settleReport(bucket, grant, reports[report % reports.length] as GrantReport, toMillis(at));
                expect(bucket.level).toBeLessThanOrEqual(returned);
                expect(bucket.outstanding).toBe(grant.outstanding);
                expect(bucket.level + bucket.outstanding).toBeLessThanOrEqual(100);
            }
        }),
        { seed: 20261204, numRuns: 2000 },
    );
});
