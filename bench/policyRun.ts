/** Runs one policy on one case with the real tables, systems and runner, and with simulated engines and store. */
import type { EffectHandlers, EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { type RequestId, toIncarnation, toModelId, toModelVersion } from "../src/ids";
import type { Hasher } from "../src/policy/prefix";
import { createRunner, type Runner } from "../src/runner";
import { systems } from "../src/systems";
import { routeRequests } from "../src/systems/routeRequests";
import type { System } from "../src/world";
import { type BaselineName, createBaseline } from "./baselines";
import { buildArrivalEvent, buildDocument, createBenchWorld, createIdleHandlers } from "./benchWorld";
import { createCacheFeed } from "./cacheFeed";
import type { FaultCase } from "./cases";
import { createFakeEngine, type EngineJob, type FakeEngine } from "./engine";
import { createMeasures, type Measures, type PolicyFigures } from "./measures";
import { createSimulation, type Simulation } from "./simulation";
import { createFakeStore } from "./store";
import {
    type Arrival,
    blockTokens,
    buildArrivals,
    computePromptTokens,
    type Deployment,
    listEngines,
} from "./workload";

export const routerPolicy = "marjoramvane";
export type PolicyName = BaselineName | typeof routerPolicy;

export interface PolicyRunOptions {
    readonly deployment: Deployment;
    readonly fault: FaultCase;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly requests: number;
    readonly hasher: Hasher;
    /** Replaces the weight of the deployment's route. */
    readonly affinityWeight?: number;
    /** Called with the details of each routing decision and each prefill, to write traces. */
    readonly trace?: (line: Readonly<Record<string, unknown>>) => void;
}

export interface PolicyRun {
    readonly figures: PolicyFigures;
    readonly arrivalCount: number;
    readonly endedCount: number;
}

const networkMs = 1;
/** Maximum virtual time after the last arrival; a request that is still open then is reported as a fault. */
const maxDrainMs = 200_000;

interface Bench {
    readonly options: PolicyRunOptions;
    readonly simulation: Simulation;
    readonly measures: Measures;
    readonly arrivals: readonly Arrival[];
    readonly engines: ReadonlyMap<string, FakeEngine>;
    post(event: Event): void;
}

const toArrivalIndex = (request: RequestId): number => Number(request);

/** Tokens of missed blocks that another engine has cached, or that this engine cached before in this incarnation. */
function computeWasted(
    bench: Bench,
    storedBlocks: ReadonlySet<string>,
    engine: FakeEngine,
    missed: readonly string[],
): number {
    const others = [...bench.engines.values()].filter(other => other !== engine && other.isUp());
    return missed.filter(block => storedBlocks.has(block) || others.some(other => other.has(block))).length
        * blockTokens;
}

function createEngines(
    getBench: () => Bench,
    options: PolicyRunOptions,
    simulation: Simulation,
): Map<string, FakeEngine> {
    const engines = new Map<string, FakeEngine>();
    for (const [index, { id }] of listEngines(options.deployment).entries()) {
        const feed = createCacheFeed({
            simulation,
            post: event => {
                getBench().post(event);
            },
            fault: options.fault,
            seed: options.seed + 1000 + index,
        });
        let storedBlocks = new Set<string>();
        let storedIncarnation = "";
        engines.set(
            id,
            createFakeEngine({
                ...options.deployment.engine,
                name: id,
                simulation,
                onCacheChange: (engine, change) => {
                    if (storedIncarnation !== engine.getIncarnation()) {
                        storedIncarnation = engine.getIncarnation();
                        storedBlocks = new Set();
                    }
                    if (change.kind === "stored") {
                        change.blocks.forEach(block => storedBlocks.add(block));
                    }
                    feed(engine, change);
                },
                onPrefill: (engine, job, hits) => {
                    const bench = getBench();
                    const previouslyStored = storedIncarnation === engine.getIncarnation()
                        ? storedBlocks
                        : new Set<string>();
                    const wasted = computeWasted(bench, previouslyStored, engine, job.blocks.slice(hits));
                    bench.measures.recordPrefill(Number(job.id), { promptTokens: job.promptTokens, hits }, wasted);
                    options.trace?.({
                        at: simulation.getNow(),
                        request: job.id,
                        engine: id,
                        hits,
                        wasted,
                        queued: engine.getReport().waiting,
                    });
                },
            }),
        );
    }
    return engines;
}

function sendToEngine(bench: Bench, { request, attempt, call }: EffectOf<"sendRequest">): void {
    const { simulation, post, measures } = bench;
    const engine = [...bench.engines.values()][Number(call.address.split(/[.:]/)[3]) - 1];
    const arrival = bench.arrivals[toArrivalIndex(request)] as Arrival;
    const promptTokens = computePromptTokens(arrival);
    let cachedTokens = 0;
    let hasFirstToken = false;
    const createUsage = (completionTokens: number) => ({ promptTokens, completionTokens, cachedTokens });
    const postLater = (event: Event): void => {
        simulation.schedule(networkMs, () => {
            post(event);
        });
    };
    const job: EngineJob = {
        id: request,
        blocks: call.engine?.blocks ?? [],
        promptTokens,
        outputTokens: arrival.outputTokens,
        onFirstToken: cached => {
            cachedTokens = cached;
            hasFirstToken = true;
            postLater({ kind: "attemptAnswered", request, attempt, status: 200, isRefusedBeforeRun: false });
            postLater({ kind: "attemptFirstToken", request, attempt, usage: createUsage(1) });
            measures.recordFirstToken(toArrivalIndex(request), simulation.getNow() + networkMs - arrival.at);
        },
        onFinished: () => {
            postLater({ kind: "attemptFinished", request, attempt, usage: createUsage(arrival.outputTokens) });
            measures.recordEnd(toArrivalIndex(request), "finished");
        },
        onLost: () => {
            const failure = hasFirstToken ? "broken_stream" as const : "closed" as const;
            postLater({ kind: "attemptFailed", request, attempt, failure, lastEventId: 0 });
        },
    };
    simulation.schedule(networkMs, () => {
        if (!engine?.isUp()) {
            postLater({ kind: "attemptFailed", request, attempt, failure: "connect", lastEventId: 0 });
            return;
        }
        post({ kind: "attemptWriteStarted", request, attempt });
        engine.submit(job);
    });
}

function readEngine(bench: Bench, { target }: EffectOf<"readTarget">): void {
    const { simulation, post, engines, options } = bench;
    const engine = engines.get(target);
    if (!engine?.isUp()) {
        simulation.schedule(networkMs, () => {
            post({ kind: "targetUnreachable", target });
        });
        return;
    }
    const { running, waiting, waitingTokens } = engine.getReport();
    const report = {
        incarnation: toIncarnation(engine.getIncarnation()),
        state: "ready" as const,
        model: toModelId("text"),
        version: toModelVersion("1"),
        runningRequests: running,
        waitingRequests: waiting,
        waitingTokens,
    };
    simulation.schedule(networkMs + options.fault.reportLagMs, () => {
        if (engine.isUp()) {
            post({ kind: "targetReported", target, report });
        }
    });
}

function createHandlers(bench: Bench, document: unknown): EffectHandlers {
    const { simulation, measures, engines, options, post } = bench;
    const store = createFakeStore({ simulation, document, post });
    return {
        ...createIdleHandlers(),
        callStore: store.call,
        sendRequest: effect => {
            sendToEngine(bench, effect);
        },
        readTarget: effect => {
            readEngine(bench, effect);
        },
        cancelAttempt: ({ request }) => {
            for (const engine of engines.values()) {
                engine.cancel(request);
            }
        },
        resumeStream: ({ request, attempt }) => {
            simulation.schedule(networkMs, () => {
                post({ kind: "attemptFailed", request, attempt, failure: "not_resumable", lastEventId: 0 });
            });
        },
        writeLog: ({ prefix, fields }) => {
            if (prefix === "route:") {
                options.trace?.({ at: simulation.getNow(), ...fields });
            }
        },
        refuseRequest: ({ request }) => {
            measures.recordEnd(toArrivalIndex(request), "refused");
        },
        interruptAnswer: ({ request }) => {
            measures.recordEnd(toArrivalIndex(request), "interrupted");
        },
    };
}

/** Schedules each arrival when the previous one has happened, so that the heap of actions stays small. */
function scheduleArrivals(bench: Bench, number = 0): void {
    const arrival = bench.arrivals[number];
    if (arrival) {
        bench.simulation.schedule(arrival.at - bench.simulation.getNow(), () => {
            bench.measures.recordArrival(number, arrival);
            bench.post(
                buildArrivalEvent(bench.options.deployment, arrival, { number, now: bench.simulation.clock.getNow() }),
            );
            scheduleArrivals(bench, number + 1);
        });
    }
}

function scheduleCrashes(bench: Bench, runMs: number): void {
    for (const { engine, at, downMs } of bench.options.fault.crashes) {
        bench.simulation.schedule(runMs * at, () => {
            [...bench.engines.values()][engine]?.crash(downMs);
        });
    }
}

function listSystems(policy: PolicyName, seed: number, engines: ReadonlyMap<string, FakeEngine>): readonly System[] {
    if (policy === routerPolicy) {
        return systems;
    }
    const baseline = createBaseline(policy, { seed, findEngine: target => engines.get(target) });
    return systems.map(system => (system === routeRequests ? baseline : system));
}

/** Runs one policy on one case to its end. */
export function runPolicy(options: PolicyRunOptions): PolicyRun {
    const { deployment, fault, policy, seed, requests, hasher } = options;
    const simulation = createSimulation();
    const arrivals = buildArrivals(deployment, fault, { seed, requests });
    const measures = createMeasures(deployment, arrivals.length);
    const getBench = (): Bench => bench;
    const engines = createEngines(getBench, options, simulation);
    const bench: Bench = {
        options,
        simulation,
        measures,
        arrivals,
        engines,
        post: event => {
            runner.post(event);
        },
    };
    const document = buildDocument(deployment, options.affinityWeight ?? deployment.affinityWeight);
    const runner: Runner = createRunner({
        world: createBenchWorld({ hasher, seed }),
        systems: listSystems(policy, seed, engines),
        handlers: createHandlers(bench, document),
        clock: simulation.clock,
    });
    runner.start();
    const runMs = arrivals.at(-1)?.at ?? 0;
    scheduleArrivals(bench);
    scheduleCrashes(bench, runMs);
    simulation.runUntil(() => measures.countEnded() === arrivals.length || simulation.getNow() > runMs + maxDrainMs);
    runner.stop();
    const busyMs = [...engines.values()].reduce((sum, engine) => sum + engine.getBusyMs(), 0);
    return {
        figures: measures.buildFigures(busyMs / (engines.size * simulation.getNow())),
        arrivalCount: arrivals.length,
        endedCount: measures.countEnded(),
    };
}
