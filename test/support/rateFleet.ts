/** Simulates a fleet with the real systems on a virtual clock; peers, store, callers and engine are in memory. */
import { Err, Ok } from "ts-results";
import { parseDocument } from "../../src/config/document";
import { parseSettings } from "../../src/config/settings";
import { createEffectQueue, type EffectHandlers, type EffectKind, type EffectOf } from "../../src/effects";
import type { Event, EventOf } from "../../src/events";
import { toCallId, toConfigVersion, toIncarnation, toKeyHash, toMillis, toRequestId } from "../../src/ids";
import type { PeerAnswer } from "../../src/peers";
import type { Hasher } from "../../src/policy/prefix";
import type { RequestArrival } from "../../src/requests";
import { createRunner, type Runner } from "../../src/runner";
import { systems } from "../../src/systems";
import { applyConfiguration } from "../../src/systems/applyConfiguration";
import { routeRequests } from "../../src/systems/routeRequests";
import { createTables } from "../../src/tables";
import type { RequestRow } from "../../src/tables/requests";
import { createTimerService } from "../../src/timers";
import type { World } from "../../src/world";
import { createKeyValueStore } from "../../standins/keyValueStore";
import { runStoreCall } from "../../standins/storeCalls";
import { createVirtualClock, createVirtualTime } from "../../standins/virtualTime";

/** Admitted request: its token reservations, and the tokens that the engine actually computed. */
export interface Admission {
    readonly at: number;
    usedTokens: number;
    readonly reservations: RequestRow["reservations"];
}

export interface RateProcess {
    readonly vm: string;
    readonly address: string;
    readonly world: World;
    readonly runner: Runner;
    pausedUntil: number;
    isStopped: boolean;
}

export interface RateFleetOptions {
    readonly hasher: Hasher;
    readonly seed: number;
    readonly size: number;
    readonly account: { readonly rate: number; readonly burst: number; };
    readonly rates?: Record<string, unknown>;
}

const keyHash = toKeyHash("a".repeat(64));
const callTimeoutMs = 1000;
const maxMessageDelayMs = 4000;

/** Deterministic random numbers in [0, 1) (mulberry32). */
function createRandom(seed: number): () => number {
    let state = seed | 0;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        const mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        const next = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((next ^ (next >>> 14)) >>> 0) / 4_294_967_296;
    };
}

export type RateFleet = ReturnType<typeof createRateFleet>;

