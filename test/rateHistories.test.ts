/** Generated fault histories: in any window of length w, the whole fleet admits at most burst + rate * w tokens. */
import fc from "fast-check";
import { expect, it } from "vitest";
import { loadHasher } from "../src/adapters/hasher";
import type { Hasher } from "../src/policy/prefix";
import {
    computeChargedTokens,
    computeMaxExcess,
    createRateFleet,
    type RateFleet,
    type RateProcess,
} from "./support/rateFleet";

const account = { rate: 1000, burst: 3000 };
const floorFraction = 0.25;
const historyMs = 20_000;
const numRuns = 60;

type Incident = (fleet: RateFleet, process: RateProcess, lengthMs: number) => void;

function scheduleRestart(fleet: RateFleet, process: RateProcess, lengthMs: number): void {
    process.isStopped = true;
    fleet.schedule(fleet.getNow() + lengthMs, () => fleet.startProcess(process.vm, process.address));
}

function addFault(fleet: RateFleet, fault: Partial<RateFleet["faults"]>, lengthMs: number): void {
    Object.assign(fleet.faults, fault);
    const resetFaults = Object.fromEntries(
        Object.entries(fault).map(([name, value]) => [name, value === true ? false : 0]),
    );
    fleet.schedule(fleet.getNow() + lengthMs, () => Object.assign(fleet.faults, resetFaults));
}

const incidents = {
    pause: (fleet, process, lengthMs) => {
        process.pausedUntil = fleet.getNow() + lengthMs;
    },
    crash: scheduleRestart,
    simultaneousRestart: (fleet, _process, lengthMs) =>
        fleet.processes.forEach(other => other.isStopped || scheduleRestart(fleet, other, lengthMs)),
    drain: (fleet, process, lengthMs) => {
        process.runner.post({ kind: "drainRequested" });
        fleet.schedule(fleet.getNow() + 8000 + lengthMs, () => fleet.startProcess(process.vm, process.address));
    },
    secondProcessOnVm: (fleet, process, lengthMs) => {
        fleet.startProcess(process.vm, `127.0.0.1:${3000 + Math.floor(lengthMs)}`);
    },
    lostMessages: (fleet, _process, lengthMs) => addFault(fleet, { lossProbability: 0.5 }, lengthMs),
    repeatedMessages: (fleet, _process, lengthMs) => addFault(fleet, { duplicationProbability: 0.5 }, lengthMs),
    lateMessages: (fleet, _process, lengthMs) =>
        addFault(fleet, { delayProbability: 0.5, duplicationProbability: 0.3 }, lengthMs),
    storeOutage: (fleet, _process, lengthMs) => addFault(fleet, { isStoreDown: true }, lengthMs),
    storeAnswersLost: (fleet, _process, lengthMs) => addFault(fleet, { shouldLoseStoreAnswers: true }, lengthMs),
} as const satisfies Record<string, Incident>;

const incidentKinds = Object.keys(incidents) as (keyof typeof incidents)[];
const processIndex = fc.nat();
const at = fc.integer({ min: 1000, max: historyMs });

const history = fc.record({
    seed: fc.integer(),
    size: fc.integer({ min: 2, max: 4 }),
    grantTtlMs: fc.constantFrom(1000, 4000),
    sendEveryMs: fc.integer({ min: 40, max: 400 }),
    floorSlots: fc.constantFrom(1, 3),
    // Each reserves tokens that mostly stay unused, injects a fault, then lets every process use all tokens it can get.
    faultScenarios: fc.array(
        fc.record({
            at,
            processIndex,
            kind: fc.constantFrom(...incidentKinds),
            lengthMs: fc.integer({ min: 50, max: 9000 }),
            usedFraction: fc.constantFrom(0, 0.5, 1),
            failAfterMs: fc.integer({ min: 0, max: 1500 }),
            useAfterMs: fc.integer({ min: 0, max: 6000 }),
        }),
        { minLength: 1, maxLength: 3 },
    ),
    incidents: fc.array(
        fc.record({
            at,
            processIndex,
            kind: fc.constantFrom(...incidentKinds),
            lengthMs: fc.integer({ min: 50, max: 9000 }),
        }),
        { maxLength: 5 },
    ),
});

