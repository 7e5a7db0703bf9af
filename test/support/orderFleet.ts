/** Simulates several processes with one store and engines in virtual time and records the weight orders they send. */
import { Err, Ok } from "ts-results";
import type { ForwardEffect, ForwardEffectOf } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toWeightsVersion, type WeightsVersion } from "../../src/forward/ids";
import { toMillis } from "../../src/ids";
import type { StoreCall, StoreOutcome } from "../../src/store";
import { buildDocument, buildTarget, createForwardTestNode, type ForwardTestNode, model } from "./forwardNode";
import { createVirtualStore } from "./virtualStore";

/**
 * Connection of a process to the store. `cut`: calls do not arrive; `lost`: calls are executed but their answers are
 * lost; `late`: as `lost`, but calls are executed seconds later.
 */
export type StoreLink = "open" | "cut" | "lost" | "late";

/** Order for new weights that reached an engine. */
export interface ReceivedOrder {
    readonly engine: string;
    readonly holder: string;
    readonly fencingToken: number;
    readonly at: number;
}

export interface OrderNode {
    readonly test: ForwardTestNode;
    storeLink: StoreLink;
    /** True once the process has stopped as planned. */
    readonly hasExited: boolean;
    /** Pauses the process. With `isSuspended`, its monotonic clock stops as well, as in a suspended VM. */
    pause(ms: number, isSuspended: boolean): void;
}

interface SimulatedOrderNode extends OrderNode {
    hasExited: boolean;
    /** Remaining time of the pause, and its length, by which the clocks advance when the process runs again. */
    activePause: { remainingMs: number; readonly ms: number; readonly isSuspended: boolean; } | undefined;
    /** Events to deliver and their times: the first read of the store, and store calls that time out. */
    pendingEvents: { readonly at: number; readonly event: ForwardEvent; }[];
    /** Changes and version that the watch has delivered so far, and when it last did. */
    watchPosition: { changeCount: number; publishedVersion: WeightsVersion; at: number; };
}

export interface OrderFleet {
    readonly nodes: readonly OrderNode[];
    readonly receivedOrders: readonly ReceivedOrder[];
    /** Versions that each engine has accepted, in order, beginning with its initial one. */
    readonly acceptedVersions: ReadonlyMap<string, readonly WeightsVersion[]>;
    /** Delay after which engines execute an order. Unless it is 0, orders get no answer. */
    orderDelayMs: number;
    publishVersion(version: number): void;
    /** Discards the store's history, so that each process reads the whole store where the watch would have gone on. */
    loseHistory(): void;
    /** Stops the rollout leader as planned; it does not run again. */
    stopLeader(): void;
    run(ms: number): void;
}

const stepMs = 20;
/** Timeout of a store call. */
const callTimeoutMs = 800;
/** Interval at which an open watch delivers changes. */
const watchIntervalMs = 100;
const reconnectMs = 500;
const loadDurationMs = 600;
const engineNames = ["e1", "e2", "e3"];

/**
 * Creates engines that reject an order unless its `expectedOrderCount` equals the number of orders accepted so far.
 * They do not check fencing tokens.
 */
function createEngines(getNow: () => number, getDelayMs: () => number) {
    const receivedOrders: ReceivedOrder[] = [];
    const acceptedVersions = new Map(engineNames.map(name => [name, [toWeightsVersion(1)]]));
    const lateOrders: { readonly at: number; readonly execute: () => void; }[] = [];
    const busyUntil = new Map<string, number>();

    function applyOrder(
        name: string,
        { expectedOrderCount, version }: ForwardEffectOf<"orderWeights">["order"],
    ): boolean {
        const versions = acceptedVersions.get(name) ?? [];
        if (expectedOrderCount !== versions.length - 1) {
            return false;
        }
        versions.push(version);
        busyUntil.set(name, getNow() + loadDurationMs);
        return true;
    }

    return {
        receivedOrders,
        acceptedVersions,
        runDueOrders: () => {
            for (const { execute } of lateOrders.filter(({ at }) => getNow() >= at)) {
                execute();
            }
            lateOrders.splice(0, lateOrders.length, ...lateOrders.filter(({ at }) => getNow() < at));
        },
        answerReport: (effect: ForwardEffectOf<"readEngine">): ForwardEvent => {
            const versions = acceptedVersions.get(effect.instance) ?? [];
            const isBusy = getNow() < (busyUntil.get(effect.instance) ?? 0);
            const weights = new Map([[model, versions.at(isBusy ? -2 : -1) ?? toWeightsVersion(1)]]);
            const report = { weights, isBusy, acceptedOrderCount: versions.length - 1 };
            return { kind: "engineReported", target: effect.target, report: Ok(report) };
        },
        receiveOrder: ({ instance, target, order }: ForwardEffectOf<"orderWeights">): ForwardEvent => {
            const { holder, fencingToken, version } = order;
            receivedOrders.push({ engine: instance, holder, fencingToken, at: getNow() });
            const delayMs = getDelayMs();
            if (delayMs > 0) {
                lateOrders.push({ at: getNow() + delayMs, execute: () => applyOrder(instance, order) });
                return { kind: "orderAnswered", target, version, outcome: "unknown" };
            }
            const outcome = applyOrder(instance, order) ? "started" : "conflict";
            return { kind: "orderAnswered", target, version, outcome };
        },
    };
}

