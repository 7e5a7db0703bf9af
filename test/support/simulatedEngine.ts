/**
 * Simulated engine on a virtual clock, with delayed state reports, weight orders, a limited number of slots, and
 * prefill of one prompt at a time.
 */
import type { EffectOf } from "../../src/effects";
import type { Event } from "../../src/events";
import { type RequestId, toIncarnation, toModelId, toModelVersion } from "../../src/ids";
import type { OrderOutcome, TargetReport } from "../../src/targets";
import type { Simulation } from "./virtualFleet";

type Post = (event: Event) => void;

export interface SimulatedEngineOptions {
    readonly address: string;
    readonly version: string;
    readonly checksFencing?: boolean;
    readonly loadMs?: number;
    readonly slots?: number;
    readonly prefillTokensPerSecond?: number;
    readonly decodeMs?: number;
}

export interface SimulatedEngine {
    readonly address: string;
    /** Received orders, in order of arrival, and whether each was accepted. */
    readonly orders: {
        readonly at: number;
        readonly fencingToken: number;
        readonly version: string;
        accepted: boolean;
    }[];
    readonly attempts: {
        readonly at: number;
        readonly request: RequestId;
        readonly call: EffectOf<"sendRequest">["call"];
    }[];
    /** Requests in the order in which they were assigned a slot. */
    readonly started: { readonly at: number; readonly request: RequestId; }[];
    readonly faults: {
        isDown: boolean;
        /** Number of next orders that are lost before they arrive. */
        ordersToLose: number;
        /** Number of next orders whose answers are lost. */
        orderAnswersToLose: number;
        /** Network delay of orders. */
        orderDelayMs: number;
        /** Status with which requests fail instead of running; 0 for none. */
        failureStatus: number;
    };
    /** Returns the current state. */
    getState(): { readonly state: TargetReport["state"]; readonly version: string; };
    /** Returns the last report, which lags behind the current state; undefined while the engine is down. */
    getReport(): TargetReport | undefined;
    handleOrder(effect: EffectOf<"sendOrder">, post: Post): void;
    handleRequest(effect: EffectOf<"sendRequest">, post: Post): void;
    cancelRequest(request: RequestId): void;
    crash(): void;
    startLeaving(): void;
}

const reportLagMs = 900;
const orderTimeoutMs = 2000;

