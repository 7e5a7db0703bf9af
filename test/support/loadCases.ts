/** Cases of the load of a fleet with many engines, for the test and the benchmark of even load. */
import type { ForwardTestNode } from "./forwardNode";
import { computeSpread, findQuantile, type LoadKind, type LoadSpread, runLoadFleet } from "./loadFleet";

/** Long prompts with few, uneven shared parts, and short ones. */
const kinds: readonly LoadKind[] = [
    { path: "/a/", perSecond: 145, sharedTokens: 6300, ownTokens: 2890, sharedParts: 40 },
    { path: "/b/", perSecond: 245, sharedTokens: 500, ownTokens: 326, sharedParts: 100 },
];
const engines = 63;
const measuredMs = 6000;
const burstStartMs = 5500;
const burstMs = 3000;
const burstFactor = 2.4;

/** Factors on the rates of `kinds`. */
export const loadCases = {
    steady: () => 4,
    burst: (now: number) => 1.6 * (now >= burstStartMs && now < burstStartMs + burstMs ? burstFactor : 1),
} as const;

export type LoadCaseName = keyof typeof loadCases;

/** Time of one prompt of the long kind that has to be computed whole: an engine with less has no queue. */
const onePromptMs = (6300 + 2890) / 50;

/** Interval between exchanges of a pair of processes. */
export const computeIntervalMs = (nodes: number): number => Math.max(300, 50 * nodes);

export interface LoadCaseOptions {
    readonly nodes: number;
    readonly load: LoadCaseName;
    readonly estimatesLoad: boolean;
    /** Speeds of the engines relative to the usual one. */
    readonly computeSpeed?: (engine: number) => number;
}

export interface LoadCaseFigures extends LoadSpread {
    readonly hitShare: number;
    readonly refusedShare: number;
    readonly firstEventP95Ms: number;
    readonly firstEventP99Ms: number;
}

/** Runs one case and computes its figures. */
export async function runLoadCase(
    { nodes, load, estimatesLoad, computeSpeed }: LoadCaseOptions,
): Promise<LoadCaseFigures> {
    const applySettings = ({ world }: ForwardTestNode): void => {
        world.settings = { ...world.settings, routing: { estimatesLoad, sharesFailures: false } };
    };
    const computeRateFactor = loadCases[load];
    const fleet = {
        nodes,
        engines,
        kinds,
        computeRateFactor,
        prepareNode: applySettings,
        ...(computeSpeed ? { computeSpeed } : {}),
    };
    const figures = await runLoadFleet(fleet, measuredMs);
    const spread = computeSpread(figures, computeIntervalMs(nodes), meanMs => Math.max(2 * meanMs, onePromptMs));
    return {
        ...spread,
        hitShare: figures.hits / figures.sent,
        refusedShare: figures.refused / Math.max(1, figures.sent + figures.refused),
        firstEventP95Ms: findQuantile(figures.firstEventMs, 0.95),
        firstEventP99Ms: findQuantile(figures.firstEventMs, 0.99),
    };
}
