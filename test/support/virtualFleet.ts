/** Simulates several processes with the real systems on a virtual clock, with a store and engines in memory. */
import { Err } from "ts-results";
import { loadHasher } from "../../src/adapters/hasher";
import { computeChange } from "../../src/config/change";
import { emptyDocument, parseDocument } from "../../src/config/document";
import { headKey, snapshotKey, toChangeKey } from "../../src/config/records";
import { parseSettings, type Settings } from "../../src/config/settings";
import { createEffectQueue, type EffectHandlers, type EffectOf } from "../../src/effects";
import type { Event } from "../../src/events";
import { type Millis, toIncarnation, toMillis } from "../../src/ids";
import { createRunner } from "../../src/runner";
import { computePrefixEnd } from "../../src/store";
import { systems } from "../../src/systems";
import { createTables } from "../../src/tables";
import { createTimerService } from "../../src/timers";
import type { World } from "../../src/world";
import { createKeyValueStore, type KeyValueStore, type Watcher } from "../../standins/keyValueStore";
import { runStoreCall } from "../../standins/storeCalls";
import { createVirtualClock, createVirtualTime, type VirtualTime } from "../../standins/virtualTime";
import type { SimulatedEngine } from "./simulatedEngine";

const messageDelayMs = 1;

export interface Simulation {
    readonly store: KeyValueStore;
    readonly engines: Map<string, SimulatedEngine>;
    readonly faults: { isStoreDown: boolean; };
    readonly time: VirtualTime;
    getNow(): Millis;
    schedule(delayMs: number, action: () => void): void;
    runFor(durationMs: number): void;
    /** Runs until the check returns true; throws after `timeoutMs` of virtual time. */
    runUntil(check: () => boolean, timeoutMs?: number): void;
    writeConfiguration(version: number, document: unknown): void;
    addEngine(engine: SimulatedEngine): void;
}

/** Creates a simulation at time 0. Actions at the same time run in the order in which they were scheduled. */
export function createSimulation(): Simulation {
    const time = createVirtualTime();
    const store = createKeyValueStore({ getNow: time.getNow });
    const faults = { isStoreDown: false };
    const engines = new Map<string, SimulatedEngine>();
    let lastDocument = emptyDocument;

    function expireLeases(): void {
        if (!faults.isStoreDown) {
            store.expireLeases();
        }
        time.schedule(100, expireLeases);
    }
    expireLeases();

    function runFor(durationMs: number): void {
        time.runUntil(time.getNow() + durationMs);
    }

    return {
        store,
        engines,
        faults,
        time,
        getNow: () => toMillis(time.getNow()),
        schedule: time.schedule,
        runFor,
        runUntil: (check, timeoutMs = 120_000) => {
            const end = time.getNow() + timeoutMs;
            while (!check()) {
                if (time.getNow() >= end) {
                    throw new Error("The condition was not met within the timeout.");
                }
                runFor(10);
            }
        },
        writeConfiguration: (version, document) => {
            const parsed = parseDocument(document).unwrap();
            const change = computeChange(lastDocument, parsed);
            lastDocument = parsed;
            store.runTransaction([], [
                { kind: "put", key: snapshotKey, value: JSON.stringify({ version, document }) },
                { kind: "put", key: toChangeKey(version), value: JSON.stringify({ version, change }) },
                { kind: "put", key: headKey, value: JSON.stringify({ version, changeId: `test-${version}` }) },
            ], []);
        },
        addEngine: engine => {
            engines.set(engine.address, engine);
        },
    };
}

export interface SimulatedNode {
    readonly world: World;
    readonly settings: Settings;
    readonly logs: EffectOf<"writeLog">[];
    readonly refusals: EffectOf<"refuseRequest">[];
    readonly exitCodes: number[];
    /** Number of next store transactions that are executed but whose answers are lost. */
    readonly faults: { storeAnswersToLose: number; };
    post(event: Event): void;
    /** Pauses the process: ticks are deferred until `resume`, and events wait for them. */
    pause(): void;
    resume(): void;
    stop(): void;
}