/** Adds an engine to the simulation. */
export function addSimulatedEngine(simulation: Simulation, options: SimulatedEngineOptions): SimulatedEngine {
    const {
        address,
        checksFencing = false,
        loadMs = 800,
        slots = 8,
        prefillTokensPerSecond = 20_000,
        decodeMs = 200,
    } = options;
    let { version } = options;
    let state: TargetReport["state"] = "ready";
    let incarnation = 1;
    let highestFencingToken = 0;
    let running = 0;
    let prefillFreeAt = 0;
    const queue: (() => void)[] = [];
    const cancelled = new Set<RequestId>();
    const orders: SimulatedEngine["orders"] = [];
    const attempts: SimulatedEngine["attempts"] = [];
    const started: SimulatedEngine["started"] = [];
    const faults = { isDown: false, ordersToLose: 0, orderAnswersToLose: 0, orderDelayMs: 1, failureStatus: 0 };
    let report = buildReport();

    function buildReport(): TargetReport {
        return {
            incarnation: toIncarnation(`${address}-${incarnation}`),
            state,
            model: toModelId("copywriter"),
            version: toModelVersion(version),
            runningRequests: running,
            waitingRequests: queue.length,
            waitingTokens: 0,
        };
    }

    function updateReport(): void {
        report = buildReport();
        simulation.schedule(reportLagMs, updateReport);
    }
    updateReport();

    function handleArrivedOrder({ order }: EffectOf<"sendOrder">): OrderOutcome {
        const accepted = !checksFencing || order.fencingToken >= highestFencingToken;
        orders.push({ at: simulation.getNow(), fencingToken: order.fencingToken, version: order.version, accepted });
        if (!accepted) {
            return "outdated";
        }
        highestFencingToken = Math.max(highestFencingToken, order.fencingToken);
        if (state === "ready" && version !== order.version) {
            state = "loading";
            const orderedIncarnation = incarnation;
            simulation.schedule(loadMs, () => {
                if (orderedIncarnation === incarnation && state === "loading") {
                    version = order.version;
                    state = "ready";
                }
            });
        }
        return "accepted";
    }

    function handleOrder(effect: EffectOf<"sendOrder">, post: Post): void {
        const { target, order: { order } } = effect;
        const isLost = faults.ordersToLose > 0 || faults.isDown;
        faults.ordersToLose -= faults.ordersToLose > 0 ? 1 : 0;
        const isAnswerLost = isLost || faults.orderAnswersToLose > 0;
        faults.orderAnswersToLose -= !isLost && faults.orderAnswersToLose > 0 ? 1 : 0;
        if (isAnswerLost) {
            simulation.schedule(orderTimeoutMs, () => {
                post({ kind: "orderAnswered", target, order, outcome: "unknown" });
            });
        }
        if (!isLost) {
            simulation.schedule(faults.orderDelayMs, () => {
                const outcome = handleArrivedOrder(effect);
                if (!isAnswerLost) {
                    post({ kind: "orderAnswered", target, order, outcome });
                }
            });
        }
    }

    function startNextRequest(): void {
        if (running < slots) {
            queue.shift()?.();
        }
    }

    function runRequest({ request, attempt, call }: EffectOf<"sendRequest">, post: Post): void {
        const startIncarnation = incarnation;
        const isAborted = (): boolean => cancelled.has(request) || startIncarnation !== incarnation;
        running += 1;
        started.push({ at: simulation.getNow(), request });
        const tokens = Number(call.engine?.blocks.length ?? 0) * 1000;
        const start = Math.max(simulation.getNow(), prefillFreeAt);
        prefillFreeAt = start + (tokens / prefillTokensPerSecond) * 1000;
        simulation.schedule(prefillFreeAt - simulation.getNow(), () => {
            if (isAborted()) {
                return;
            }
            post({ kind: "attemptAnswered", request, attempt, status: 200, isRefusedBeforeRun: false });
            post({ kind: "attemptFirstToken", request, attempt });
        });
        simulation.schedule(prefillFreeAt - simulation.getNow() + decodeMs, () => {
            if (startIncarnation === incarnation) {
                running -= 1;
                startNextRequest();
            }
            if (!isAborted()) {
                post({ kind: "attemptFinished", request, attempt });
            }
        });
    }

    function handleRequest(effect: EffectOf<"sendRequest">, post: Post): void {
        const { request, attempt, call } = effect;
        attempts.push({ at: simulation.getNow(), request, call });
        if (faults.isDown) {
            post({ kind: "attemptFailed", request, attempt, failure: "connect", lastEventId: 0 });
            return;
        }
        post({ kind: "attemptWriteStarted", request, attempt });
        const isRefused = state === "loading" || call.engine?.model !== `copywriter@${version}`;
        if (faults.failureStatus > 0 || isRefused) {
            const status = faults.failureStatus > 0 ? faults.failureStatus : 404;
            post({ kind: "attemptAnswered", request, attempt, status, isRefusedBeforeRun: isRefused, buffered: {} });
            return;
        }
        queue.push(() => {
            runRequest(effect, post);
        });
        startNextRequest();
    }

    const engine: SimulatedEngine = {
        address,
        orders,
        attempts,
        started,
        faults,
        getState: () => ({ state, version }),
        getReport: () => (faults.isDown ? undefined : report),
        handleOrder,
        handleRequest,
        cancelRequest: request => {
            cancelled.add(request);
        },
        crash: () => {
            incarnation += 1;
            running = 0;
            queue.length = 0;
            state = "ready";
            report = buildReport();
        },
        startLeaving: () => {
            state = "leaving";
        },
    };
    simulation.addEngine(engine);
    return engine;
}
