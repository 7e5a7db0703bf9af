/** Simulates several VMs with the real systems on a virtual clock, against one store and one service in memory. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Err, type Result } from "ts-results";
import { parseDocument } from "../../src/config/document";
import { parseSettings } from "../../src/config/settings";
import { createEffectQueue, type EffectHandlers, type EffectOf } from "../../src/effects";
import { type ConfigVersion, type RequestId, toIncarnation, toMillis, toRequestId, toVmId } from "../../src/ids";
import type { Hasher } from "../../src/policy/prefix";
import type { Refusal } from "../../src/refusals";
import type { AnswerRecord } from "../../src/requests";
import { createRunner, type Runner } from "../../src/runner";
import type { StoreAnswer, StoreFailure } from "../../src/store";
import { admitRequests } from "../../src/systems/admitRequests";
import { claimRequests } from "../../src/systems/claimRequests";
import { expireClaims } from "../../src/systems/expireClaims";
import { expireRequests } from "../../src/systems/expireRequests";
import { followAttempts } from "../../src/systems/followAttempts";
import { routeRequests } from "../../src/systems/routeRequests";
import { createTables } from "../../src/tables";
import { getStateAfterReservation } from "../../src/tables/requests";
import { createTimerService } from "../../src/timers";
import type { System, World } from "../../src/world";
import { createKeyValueStore } from "../../standins/keyValueStore";
import { runStoreCall } from "../../standins/storeCalls";
import { createVirtualClock, createVirtualTime } from "../../standins/virtualTime";
import { hashKey } from "./fleet";

export type StoreFault = "none" | "requestLost" | "answerLost" | "late" | "refused";
/** `lostBefore`, `lostAfter`: the connection closes before or after the call ran. */
export type TargetFault = "none" | "refused" | "lostBefore" | "lostAfter" | "failed" | "notRun" | "hangs";

export interface SimulatedRun {
    readonly key: string;
    readonly request: RequestId;
}

/** The response that the caller of a request received. */
export type Outcome =
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "replayed" | "answered"; readonly text: string; };

export interface SimulatedCall {
    readonly vm: string;
    readonly account: string;
    /** Idempotency key. */
    readonly id: string;
    readonly body: string;
    readonly timeoutMs?: number;
}

interface Node {
    readonly runner: Runner;
    readonly attempts: Map<RequestId, { isCancelled: boolean; }>;
    pausedUntil: number;
    isStopped: boolean;
}

const storeTimeoutMs = 1000;
/** Replaces token reservation by an unlimited rate, so that the histories depend on claims only. */
const reserveNothing: System = (world, tick) => {
    for (const row of world.tables.requests.list("reserving")) {
        row.queuedAt = tick.now;
        world.tables.requests.updateState(row, getStateAfterReservation(row));
    }
};
const systems = [
    followAttempts,
    expireRequests,
    admitRequests,
    reserveNothing,
    claimRequests,
    expireClaims,
    routeRequests,
];

const account = { rate: 1000, burst: 1000 };
const target = { kind: "service", service: "ledger", dataCentre: "dc-0" };
const document = parseDocument({
    accounts: { shop: account, other: account },
    keys: { [hashKey("shop")]: { account: "shop" }, [hashKey("other")]: { account: "other" } },
    routes: { orders: { kind: "service", service: "ledger" } },
    targets: { a: { ...target, address: "127.0.0.1:1" }, b: { ...target, address: "127.0.0.1:2" } },
}).unwrap();