/** Creates processes that, once they run, read the store and elect a rollout leader. */
export async function startOrderFleet(size = 3): Promise<OrderFleet> {
    let now = 0;
    const getNow = (): number => now;
    const store = createVirtualStore(getNow);
    const engines = createEngines(getNow, () => fleet.orderDelayMs);
    let publishedVersion = toWeightsVersion(1);
    /** Number of changes that the store has discarded. */
    let lostChangeCount = 0;

    const targets = engineNames.map(name => ({ name, target: buildTarget(name) }));

    async function createNode(index: number): Promise<SimulatedOrderNode> {
        const test = await createForwardTestNode(`front-${index + 1}`, index + 1);
        test.run();
        const read = test.buildReadEvent({
            document: buildDocument(),
            targets,
            weights: [{ model, version: publishedVersion }],
        });
        const node: SimulatedOrderNode = {
            test,
            storeLink: "open",
            pause: (ms, isSuspended) => {
                node.activePause ??= { remainingMs: ms, ms, isSuspended };
            },
            activePause: undefined,
            pendingEvents: [{ at: 0, event: read }],
            watchPosition: { changeCount: 0, publishedVersion, at: 0 },
            hasExited: false,
        };
        return node;
    }

    const nodes = await Promise.all(Array.from({ length: size }, (_, index) => createNode(index)));

    const storeCallsByLink: Readonly<Record<StoreLink, (call: StoreCall) => StoreOutcome["result"] | undefined>> = {
        open: store.run,
        cut: () => undefined,
        lost: call => {
            store.run(call);
            return undefined;
        },
        late: call => {
            store.runLater(call);
            return undefined;
        },
    };

    function sendToStore(node: SimulatedOrderNode, effect: ForwardEffectOf<"callStore">): readonly ForwardEvent[] {
        const { call, purpose } = effect;
        const sentAt = toMillis(node.test.getNow());
        const result = storeCallsByLink[node.storeLink](call);
        if (result) {
            return [{ kind: "storeReplied", purpose, outcome: { result, sentAt } }];
        }
        const noAnswer = Err({ effect: "unknown" as const, message: "no answer" });
        const event: ForwardEvent = { kind: "storeReplied", purpose, outcome: { result: noAnswer, sentAt } };
        node.pendingEvents.push({ at: now + callTimeoutMs, event });
        return [];
    }

    const createEffectHandler = (node: SimulatedOrderNode) => (effect: ForwardEffect): readonly ForwardEvent[] => {
        if (effect.kind === "callStore") {
            return sendToStore(node, effect);
        }
        if (effect.kind === "exitProcess") {
            node.hasExited = true;
            return [];
        }
        if (effect.kind === "readEngine") {
            return [engines.answerReport(effect)];
        }
        return effect.kind === "orderWeights" ? [engines.receiveOrder(effect)] : [];
    };

    /** Returns the events that are due: timed-out calls and changes from the watch. */
    function listEvents(node: SimulatedOrderNode): ForwardEvent[] {
        const events = node.pendingEvents.filter(({ at }) => now >= at).map(({ event }) => event);
        node.pendingEvents = node.pendingEvents.filter(({ at }) => now < at);
        if (node.storeLink === "open" && now - node.watchPosition.at >= watchIntervalMs) {
            const { changeCount, publishedVersion: knownVersion } = node.watchPosition;
            const weights = [{ model, version: publishedVersion }];
            node.watchPosition = { changeCount: store.changes.length, publishedVersion, at: now };
            if (changeCount < lostChangeCount) {
                const document = buildDocument();
                events.push(node.test.buildReadEvent({ document, targets, weights, rows: store.listRows() }));
                return events;
            }
            const rows = store.changes.slice(changeCount);
            events.push(node.test.buildChangeEvent({ rows, weights: publishedVersion > knownVersion ? weights : [] }));
        }
        return events;
    }

    function runNode(node: SimulatedOrderNode): void {
        const { activePause: currentPause, test } = node;
        if (currentPause && currentPause.remainingMs > 0) {
            currentPause.remainingMs -= stepMs;
            return;
        }
        if (currentPause?.isSuspended) {
            test.suspend(currentPause.ms);
        }
        if (currentPause) {
            // The watch delivers nothing until it has reconnected.
            node.watchPosition.at = now + reconnectMs;
        }
        const effects = currentPause && !currentPause.isSuspended ? test.run([], currentPause.ms) : [];
        node.activePause = undefined;
        const answer = createEffectHandler(node);
        test.runFor(stepMs, answer, [...effects.flatMap(answer), ...listEvents(node)]);
    }

    const fleet: OrderFleet = {
        nodes,
        receivedOrders: engines.receivedOrders,
        acceptedVersions: engines.acceptedVersions,
        orderDelayMs: 0,
        publishVersion: version => {
            publishedVersion = toWeightsVersion(Math.max(version, publishedVersion));
        },
        loseHistory: () => {
            lostChangeCount = store.changes.length;
        },
        stopLeader: () => {
            const leader = nodes.find(({ test, hasExited }) =>
                !hasExited && test.world.tables.node.rolloutLeadership.state === "held"
            );
            leader?.pendingEvents.push({ at: now, event: { kind: "drainRequested" } });
        },
        run: ms => {
            for (const end = now + ms; now < end; now += stepMs) {
                engines.runDueOrders();
                store.runDueCalls();
                nodes.filter(({ hasExited }) => !hasExited).forEach(runNode);
            }
        },
    };
    return fleet;
}
