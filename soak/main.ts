/** `npm run soak`: real processes under drawn faults; prints the seed, the faults and what broke a promise. */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { parseArgs } from "node:util";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { deadlineMs, sendRequests } from "./callers";
import { checkPromises } from "./checks";
import { createFaults, runFaults } from "./faults";
import { registerServers, startSoakWorld, stopSoakWorld } from "./fleet";
import { keptSeeds } from "./keptSeeds";
import { getSoakTime, type SoakWorld } from "./tables";

const tickMs = 25;
const requestEveryTicks = 2;
const lengthMs = 15_000;
const faultCount = 10;
/** Time after the last deadline in which answers may still arrive. */
const settleMs = 1500;

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

function writeLogs(world: SoakWorld): string {
    const directory = path.join("soak-logs", `seed-${world.seed}`);
    mkdirSync(directory, { recursive: true });
    for (const { vm, log } of world.nodes) {
        writeFileSync(path.join(directory, `${vm}.log`), log);
    }
    return directory;
}

function printRun(world: SoakWorld): void {
    const served = world.requests.filter(({ answer }) => answer?.status === 200 && answer.isComplete).length;
    const verdict = world.findings.size === 0 ? "kept" : "BROKEN";
    console.log(`seed ${world.seed}: ${verdict}; ${served} of ${world.requests.length} requests served`);
    for (const { kind, startsAt, endsAt } of world.faults) {
        console.log(`  ${Math.round(startsAt)} to ${Math.round(endsAt)} ms: ${kind}`);
    }
    for (const finding of world.findings) {
        console.log(`  FOUND ${finding}`);
    }
    if (world.findings.size > 0) {
        console.log(`  logs: ${writeLogs(world)}`);
    }
}

/** Runs one seed; true when every promise was kept. */
async function runSeed(seed: number): Promise<boolean> {
    const generator = xoroshiro128plus(seed);
    const world = await startSoakWorld({ seed, random: () => uniformFloat64(generator), lengthMs });
    world.faults.push(...createFaults(world, faultCount));
    for (let tick = 0; getSoakTime(world) < lengthMs; tick += 1) {
        runFaults(world);
        registerServers(world);
        if (tick % requestEveryTicks === 0) {
            sendRequests(world);
        }
        await wait(tickMs);
    }
    await wait(deadlineMs + settleMs);
    checkPromises(world);
    await stopSoakWorld(world);
    printRun(world);
    return world.findings.size === 0;
}

interface SeedOptions {
    readonly first: number;
    readonly seeds: number;
    readonly minutes: number;
    /** Runs the seeds that once broke a promise first. */
    readonly kept: boolean;
}

/** Runs seeds one after the other; resolves with those that broke a promise. */
async function runSeeds({ first, seeds, minutes, kept }: SeedOptions): Promise<readonly number[]> {
    const end = performance.now() + minutes * 60_000;
    const broken: number[] = [];
    const known = kept ? keptSeeds.map(({ seed }) => seed) : [];
    let count = 0;
    while (count < known.length + seeds || performance.now() < end) {
        const seed = known[count] ?? first + count - known.length;
        count += 1;
        if (!(await runSeed(seed))) {
            broken.push(seed);
        }
    }
    const list = broken.length > 0 ? `: ${broken.join(", ")}` : "";
    console.log(`${count} seeds, ${broken.length} with a broken promise${list}`);
    return broken;
}

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "5" },
        seed: { type: "string", default: String(Date.now() % 1_000_000_000) },
        minutes: { type: "string", default: "0" },
        kept: { type: "boolean", default: false },
    },
});
const options = {
    first: Number(values.seed),
    seeds: Number(values.seeds),
    minutes: Number(values.minutes),
    kept: values.kept,
};
runSeeds(options).then(
    broken => process.exit(broken.length > 0 ? 1 : 0),
    (error: unknown) => {
        console.error(error);
        process.exit(1);
    },
);
