import { describe, expect, it } from "vitest";
import { toPartId } from "../../src/forward/ids";
import { type CrashEvidence, type CrashingPartInput, findCrashingPart } from "../../src/forward/policy/crashingPart";
import { toMillis } from "../../src/ids";

const buildCrash = (failedAt: number, ...parts: readonly string[]): CrashEvidence => ({
    failedAt: toMillis(failedAt),
    suspects: new Map(parts.map((part, depth) => [toPartId(part), depth])),
});

/** Finds the part to blame, with the times of answers by part. */
function findPart(
    crashes: readonly CrashEvidence[],
    answeredAt: Readonly<Record<string, number>> = {},
    options: Partial<CrashingPartInput> = {},
): string | undefined {
    return findCrashingPart({
        crashes,
        getAnsweredAt: part => part in answeredAt ? toMillis(answeredAt[part] ?? 0) : undefined,
        isQuarantined: () => false,
        getRequiredCrashes: () => 3,
        ...options,
    })?.part;
}

const threeCrashes = [1000, 2000, 3000].map(failedAt => buildCrash(failedAt, "root", "file", "crashing"));

describe("the part to blame for crashes", () => {
    it("is the deepest of several that recur, since other prompts share the parts before it", () => {
        expect(findPart(threeCrashes)).toBe("crashing");
    });

    it("is one that was answered longest ago, before deeper ones", () => {
        expect(findPart(threeCrashes, { file: -9000, crashing: -3000 })).toBe("root");
    });

    it("is none that was answered after the crashes, or shortly before the first", () => {
        expect(findPart(threeCrashes, { root: 3500, file: 3500, crashing: 3500 })).toBeUndefined();
        expect(findPart(threeCrashes, { root: 100, file: 100, crashing: 100 })).toBeUndefined();
    });

    it("is none while all engines ended at the same moment", () => {
        expect(findPart([1000, 1010, 1020, 1030].map(at => buildCrash(at, "file")))).toBeUndefined();
    });

    // Guards against parts that are blamed because they were on engines that a known part ended.
    it("is none for crashes in which a part in quarantine is a suspect", () => {
        const isQuarantined = (part: string): boolean => part === "crashing";
        expect(findPart(threeCrashes, {}, { isQuarantined })).toBeUndefined();
        const oneMore = [...threeCrashes, buildCrash(4000, "root", "file")];
        expect(findPart(oneMore, {}, { isQuarantined })).toBeUndefined();
    });

    it("is one on probation after a single crash", () => {
        const getRequiredCrashes = (part: string): number => part === "crashing" ? 1 : 3;
        expect(findPart(threeCrashes.slice(0, 1), {}, { getRequiredCrashes })).toBe("crashing");
    });
});
