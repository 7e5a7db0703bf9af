/** World of the benchmarks: configuration, settings, and effect handlers that do nothing. */
import { parseSettings } from "../src/config/settings";
import { createEffectQueue, type Effect, type EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { type DataCentreId, type Millis, toIncarnation, toKeyHash, toRequestId } from "../src/ids";
import type { Hasher } from "../src/policy/prefix";
import { createTables } from "../src/tables";
import { createTimerService } from "../src/timers";
import type { World } from "../src/world";
import { createRandom } from "./random";
import {
    type Arrival,
    blockTokens,
    buildPrompt,
    computeAccountLimits,
    computePromptTokens,
    type Deployment,
    listAccounts,
    listEngines,
    maxTokens,
} from "./workload";

const buildKeyHash = (index: number) => toKeyHash(index.toString(16).padStart(64, "0"));

/** Builds the configuration of a deployment: one model route and one key for each account. */
export function buildDocument(deployment: Deployment, affinityWeight = deployment.affinityWeight): unknown {
    const accounts = listAccounts(deployment);
    return {
        accounts: Object.fromEntries(accounts.map((id, index) => [id, computeAccountLimits(deployment, index)])),
        keys: Object.fromEntries(accounts.map((account, index) => [buildKeyHash(index), { account }])),
        models: {
            text: {
                bytesPerToken: 1,
                blockTokens,
                prefillTokensPerSecond: deployment.engine.prefillTokensPerSecond,
                decodeTokensPerSecond: Math.round(1000 / deployment.engine.decodeMs),
            },
        },
        routes: { text: { kind: "model", model: "text", version: "1", affinityWeight } },
        targets: Object.fromEntries(
            listEngines(deployment).map(({ id, dataCentre }, index) => [id, {
                kind: "engine",
                address: `10.0.${(index + 1) >> 8}.${(index + 1) & 255}:8000`,
                dataCentre,
                model: "text",
                version: "1",
                slots: deployment.engine.slots,
            }]),
        ),
    };
}

/** Builds the event that the HTTP server posts when the request arrives. */
export function buildArrivalEvent(
    deployment: Deployment,
    arrival: Arrival,
    { number, now }: { readonly number: number; readonly now: Millis; },
): Event {
    return {
        kind: "requestArrived",
        arrival: {
            request: toRequestId(String(number)),
            keyHash: buildKeyHash(listAccounts(deployment).indexOf(arrival.account)),
            endpoint: "completions",
            routeName: "text",
            method: "POST",
            path: "",
            stream: true,
            prompt: buildPrompt(arrival, number),
            maxTokens,
            priority: undefined,
            bodyBytes: computePromptTokens(arrival),
            bodyHash: "",
            idempotencyKey: undefined,
            timeoutMs: undefined,
            arrivedAt: now,
        },
    };
}

export function createBenchWorld(
    { hasher, seed, dataCentre = "dc-0" }: {
        readonly hasher: Hasher;
        readonly seed: number;
        readonly dataCentre?: string;
    },
): World {
    const settings = parseSettings({
        vm: "entry-0",
        dataCentre: dataCentre as DataCentreId,
        fleetSecret: "a-secret-of-the-benchmark",
        listen: { callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3" },
        store: { address: "127.0.0.1:4" },
        // The benchmark runs one process for the whole fleet, so its floor is the whole rate.
        rates: { floorFraction: 1, floorSlots: 1 },
        // With longer queues, overloaded baselines would take most of the benchmark's run time.
        limits: { queuedRequests: 64 },
    }).unwrap();
    return {
        settings,
        incarnation: toIncarnation("benchmark"),
        hasher,
        random: createRandom(seed).getNext,
        tables: createTables(settings),
        effects: createEffectQueue(),
        timers: createTimerService(),
    };
}

const handleNothing = (): void => undefined;

/** Handlers that do nothing, one for each kind of effect. */
export function createIdleHandlers(): { -readonly [Kind in Effect["kind"]]: (effect: EffectOf<Kind>) => void; } {
    return {
        refuseRequest: handleNothing,
        answerCaller: handleNothing,
        replayAnswer: handleNothing,
        relayAnswer: handleNothing,
        interruptAnswer: handleNothing,
        releaseRequest: handleNothing,
        sendRequest: handleNothing,
        resumeStream: handleNothing,
        cancelAttempt: handleNothing,
        readTarget: handleNothing,
        followCacheEvents: handleNothing,
        stopCacheEvents: handleNothing,
        sendOrder: handleNothing,
        callStore: handleNothing,
        openWatch: handleNothing,
        closeWatch: handleNothing,
        readVmList: handleNothing,
        callPeer: handleNothing,
        answerPeer: handleNothing,
        answerOperator: handleNothing,
        writeLog: handleNothing,
        addCount: handleNothing,
        recordValue: handleNothing,
        updateGauge: handleNothing,
        closeListeners: handleNothing,
        exitProcess: handleNothing,
    };
}
