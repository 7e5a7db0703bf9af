/** Deployments and fault cases of the policy benchmark. */
import type { Deployment } from "./workload";

export interface FaultCase {
    /** Interval at which the most requested prefixes change. */
    readonly shiftEveryMs: number;
    /** One account sends `factor` times its rate between two points of the run, given as fractions of the run. */
    readonly burst: { readonly account: number; readonly factor: number; readonly from: number; readonly to: number; };
    /** Engine crashes: `at` is a fraction of the run, `downMs` the time until the engine is up again. */
    readonly crashes: readonly { readonly engine: number; readonly at: number; readonly downMs: number; }[];
    readonly reportLagMs: number;
    readonly cacheEventDelayMs: number;
    /** Fraction of the cache events that are lost. */
    readonly cacheEventLoss: number;
}

const calm: FaultCase = {
    shiftEveryMs: 120_000,
    burst: { account: 1, factor: 1, from: 0, to: 0 },
    crashes: [],
    reportLagMs: 200,
    cacheEventDelayMs: 250,
    cacheEventLoss: 0.01,
};

export const faultCases = {
    calm,
    "hot set shift": { ...calm, shiftEveryMs: 15_000 },
    "one account at 4x": { ...calm, burst: { account: 1, factor: 4, from: 0.3, to: 0.8 } },
    "engine lost": {
        ...calm,
        crashes: [{ engine: 0, at: 0.35, downMs: 8000 }, { engine: 1, at: 0.7, downMs: 8000 }],
    },
    /**
     * No cache event arrives. This approximates the fleet's target size, at which 98 to 99 of 100 cache events cannot
     * be transmitted.
     */
    "no cache events": { ...calm, cacheEventLoss: 1 },
    "late and gappy": { ...calm, reportLagMs: 1500, cacheEventDelayMs: 3000, cacheEventLoss: 0.3 },
} as const satisfies Record<string, FaultCase>;

export type FaultCaseName = keyof typeof faultCases;

/**
 * Both deployments at their present sizes. At these request rates the engines are busy for 60 to 80% of the time in the
 * calm case with an omniscient baseline; the benchmark prints the fraction.
 */
export const deployments = {
    sulina: {
        name: "Sulina",
        engines: 6,
        dataCentres: 3,
        accountShares: [0.4, 0.3, 0.15, 0.1, 0.05],
        topsPerAccount: 6,
        topBlocks: 5,
        middlesPerTop: 16,
        middleBlocks: [2, 2],
        zipfExponent: 1,
        tailTokens: [300, 3900],
        outputTokens: [40, 120],
        requestsPerSecond: 42,
        engine: { slots: 16, maxBlocks: 120, prefillTokensPerSecond: 40_000, decodeMs: 15 },
        affinityWeight: 3,
        focus: "firstToken",
    },
    authority: {
        name: "Authority",
        engines: 8,
        dataCentres: 3,
        accountShares: [0.35, 0.3, 0.2, 0.1, 0.05],
        topsPerAccount: 3,
        topBlocks: 4,
        middlesPerTop: 16,
        middleBlocks: [7, 13],
        zipfExponent: 1,
        tailTokens: [300, 3900],
        outputTokens: [60, 200],
        requestsPerSecond: 30,
        engine: { slots: 16, maxBlocks: 240, prefillTokensPerSecond: 40_000, decodeMs: 15 },
        affinityWeight: 4,
        focus: "hitRate",
    },
} as const satisfies Record<string, Deployment>;

export type DeploymentName = keyof typeof deployments;
