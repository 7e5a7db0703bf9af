/** Workloads of the two deployments: accounts, nested prompts and arrivals, generated from a seed before a run. */
import { type AccountId, type DataCentreId, type TargetId, toAccountId, toTargetId } from "../src/ids";
import type { FaultCase } from "./cases";
import { buildCumulative, buildZipf, chooseArrivalGap, chooseIndex, chooseInteger, createRandom } from "./random";

/** Sizes of one deployment. Lengths of shared prefixes are in blocks of `blockTokens` tokens. */
export interface Deployment {
    readonly name: string;
    readonly engines: number;
    readonly dataCentres: number;
    /** Fraction of the requests that each account sends. */
    readonly accountShares: readonly number[];
    /** Number of first-level prefixes, such as catalogues or referral policies, of one account. */
    readonly topsPerAccount: number;
    readonly topBlocks: number;
    /** Number of second-level prefixes, such as shops or cases, below each first-level prefix. */
    readonly middlesPerTop: number;
    /** Range from which the length of each second-level prefix is drawn. */
    readonly middleBlocks: readonly [number, number];
    readonly zipfExponent: number;
    /** Range of the tokens of the request itself, which follow the prefixes. */
    readonly tailTokens: readonly [number, number];
    readonly outputTokens: readonly [number, number];
    readonly requestsPerSecond: number;
    readonly engine: EngineSize;
    readonly affinityWeight: number;
    /** Figure that matters most to the operators of this deployment. */
    readonly focus: "hitRate" | "firstToken";
}

export interface EngineSize {
    readonly slots: number;
    readonly maxBlocks: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeMs: number;
}

export const blockTokens = 4000;
export const maxTokens = 256;
/** Ratio of an account's rate to the tokens that it needs on average. */
const rateHeadroom = 1.5;
const burstSeconds = 30;
/** Time before the first request in which the process reads its configuration and the state of the engines. */
const firstArrivalMs = 2000;

export interface Arrival {
    readonly at: number;
    readonly account: AccountId;
    /** Number of the nested prefix at each level; unique in the deployment. */
    readonly top: number;
    readonly middle: number;
    readonly topBlocks: number;
    readonly middleBlocks: number;
    readonly tailTokens: number;
    readonly outputTokens: number;
}

export const computePromptTokens = (arrival: Arrival): number =>
    (arrival.topBlocks + arrival.middleBlocks) * blockTokens + arrival.tailTokens;

export const listAccounts = (deployment: Deployment): AccountId[] =>
    deployment.accountShares.map((_, index) => toAccountId(`account-${index}`));

export const listEngines = (deployment: Deployment): { readonly id: TargetId; readonly dataCentre: DataCentreId; }[] =>
    Array.from({ length: deployment.engines }, (_, index) => ({
        id: toTargetId(`engine-${index}`),
        dataCentre: `dc-${index % deployment.dataCentres}` as DataCentreId,
    }));

export const computeMean = ([from, to]: readonly [number, number]): number => (from + to) / 2;

/** Rate and burst of an account in tokens, over the whole fleet. */
export function computeAccountLimits(deployment: Deployment, account: number): { rate: number; burst: number; } {
    const prompt = (deployment.topBlocks + computeMean(deployment.middleBlocks)) * blockTokens
        + computeMean(deployment.tailTokens);
    const share = deployment.accountShares[account] ?? 0;
    const rate = Math.ceil(rateHeadroom * share * deployment.requestsPerSecond * (prompt + maxTokens));
    return { rate, burst: rate * burstSeconds };
}

/** Builds the arrivals of one run. Every policy is run with the same arrivals. */
export function buildArrivals(
    deployment: Deployment,
    fault: FaultCase,
    { seed, requests }: { readonly seed: number; readonly requests: number; },
): readonly Arrival[] {
    const random = createRandom(seed);
    const runMs = (requests / deployment.requestsPerSecond) * 1000;
    const topWeights = buildZipf(deployment.topsPerAccount, deployment.zipfExponent);
    const middleWeights = buildZipf(deployment.middlesPerTop, deployment.zipfExponent);
    const accounts = listAccounts(deployment);
    const middleSizes = new Map<number, number>();
    const arrivals: Arrival[] = [];
    let at = firstArrivalMs;
    while (at < firstArrivalMs + runMs) {
        const isBurst = at >= runMs * fault.burst.from && at < runMs * fault.burst.to;
        const shares = deployment.accountShares.map((share, index) =>
            share * (isBurst && index === fault.burst.account ? fault.burst.factor * rateHeadroom : 1)
        );
        const total = shares.reduce((sum, share) => sum + share, 0);
        at += chooseArrivalGap(random, deployment.requestsPerSecond * total);
        const account = chooseIndex(random, buildCumulative(shares));
        // Each shift moves the most requested prefixes by one rank.
        const shift = Math.floor(at / fault.shiftEveryMs);
        const top = (chooseIndex(random, topWeights) + shift) % deployment.topsPerAccount;
        const middle = (chooseIndex(random, middleWeights) + shift) % deployment.middlesPerTop;
        const topNumber = account * deployment.topsPerAccount + top;
        const middleNumber = topNumber * deployment.middlesPerTop + middle;
        const middleBlocks = middleSizes.get(middleNumber) ?? chooseInteger(random, ...deployment.middleBlocks);
        middleSizes.set(middleNumber, middleBlocks);
        arrivals.push({
            at,
            account: accounts[account] as AccountId,
            top: topNumber,
            middle: middleNumber,
            topBlocks: deployment.topBlocks,
            middleBlocks,
            tailTokens: chooseInteger(random, ...deployment.tailTokens),
            outputTokens: chooseInteger(random, ...deployment.outputTokens),
        });
    }
    return arrivals;
}

/** Writes the prompt of an arrival: equal prefixes get equal bytes, one byte for each token. */
export function buildPrompt(arrival: Arrival, number: number): Uint8Array {
    const prompt = new Uint8Array(computePromptTokens(arrival));
    const view = new DataView(prompt.buffer);
    const blocks = arrival.topBlocks + arrival.middleBlocks;
    for (let index = 0; index < blocks; index += 1) {
        const isTop = index < arrival.topBlocks;
        view.setUint32(index * blockTokens, isTop ? 1 : 2);
        view.setUint32(index * blockTokens + 4, isTop ? arrival.top : arrival.middle);
        view.setUint32(index * blockTokens + 8, index);
    }
    view.setUint32(blocks * blockTokens, number);
    return prompt;
}
