/** Seeded random numbers for benchmarks. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface Random {
    /** Returns a number in [0, 1). */
    readonly getNext: () => number;
}

export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return { getNext: () => uniformFloat64(generator) };
}

export const chooseInteger = (random: Random, from: number, to: number): number =>
    from + Math.floor(random.getNext() * (to - from + 1));

/** Chooses the time to the next arrival of a Poisson process, in milliseconds. */
export const chooseArrivalGap = (random: Random, perSecond: number): number =>
    (-Math.log(1 - random.getNext()) / perSecond) * 1000;

/** Builds the cumulative weights of a Zipf distribution over `count` ranks. */
export function buildZipf(count: number, exponent: number): readonly number[] {
    const weights = Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** exponent);
    return buildCumulative(weights);
}

export function buildCumulative(weights: readonly number[]): readonly number[] {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let sum = 0;
    return weights.map(weight => (sum += weight) / total);
}

export function chooseIndex(random: Random, cumulative: readonly number[]): number {
    const value = random.getNext();
    const index = cumulative.findIndex(limit => value < limit);
    return index < 0 ? cumulative.length - 1 : index;
}
