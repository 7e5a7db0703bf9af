import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    chooseRecordedSurge,
    computeSurge,
    isTooLow,
    type RecordedSurge,
    type UsageSample,
} from "../../src/forward/policy/usageSurge";
import { toMillis } from "../../src/ids";

const windowMs = 8000;
const allowedTokens = 8000;
const sampleMs = 250;

/** Samples of the window's usage for tokens that are used in each interval of a sample. */
function listSamples(used: readonly number[]): UsageSample[] {
    const perWindow = windowMs / sampleMs;
    return used.map((_, index) => ({
        at: toMillis((index + 1) * sampleMs),
        tokens: used.slice(Math.max(0, index + 1 - perWindow), index + 1).reduce((sum, tokens) => sum + tokens, 0),
    }));
}

function measure(samples: readonly UsageSample[]): number {
    const [now = { at: toMillis(0), tokens: 0 }] = samples.slice(-1);
    return computeSurge({ samples: samples.slice(-33, -1), now, allowedTokens, windowMs });
}

describe("surge of an account", () => {
    it("is 0 for usage that is spread evenly, up to the whole allowance", () => {
        for (const tokens of [0, 100, 250]) {
            expect(measure(listSamples(new Array<number>(100).fill(tokens)))).toBe(0);
        }
    });

    // Guards against usage that an even decline takes to have left the window.
    it("covers what an even decline of the allowance leaves out, whatever the usage before", () => {
        const quiet = new Array<number>(32).fill(0);
        const property = fc.property(fc.array(fc.nat(900), { minLength: 1, maxLength: 32 }), used => {
            const samples = listSamples([...quiet, ...used]);
            const surge = measure(samples);
            for (let count = 0; count <= 31; count += 1) {
                const usedLast = count === 0 ? 0 : [...quiet, ...used].slice(-count).reduce((sum, t) => sum + t, 0);
                expect(usedLast).toBeLessThanOrEqual(allowedTokens * count / 32 + surge + 1e-6);
            }
        });
        fc.assert(property, { seed: 20261208 });
    });

    it("is recorded with the usage and room for both to grow, from an eighth of the allowance on", () => {
        const choose = (surge: number, used: number, recorded?: RecordedSurge) =>
            chooseRecordedSurge({ surge, used, allowedTokens, recorded });
        expect(choose(999, 8000)).toBeUndefined();
        expect(choose(1000, 1500)).toEqual({ tokens: 2000, used: 2000 });
        expect(choose(2999, 4000)).toEqual({ tokens: 3000, used: 5000 });
        expect(choose(7900, 9000)).toEqual({ tokens: 8000, used: 8000 });
        expect(choose(2000, 1900)).toEqual({ tokens: 3000, used: 3000 });
        // Guards against a row that stays after its surge and names less usage than there is by then.
        expect(choose(0, 4500, { tokens: 2000, used: 4000 })).toEqual({ tokens: 2000, used: 5000 });
        expect(choose(0, 3500, { tokens: 2000, used: 4000 })).toBeUndefined();
        expect(isTooLow(undefined, { tokens: 2000, used: 2000 })).toBe(true);
        expect(isTooLow({ tokens: 3000, used: 4000 }, { tokens: 2000, used: 5000 })).toBe(true);
        expect(isTooLow({ tokens: 3000, used: 4000 }, { tokens: 3000, used: 4000 })).toBe(false);
    });
});