/** Starts a process in the simulation. */
export async function startSimulatedNode(
    simulation: Simulation,
    { vm, seed = 1, overrides = {} }: {
        readonly vm: string;
        readonly seed?: number;
        readonly overrides?: Record<string, unknown>;
    },
): Promise<SimulatedNode> {
    const settings = parseSettings({
        vm,
        dataCentre: "dc-1",
        fleetSecret: "a-secret-of-the-test-fleet",
        listen: { callers: "10.0.0.1:1", operators: "10.0.0.1:2", peers: "10.0.0.1:3" },
        store: { address: "10.0.0.9:1" },
        membership: { leaseSeconds: 4 },
        ...overrides,
    }).unwrap();
    let state = seed;
    const world: World = {
        settings,
        incarnation: toIncarnation(`${vm}-1`),
        hasher: await loadHasher(),
        random: () => {
            state = (state * 48_271) % 2_147_483_647;
            return state / 2_147_483_647;
        },
        tables: createTables(settings),
        effects: createEffectQueue(),
        timers: createTimerService(),
    };
    let isPaused = false;
    let isStopped = false;
    let pausedActions: (() => void)[] = [];
    const runUnlessPaused = (action: () => void): void => {
        if (isPaused) {
            pausedActions.push(action);
        }
        else if (!isStopped) {
            action();
        }
    };
    const clock = createVirtualClock({
        time: simulation.time,
        runAt: (at, action) => {
            simulation.time.scheduleAt(at, () => {
                runUnlessPaused(action);
            });
        },
    });
    const logs: EffectOf<"writeLog">[] = [];
    const refusals: EffectOf<"refuseRequest">[] = [];
    const exitCodes: number[] = [];
    const faults = { storeAnswersToLose: 0 };
    const watches = new Map<string, Watcher>();
    const post = (event: Event): void => {
        simulation.schedule(messageDelayMs, () => {
            runner.post(event);
        });
    };

    function runCall({ purpose, call }: EffectOf<"callStore">): void {
        const sentAt = simulation.getNow();
        simulation.schedule(messageDelayMs, () => {
            const answer = simulation.faults.isStoreDown ? undefined : runStoreCall(simulation.store, call);
            const isLost = answer !== undefined && call.kind === "transaction" && faults.storeAnswersToLose > 0;
            faults.storeAnswersToLose -= isLost ? 1 : 0;
            const result = answer && !isLost ? answer : Err({ effect: "unknown" as const, message: "No answer." });
            post({ kind: "storeReplied", purpose, outcome: { result, sentAt } });
        });
    }

    function openWatch({ watch, key, prefix, fromRevision }: EffectOf<"openWatch">): void {
        const watcher: Watcher = {
            key,
            end: prefix ? computePrefixEnd(key) : undefined,
            deliver: (revision, changes) => {
                post({
                    kind: "watchDelivered",
                    watch,
                    revision,
                    changes: changes.map(({ row, isDeleted }) => ({
                        key: row.key,
                        value: isDeleted ? undefined : row.value,
                        modRevision: row.modRevision,
                    })),
                    receivedAt: simulation.getNow(),
                });
            },
        };
        watches.set(watch, watcher);
        simulation.store.addWatcher(watcher, fromRevision);
    }

    const handleNothing = (): void => undefined;
    const handlers: EffectHandlers = {
        refuseRequest: effect => refusals.push(effect),
        answerCaller: handleNothing,
        replayAnswer: handleNothing,
        relayAnswer: handleNothing,
        interruptAnswer: handleNothing,
        releaseRequest: handleNothing,
        sendRequest: effect => simulation.engines.get(effect.call.address)?.handleRequest(effect, post),
        resumeStream: handleNothing,
        cancelAttempt: effect =>
            simulation.engines.forEach(engine => {
                engine.cancelRequest(effect.request);
            }),
        readTarget: ({ target, address }) => {
            simulation.schedule(messageDelayMs, () => {
                const report = simulation.engines.get(address)?.getReport();
                post(report ? { kind: "targetReported", target, report } : { kind: "targetUnreachable", target });
            });
        },
        followCacheEvents: handleNothing,
        stopCacheEvents: handleNothing,
        sendOrder: effect => {
            simulation.engines.get(effect.address)?.handleOrder(effect, post);
        },
        callStore: runCall,
        openWatch,
        closeWatch: handleNothing,
        readVmList: handleNothing,
        callPeer: handleNothing,
        answerPeer: handleNothing,
        answerOperator: handleNothing,
        writeLog: effect => logs.push(effect),
        addCount: handleNothing,
        recordValue: handleNothing,
        updateGauge: handleNothing,
        closeListeners: handleNothing,
        exitProcess: ({ code }) => exitCodes.push(code),
    };
    const runner = createRunner({ world, systems, handlers, clock });
    runner.start();
    return {
        world,
        settings,
        logs,
        refusals,
        exitCodes: exitCodes,
        faults,
        post: event => {
            runner.post(event);
        },
        pause: () => {
            isPaused = true;
        },
        resume: () => {
            isPaused = false;
            const actions = pausedActions;
            pausedActions = [];
            actions.forEach(action => {
                action();
            });
        },
        stop: () => {
            isStopped = true;
            runner.stop();
        },
    };
}