/** Creates a fleet. The probabilities in `faults` apply to each message between peers, so twice to a call. */
export function createRateFleet({ hasher, seed, size, account, rates = {} }: RateFleetOptions) {
    const random = createRandom(seed);
    const time = createVirtualTime();
    const { getNow, scheduleAt: schedule } = time;
    let lastIdNumber = 0;
    const faults = {
        lossProbability: 0,
        duplicationProbability: 0,
        delayProbability: 0,
        isStoreDown: false,
        shouldLoseStoreAnswers: false,
    };
    const engine = { usedFraction: 0.7, maxRunMs: 4000 };
    const store = createKeyValueStore({ getNow });
    const processes: RateProcess[] = [];
    const admissions: Admission[] = [];
    const refusals: EffectOf<"refuseRequest">["refusal"][] = [];
    const calls = { peer: 0, store: 0 };
    const answerHandlers = new Map<string, (answer: PeerAnswer) => void>();
    const document = parseDocument({
        accounts: { shop: account },
        keys: { [keyHash]: { account: "shop" } },
        models: { model: {} },
        routes: { route: { kind: "model", model: "model", version: "v1" } },
    }).unwrap();

    /** Schedules an action of a process; it is deferred while the process is paused and dropped once it is stopped. */
    function scheduleInProcess(process: RateProcess, at: number, run: () => void): void {
        schedule(at, () => {
            if (process.pausedUntil > getNow()) {
                scheduleInProcess(process, process.pausedUntil, run);
            }
            else if (!process.isStopped) {
                run();
            }
        });
    }

    /** Converts to the monotonic time of the process; each process has a different clock offset. */
    const toProcessMillis = (process: RateProcess, at: number) =>
        toMillis(at + 1000 * (1 + processes.indexOf(process)));
    const post = (process: RateProcess, at: number, event: Event): void =>
        scheduleInProcess(process, at, () => process.runner.post(event));

    /** Returns the arrival times of a message: none when it is lost, two when it is duplicated. */
    function listArrivals(): number[] {
        const copyCount = random() < faults.lossProbability ? 0 : random() < faults.duplicationProbability ? 2 : 1;
        const computeDelay = (): number =>
            random() < faults.delayProbability ? random() * maxMessageDelayMs : 1 + random();
        return Array.from({ length: copyCount }, () => getNow() + computeDelay());
    }

    function sendToPeer(from: RateProcess, { purpose, address, request }: EffectOf<"callPeer">): void {
        let isAnswered = false;
        calls.peer += request.kind === "exchange" ? 0 : 1;
        const answerCall = (result: EventOf<"peerReplied">["result"]): void => {
            isAnswered = true;
            post(from, getNow(), { kind: "peerReplied", purpose, address, result });
        };
        schedule(getNow() + callTimeoutMs, () => isAnswered || answerCall(Err({ message: "No answer in time." })));
        const to = processes.find(process => process.address === address && !process.isStopped);
        for (const at of to ? listArrivals() : []) {
            const call = toCallId(`call-${lastIdNumber += 1}`);
            answerHandlers.set(
                call,
                answer => listArrivals().forEach(replyAt => schedule(replyAt, () => answerCall(Ok(answer)))),
            );
            post(to as RateProcess, at, { kind: "peerCallReceived", call, request });
        }
    }

    function sendToStore(process: RateProcess, { purpose, call }: EffectOf<"callStore">): void {
        const sentAt = toProcessMillis(process, getNow());
        calls.store += 1;
        schedule(getNow() + 1 + random() * 3, () => {
            const answer = faults.isStoreDown ? undefined : runStoreCall(store, call);
            const isLost = faults.isStoreDown || faults.shouldLoseStoreAnswers;
            const result = isLost || !answer ? Err({ effect: "unknown", message: "No answer." } as const) : answer;
            post(process, getNow() + (isLost ? callTimeoutMs : 1), {
                kind: "storeReplied",
                purpose,
                outcome: { result, sentAt },
            });
        });
    }

    /** Simulates an engine that computes the prompt at once and then generates a fraction of the reserved tokens. */
    function runEngine(process: RateProcess, row: RequestRow): void {
        const admission = { at: getNow(), usedTokens: row.promptTokens, reservations: row.reservations };
        admissions.push(admission);
        const base = { request: row.id, attempt: 1 };
        const total = Math.floor(row.maxTokens * engine.usedFraction);
        const usage = { promptTokens: row.promptTokens, completionTokens: total, cachedTokens: 0 };
        const lengthMs = 5 + random() * random() * engine.maxRunMs;
        const scheduleTokens = (at: number, tokens: number, event: Event): void =>
            schedule(at, () => {
                if (row.state === "running" && !process.isStopped) {
                    admission.usedTokens += tokens;
                    post(process, getNow(), event);
                }
            });
        scheduleTokens(getNow() + lengthMs / 4, 0, { kind: "attemptFirstToken", ...base, usage });
        scheduleTokens(getNow() + lengthMs / 2, total >> 1, { kind: "attemptProgressed", ...base, tokens: total >> 1 });
        scheduleTokens(getNow() + lengthMs, total - (total >> 1), { kind: "attemptFinished", ...base, usage });
        schedule(getNow() + lengthMs + 1, () => post(process, getNow(), { kind: "answerDelivered", request: row.id }));
    }

    function runQueuedRequests(process: RateProcess): void {
        for (const row of process.world.tables.requests.list("queued")) {
            const attempt = { number: 1, evidence: { hasWrittenBytes: true, answer: "answered" }, state: "relaying" };
            row.attempts.push({ ...attempt, generatedTokens: 0, outcome: "" } as RequestRow["attempts"][number]);
            row.isRelaying = true;
            process.world.tables.requests.updateState(row, "running");
            runEngine(process, row);
        }
    }

    function createHandlers(process: RateProcess): EffectHandlers {
        const handlers: Partial<EffectHandlers> = {
            refuseRequest: ({ refusal }) => {
                refusals.push(refusal);
            },
            callStore: effect => sendToStore(process, effect),
            callPeer: effect => sendToPeer(process, effect),
            answerPeer: ({ call, answer }) => answerHandlers.get(call)?.(answer),
            exitProcess: () => {
                process.isStopped = true;
            },
        };
        return new Proxy(handlers as Required<typeof handlers>, {
            get: (definedHandlers, kind: EffectKind) => definedHandlers[kind] ?? (() => undefined),
        });
    }

    function startProcess(vm: string, address: string): RateProcess {
        const settings = parseSettings({
            vm,
            dataCentre: "dc",
            fleetSecret: "a-secret-of-the-test-fleet",
            listen: { callers: address, operators: address, peers: address },
            store: { address: "127.0.0.1:1" },
            timeouts: { requestMs: 6000, drainNoticeMs: 500 },
            membership: { leaseSeconds: 2, exchangeEveryMs: 500, freshForMs: 2500 },
            rates: { grantTtlMs: 1000, floorFraction: 0.4, floorSlots: 3, floorLeaseSeconds: 12, ...rates },
        }).unwrap();
        const incarnation = toIncarnation(`run-${lastIdNumber += 1}`);
        const [tables, effects, timers] = [createTables(settings), createEffectQueue(), createTimerService()];
        const world: World = { settings, hasher, random, incarnation, tables, effects, timers };
        tables.configuration.apply(toConfigVersion(1), document);
        // The configuration never becomes stale: the store of these fleets has none, and the tests are not about keys.
        tables.configuration.confirmedAt = toMillis(1e12);
        tables.configuration.freshness = "fresh";
        const process = { vm, address, world, pausedUntil: 0, isStopped: false } as RateProcess;
        processes.push(process);
        const clock = createVirtualClock({
            time,
            toProcessTime: at => toProcessMillis(process, at),
            runAt: (at, action) => {
                scheduleInProcess(process, at, action);
            },
        });
        const processSystems = systems.filter(system => system !== applyConfiguration)
            .map(system => (system === routeRequests ? () => runQueuedRequests(process) : system));
        const runner = createRunner({ world, systems: processSystems, handlers: createHandlers(process), clock });
        Object.assign(process, { runner });
        runner.start();
        return process;
    }

    for (let index = 0; index < size; index += 1) {
        startProcess(`entry-${index}`, `127.0.0.1:${1000 + index}`);
    }
    return {
        faults,
        engine,
        processes,
        admissions,
        refusals,
        calls,
        store,
        random,
        schedule,
        startProcess,
        getNow,
        listRunning: () => processes.filter(process => !process.isStopped),
        sendRequest: (process: RateProcess, promptTokens: number, maxTokens: number): void => {
            const arrival = {
                request: toRequestId(`request-${lastIdNumber += 1}`),
                keyHash,
                endpoint: "completions",
                routeName: "route",
                prompt: new Uint8Array(promptTokens),
                maxTokens,
                arrivedAt: toProcessMillis(process, getNow()),
            };
            post(process, getNow(), { kind: "requestArrived", arrival: arrival as unknown as RequestArrival });
        },
        run: (until: number): void => {
            time.runUntil(until);
        },
    };
}

/** Computes the tokens of an admission, spent or still reserved, that come from floors or from bucket owners. */
export const computeChargedTokens = ({ reservations }: Admission, source: "floor" | "owner"): number =>
    reservations.filter(reservation => (reservation.source.kind === "floor") === (source === "floor"))
        .reduce((sum, { spent, open }) => sum + spent + open, 0);

/** Computes the largest excess over burst + rate * w over all windows of length w; at most 0 if the limit holds. */
export function computeMaxExcess(
    admissions: readonly { readonly at: number; readonly tokens: number; }[],
    { rate, burst }: { readonly rate: number; readonly burst: number; },
): number {
    let maxExcess = Number.NEGATIVE_INFINITY;
    let sum = 0;
    let lastAt = 0;
    for (const { at, tokens } of admissions) {
        // The window ending here with the largest excess either starts here or extends the one ending at the previous
        // admission.
        sum = Math.max(0, sum - ((at - lastAt) / 1000) * rate) + tokens;
        lastAt = at;
        maxExcess = Math.max(maxExcess, sum - burst);
    }
    return maxExcess;
}
