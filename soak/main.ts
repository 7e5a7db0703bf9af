/** `npm run soak`: real processes under random faults; prints the seed, the faults and the violated guarantees. */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { parseArgs } from "node:util";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { deadlineMs, sendRequests } from "./callers";
import { checkGuarantees } from "./checks";
import {
    createClientFaults,
    createConfigurationFaults,
    createContentFaults,
    createDamageFaults,
    createDeathFaults,
    createEngineFaults,
    createFaults,
    createFramingFaults,
    createIsolationFaults,
    runFaults,
} from "./faults";
import { registerServers, startSoakWorld, stopSoakWorld } from "./fleet";
import { regressionSeeds } from "./regressionSeeds";
import { getSoakTime, type SoakWorld } from "./tables";

const tickMs = 25;
const ticksPerRequest = 2;
const durationMs = 15_000;
const faultsPerRun = 10;
const engineFaultsPerRun = 2;
const engineFaultSeedOffset = 1_000_000;
const contentFaultsPerRun = 1;
const framingFaultsPerRun = 2;
const contentFaultSeedOffset = 2_000_000;
const framingFaultSeedOffset = 3_000_000;
const deathFaultsPerRun = 2;
const deathFaultSeedOffset = 4_000_000;
const clientFaultsPerRun = 1;
const clientFaultSeedOffset = 5_000_000;
const configurationFaultsPerRun = 1;
const configurationFaultSeedOffset = 6_000_000;
const damageFaultsPerRun = 1;
const damageFaultSeedOffset = 7_000_000;
const isolationFaultsPerRun = 2;
const isolationFaultSeedOffset = 8_000_000;
/** Time after the last deadline in which answers can still arrive. */
const lateAnswerMs = 1500;

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

function writeLogs(world: SoakWorld): string {
    const directory = path.join("soak-logs", `seed-${world.seed}`);
    mkdirSync(directory, { recursive: true });
    for (const { vm, log } of world.routers) {
        writeFileSync(path.join(directory, `${vm}.log`), log);
    }
    return directory;
}

function printRun(world: SoakWorld): void {
    const served = world.requests.filter(({ answer }) => answer?.status === 200 && answer.isComplete).length;
    const verdict = world.violations.size === 0 ? "passed" : "FAILED";
    console.log(`seed ${world.seed}: ${verdict}; ${served} of ${world.requests.length} requests served`);
    for (const { kind, startsAt, endsAt } of world.faults) {
        console.log(`  ${Math.round(startsAt)} to ${Math.round(endsAt)} ms: ${kind}`);
    }
    for (const violation of world.violations) {
        console.log(`  VIOLATED ${violation}`);
    }
    if (world.violations.size > 0) {
        console.log(`  logs: ${writeLogs(world)}`);
    }
}

/** Runs one seed; returns whether every guarantee was kept. */
async function runSeed(seed: number, processCount: number): Promise<boolean> {
    const generator = xoroshiro128plus(seed);
    const world = await startSoakWorld({ seed, random: () => uniformFloat64(generator), durationMs, processCount });
    const engineFaultGenerator = xoroshiro128plus(seed + engineFaultSeedOffset);
    const contentFaultGenerator = xoroshiro128plus(seed + contentFaultSeedOffset);
    const framingFaultGenerator = xoroshiro128plus(seed + framingFaultSeedOffset);
    const deathFaultGenerator = xoroshiro128plus(seed + deathFaultSeedOffset);
    const clientFaultGenerator = xoroshiro128plus(seed + clientFaultSeedOffset);
    const configurationFaultGenerator = xoroshiro128plus(seed + configurationFaultSeedOffset);
    const damageFaultGenerator = xoroshiro128plus(seed + damageFaultSeedOffset);
    const isolationFaultGenerator = xoroshiro128plus(seed + isolationFaultSeedOffset);
    world.faults.push(
        ...createFaults(world, faultsPerRun),
        ...createEngineFaults(() => uniformFloat64(engineFaultGenerator), world, engineFaultsPerRun),
        ...createContentFaults(() => uniformFloat64(contentFaultGenerator), world, contentFaultsPerRun),
        ...createFramingFaults(() => uniformFloat64(framingFaultGenerator), world, framingFaultsPerRun),
        ...createDeathFaults(() => uniformFloat64(deathFaultGenerator), world, deathFaultsPerRun),
        ...createClientFaults(() => uniformFloat64(clientFaultGenerator), world, clientFaultsPerRun),
        ...createConfigurationFaults(
            () => uniformFloat64(configurationFaultGenerator),
            world,
            configurationFaultsPerRun,
        ),
        ...createDamageFaults(() => uniformFloat64(damageFaultGenerator), world, damageFaultsPerRun),
        ...createIsolationFaults(() => uniformFloat64(isolationFaultGenerator), world, isolationFaultsPerRun),
    );
    for (let tick = 0; getSoakTime(world) < durationMs; tick += 1) {
        runFaults(world);
        registerServers(world);
        if (tick % ticksPerRequest === 0) {
            sendRequests(world);
        }
        await wait(tickMs);
    }
    await wait(deadlineMs + lateAnswerMs);
    checkGuarantees(world);
    await stopSoakWorld(world);
    printRun(world);
    return world.violations.size === 0;
}

interface SeedOptions {
    readonly firstSeed: number;
    /** Difference between one seed and the next; small ones draw faults at nearly the same times. */
    readonly stride: number;
    /** Minimum number of seeds; more are run until `minutes` have passed. */
    readonly seedCount: number;
    readonly minutes: number;
    /** Router processes of each run. */
    readonly processCount: number;
    /** Runs the regression seeds first. */
    readonly shouldRunRegressions: boolean;
}

/** Runs seeds one after the other; resolves with those that violated a guarantee. */
async function runSeeds(
    { firstSeed, stride, seedCount, minutes, processCount, shouldRunRegressions }: SeedOptions,
): Promise<readonly number[]> {
    const end = performance.now() + minutes * 60_000;
    const failedSeeds: number[] = [];
    const seedsToRepeat = shouldRunRegressions ? regressionSeeds.map(({ seed }) => seed) : [];
    let count = 0;
    while (count < seedsToRepeat.length + seedCount || performance.now() < end) {
        const seed = seedsToRepeat[count] ?? firstSeed + (count - seedsToRepeat.length) * stride;
        count += 1;
        if (!(await runSeed(seed, processCount))) {
            failedSeeds.push(seed);
        }
    }
    const list = failedSeeds.length > 0 ? `: ${failedSeeds.join(", ")}` : "";
    console.log(`${count} seeds, ${failedSeeds.length} with a violated guarantee${list}`);
    return failedSeeds;
}

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "5" },
        seed: { type: "string", default: String(Date.now() % 1_000_000_000) },
        stride: { type: "string", default: "1" },
        minutes: { type: "string", default: "0" },
        processes: { type: "string", default: "3" },
        kept: { type: "boolean", default: false },
    },
});
const options = {
    firstSeed: Number(values.seed),
    stride: Number(values.stride),
    seedCount: Number(values.seeds),
    minutes: Number(values.minutes),
    processCount: Number(values.processes),
    shouldRunRegressions: values.kept,
};
runSeeds(options).then(
    failedSeeds => process.exit(failedSeeds.length > 0 ? 1 : 0),
    (error: unknown) => {
        console.error(error);
        process.exit(1);
    },
);
