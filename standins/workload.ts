/** Workload with nested shared prompts: a document, then a shop's or case's part, then the request. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { blockTokens, bytesPerToken, type DeploymentPlan } from "./deployments";

export type Random = () => number;

/** Creates a seeded generator of numbers in [0, 1). */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/** Chooses an index with a probability that falls with its rank, so that a few are chosen most of the time. */
export function chooseRank(random: Random, count: number): number {
    const weights = Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** 1.2);
    let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [rank, weight] of weights.entries()) {
        remaining -= weight;
        if (remaining <= 0) {
            return rank;
        }
    }
    return count - 1;
}

const blockBytes = blockTokens * bytesPerToken;

/** Builds a text that fills whole cache blocks and depends on `name`. */
function createText(name: string, blocks: number): string {
    return `${name} `.repeat(Math.ceil((blocks * blockBytes) / (name.length + 1))).slice(0, blocks * blockBytes);
}

/** Creates the prompt of one request of an account. */
export function createPrompt(plan: DeploymentPlan, account: string, random: Random, sequence: number): string {
    const document = chooseRank(random, plan.documents);
    const part = chooseRank(random, plan.casesPerDocument);
    const shared = createText(`${account} document ${document}`, plan.documentBlocks);
    const nested = createText(`${account} document ${document} part ${part}`, plan.caseBlocks);
    return `${shared}${nested}request ${sequence} of ${account}: write a short answer.`;
}

/** Delay until the next request of a Poisson process, in milliseconds. */
export const computeArrivalDelay = (random: Random, perSecond: number): number =>
    (-Math.log(1 - random()) / perSecond) * 1000;