/** Sends requests for more tokens than the burst, each small enough to use up every source of tokens. */
function sendBurst(fleet: RateFleet, process: RateProcess): void {
    for (let index = 0; index < 70; index += 1) {
        fleet.sendRequest(process, 1, 50);
    }
}

type History = typeof history extends fc.Arbitrary<infer Value> ? Value : never;

function runHistory(
    hasher: Hasher,
    { seed, size, floorSlots, grantTtlMs, sendEveryMs, faultScenarios, incidents: plannedIncidents }: History,
): RateFleet {
    const fleet = createRateFleet({
        hasher,
        seed,
        size,
        account,
        rates: { grantTtlMs, floorFraction, floorSlots, floorLeaseSeconds: 4 },
    });
    const chooseRunning = (processIndex: number): RateProcess | undefined => {
        const running = fleet.listRunning();
        return running[processIndex % Math.max(1, running.length)];
    };
    const scheduleFor = (time: number, processIndex: number, run: (process: RateProcess) => void): void =>
        fleet.schedule(time, () => {
            const chosen = chooseRunning(processIndex);
            if (chosen) {
                run(chosen);
            }
        });
    for (const incident of plannedIncidents) {
        scheduleFor(
            incident.at,
            incident.processIndex,
            chosen => incidents[incident.kind](fleet, chosen, incident.lengthMs),
        );
    }
    for (const scenario of faultScenarios) {
        scheduleFor(scenario.at, scenario.processIndex, chosen => {
            Object.assign(fleet.engine, { usedFraction: scenario.usedFraction, maxRunMs: 100 });
            sendBurst(fleet, chosen);
        });
        scheduleFor(scenario.at + scenario.failAfterMs, scenario.processIndex + 1, chosen => {
            Object.assign(fleet.engine, { usedFraction: 1, maxRunMs: 4000 });
            incidents[scenario.kind](fleet, chosen, scenario.lengthMs);
        });
        for (const afterMs of [0, 300]) {
            scheduleFor(scenario.at + scenario.failAfterMs + scenario.useAfterMs + afterMs, 0, () => {
                fleet.listRunning().forEach(chosen => sendBurst(fleet, chosen));
            });
        }
    }
    for (let time = 0; time < historyMs; time += sendEveryMs) {
        scheduleFor(time, time, chosen => fleet.sendRequest(chosen, 1 + Math.floor(fleet.random() * 60), 60));
    }
    fleet.run(historyMs + 10_000);
    return fleet;
}

it("admits at most burst + rate * w tokens in every window of every history", async () => {
    const hasher = await loadHasher();
    let admitted = 0;
    fc.assert(
        fc.property(history, generated => {
            const { admissions } = runHistory(hasher, generated);
            admitted += admissions.length;
            const used = admissions.map(admission => ({ at: admission.at, tokens: admission.usedTokens }));
            expect(computeMaxExcess(used, account)).toBeLessThanOrEqual(1e-6);
            // Each share of the rate stays within its own bound, which is tighter than the bound of the sum.
            for (const [source, share] of [["owner", 1 - floorFraction], ["floor", floorFraction]] as const) {
                const charged = admissions.map(admission => ({
                    at: admission.at,
                    tokens: computeChargedTokens(admission, source),
                }));
                const limits = { rate: account.rate * share, burst: account.burst * share };
                expect(computeMaxExcess(charged, limits)).toBeLessThanOrEqual(1e-6);
            }
            for (const admission of admissions) {
                const charged = computeChargedTokens(admission, "owner") + computeChargedTokens(admission, "floor");
                expect(admission.usedTokens).toBeLessThanOrEqual(charged);
            }
        }),
        { seed: 20261204, numRuns, endOnFailure: true },
    );
    // A fleet that admits nothing would satisfy every bound.
    expect(admitted).toBeGreaterThan(100 * numRuns);
}, 120_000);