/** Creates a simulation. The history is deterministic for a given seed and sequence of calls. */
export function createClaimSimulation({ seed, hasher }: { readonly seed: number; readonly hasher: Hasher; }) {
    const generator = xoroshiro128plus(seed);
    const getRandom = (): number => uniformFloat64(generator);
    const time = createVirtualTime();
    const { schedule } = time;
    const nodes = new Map<string, Node>();
    const runs: SimulatedRun[] = [];
    const outcomes = new Map<RequestId, Outcome>();
    const keys = new Map<RequestId, string>();
    const store = createKeyValueStore({ getNow: time.getNow });
    const faults = {
        chooseStoreFault: (): StoreFault => "none",
        chooseTargetFault: (): TargetFault => "none",
        isStoreDown: false,
        wallOffsetMs: 1_800_000_000_000,
    };

    function handleStoreCall(node: Node, { purpose, call }: EffectOf<"callStore">): void {
        const sentAt = toMillis(time.getNow());
        const postReply = (delay: number, result: Result<StoreAnswer, StoreFailure>): void => {
            schedule(delay, () => {
                node.runner.post({ kind: "storeReplied", purpose, outcome: { result, sentAt } });
            });
        };
        const postFailure = (delay: number, effect: StoreFailure["effect"]): void => {
            postReply(delay, Err({ effect, message: "Simulated." }));
        };
        const handlers: { readonly [Fault in StoreFault]: () => void; } = {
            none: () => {
                schedule(1 + 9 * getRandom(), () => {
                    postReply(1 + 9 * getRandom(), runStoreCall(store, call));
                });
            },
            requestLost: () => {
                postFailure(storeTimeoutMs, "unknown");
            },
            answerLost: () => {
                schedule(5, () => runStoreCall(store, call));
                postFailure(5 + 50 * getRandom(), "unknown");
            },
            late: () => {
                schedule(storeTimeoutMs * (0.5 + 2 * getRandom()), () => runStoreCall(store, call));
                postFailure(storeTimeoutMs, "unknown");
            },
            refused: () => {
                postFailure(1, "none");
            },
        };
        handlers[faults.isStoreDown ? "refused" : faults.chooseStoreFault()]();
    }

    function sendRequest(node: Node, { request, attempt, call }: EffectOf<"sendRequest">): void {
        const state = { isCancelled: false };
        node.attempts.set(request, state);
        const base = { request, attempt };
        const postFailure = (failure: "connect" | "closed"): void => {
            node.runner.post({ kind: "attemptFailed", ...base, failure, lastEventId: 0 });
        };
        const run = (): AnswerRecord => {
            runs.push({ key: keys.get(request) ?? "", request });
            return { status: 200, contentType: "text/plain", body: `run of ${request} ${call.path}` };
        };
        const answer = (record: AnswerRecord, isRefusedBeforeRun = false): void => {
            const { status } = record;
            node.runner.post({ kind: "attemptAnswered", ...base, status, isRefusedBeforeRun, buffered: { record } });
        };
        const refusal = { status: 503, contentType: "text/plain", body: "busy" };
        // Each handler runs after the bytes were written to the socket, whether or not the VM is still running.
        const handlers: { readonly [Fault in Exclude<TargetFault, "refused">]: () => void; } = {
            none: () => {
                answer(run());
            },
            lostBefore: () => {
                postFailure("closed");
            },
            lostAfter: () => {
                run();
                postFailure("closed");
            },
            failed: () => {
                answer({ ...run(), status: 503 });
            },
            notRun: () => {
                answer(refusal, true);
            },
            hangs: run,
        };
        const fault = faults.chooseTargetFault();
        schedule(1 + 20 * getRandom(), () => {
            if (state.isCancelled || node.isStopped) {
                return;
            }
            if (fault === "refused") {
                postFailure("connect");
                return;
            }
            node.runner.post({ kind: "attemptWriteStarted", ...base });
            schedule(1 + 200 * getRandom(), handlers[fault]);
        });
    }

    function createWorld(vm: string, incarnation: number): World {
        const settings = parseSettings({
            vm,
            dataCentre: "dc-0",
            fleetSecret: "a-secret-of-the-simulation",
            listen: { callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3" },
            store: { address: "127.0.0.1:4" },
        }).unwrap();
        const tables = createTables(settings);
        tables.configuration.apply(1 as ConfigVersion, document);
        tables.configuration.freshness = "fresh";
        tables.targets.applyConfiguration(document.targets);
        tables.node.state = "live";
        const member = { vm: toVmId(vm), state: "live", isLeaving: false } as Parameters<typeof tables.members.add>[0];
        tables.members.add(member);
        return {
            settings,
            incarnation: toIncarnation(`${vm}-${incarnation}`),
            hasher,
            random: getRandom,
            tables,
            effects: createEffectQueue(),
            timers: createTimerService(),
        };
    }

    /** Starts a VM. A running VM of the same name is stopped first, without draining. */
    function startNode(vm: string): World {
        const previousNode = nodes.get(vm);
        previousNode?.runner.stop();
        if (previousNode) {
            previousNode.isStopped = true;
        }
        const world = createWorld(vm, nodes.size);
        const attempts: Node["attempts"] = new Map();
        const recordOutcome = (request: RequestId, outcome: Outcome): void => {
            outcomes.set(request, outcome);
        };
        const handlers: Partial<EffectHandlers> = {
            refuseRequest: ({ request, refusal }) => {
                recordOutcome(request, { kind: "refused", refusal });
            },
            interruptAnswer: ({ request, refusal }) => {
                recordOutcome(request, { kind: "refused", refusal });
            },
            replayAnswer: ({ request, answer }) => {
                recordOutcome(request, { kind: "replayed", text: answer.body });
            },
            relayAnswer: ({ request }) => {
                recordOutcome(request, { kind: "answered", text: "" });
            },
            callStore: effect => {
                handleStoreCall(node, effect);
            },
            sendRequest: effect => {
                sendRequest(node, effect);
            },
            cancelAttempt: ({ request }) => {
                const attempt = attempts.get(request);
                if (attempt) {
                    attempt.isCancelled = true;
                }
            },
        };
        const handleNothing = (): void => undefined;
        const allHandlers = new Proxy(handlers, {
            get: (definedHandlers, kind) => definedHandlers[kind as keyof EffectHandlers] ?? handleNothing,
        }) as EffectHandlers;
        const clock = createVirtualClock({
            time,
            getWallNow: () => faults.wallOffsetMs + time.getNow(),
            runAt: function runAt(at, action) {
                time.scheduleAt(at, () => {
                    if (node.pausedUntil > time.getNow()) {
                        runAt(node.pausedUntil, action);
                    }
                    else {
                        action();
                    }
                });
            },
        });
        const node: Node = {
            runner: createRunner({ world, systems, handlers: allHandlers, clock }),
            attempts,
            pausedUntil: 0,
            isStopped: false,
        };
        nodes.set(vm, node);
        node.runner.start();
        return world;
    }

    /** Sends a call to a VM and returns the request id, which is the key of its outcome in `outcomes`. */
    function sendCall({ vm, account: name, id, body, timeoutMs = 4000 }: SimulatedCall): RequestId {
        const request = toRequestId(`r${keys.size + 1}`);
        keys.set(request, `${name}/${id}`);
        nodes.get(vm)?.runner.post({
            kind: "requestArrived",
            arrival: {
                request,
                keyHash: hashKey(name) as never,
                endpoint: "service",
                routeName: "orders",
                method: "POST",
                path: "/jobs",
                stream: false,
                prompt: new Uint8Array(),
                maxTokens: undefined,
                priority: undefined,
                bodyBytes: body.length,
                bodyHash: hashKey(body),
                idempotencyKey: id,
                timeoutMs,
                arrivedAt: toMillis(time.getNow()),
            },
        });
        return request;
    }

    return {
        store,
        faults,
        runs,
        outcomes,
        keys,
        random: getRandom,
        schedule,
        runUntil: time.runUntil,
        startNode,
        sendCall,
        getNow: time.getNow,
        /** Stops a VM at once; bytes that it has not yet written to a socket are lost. */
        stopNode: (vm: string) => {
            const node = nodes.get(vm);
            node?.runner.stop();
            if (node) {
                node.isStopped = true;
            }
        },
        /** Delays every tick of a VM until the pause is over. */
        pauseNode: (vm: string, milliseconds: number) => {
            const node = nodes.get(vm);
            if (node) {
                node.pausedUntil = time.getNow() + milliseconds;
            }
        },
    };
}
