/**
 * Simulates several processes with one store and servers of two versions of a plain service in virtual time, and records
 * what each version gets.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Err, Ok } from "ts-results";
import { buildServiceRolloutCall, decodeServiceOrder, rolloutOrderPrefix } from "../../platform/serviceRollouts";
import type { ForwardEffect, ForwardEffectOf } from "../../src/forward/effects";
import type { ForwardEvent, ForwardStorePurpose, ServiceOrderChange } from "../../src/forward/events";
import { toServerVersion } from "../../src/forward/ids";
import type { PeerState } from "../../src/forward/peers";
import { type RouteId, toCallId, toMillis } from "../../src/ids";
import type { StoreCall } from "../../src/store";
import {
    buildArrival,
    buildDocument,
    buildHeaderFields,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    plainService,
} from "./forwardNode";
import type { RolloutFleetOptions, ServedRequest, ServerAnswer } from "./rolloutFleetTypes";
import { createVirtualStore } from "./virtualStore";

interface SimulatedNode {
    test: ForwardTestNode;
    events: ForwardEvent[];
    changeCount: number;
    /** Changes of orders and servers that the watch has not delivered yet, and when it next delivers. */
    watched: ForwardEvent[];
    nextWatchAt: number;
    /** Processes of different groups do not reach each other. */
    group: number;
    isDown: boolean;
}

const stepMs = 20;
/** Shortest and longest time between two deliveries of the store's changes to a process. */
const minWatchMs = 100;
export const maxWatchMs = 1000;
const callDelayMs = 20;
const callTimeoutMs = 600;
export const canaryShare = 0.1;
export const canarySlack = 50;
export const rollbackMs = 5000;
const host = "shop.example";

const buildReceivedState = (state: PeerState): PeerState => JSON.parse(JSON.stringify(state)) as PeerState;

export type RolloutFleet = Awaited<ReturnType<typeof startRolloutFleet>>;

/** Creates processes that have read the store and know the servers; no order stands yet. */
export async function startRolloutFleet(options: RolloutFleetOptions = {}) {
    const { nodes: nodeCount = 6, seed = 1, oldServers = 6, newServers = 6, rates = { main: 80 }, answer } = options;
    const generator = xoroshiro128plus(seed);
    const getRandom = (): number => (generator.next() >>> 0) / 2 ** 32;
    let now = 0;
    let requestNumber = 0;
    let isStoreAway = false;
    const store = createVirtualStore(() => now);
    const nodes: SimulatedNode[] = [];
    const served: ServedRequest[] = [];
    const underWay = new Map<string, ServedRequest>();
    const scheduled: { readonly at: number; readonly run: () => void; }[] = [];
    /** Status of the operators with the time of its change, and requests then open on other versions. */
    const statuses: { readonly at: number; readonly state: string; readonly openOnOthers: number; }[] = [];
    let order: { readonly text: string | undefined; readonly revision: number; } = { text: undefined, revision: 1000 };
    const servers = [
        ...Array.from({ length: oldServers }, (_, index) => ({ name: `old-${index}`, version: "v1" })),
        ...Array.from({ length: newServers }, (_, index) => ({ name: `new-${index}`, version: "v2" })),
    ];
    const routes = Object.keys(rates).map(name =>
        buildRoute({
            id: name as RouteId,
            kind: "repeatable",
            prefix: `/${name}/`,
            services: [{ service: plainService, weight: 1 }],
            isResumable: false,
        })
    );
    const statusKey = `status/rollout/${plainService}`;

    function buildOrderChanges(): ServiceOrderChange[] {
        const { text, revision } = order;
        return [decodeServiceOrder(`${rolloutOrderPrefix}${plainService}`, text, revision)];
    }

    const buildTargets = (listed: typeof servers) =>
        listed.map(({ name, version }) => ({
            name,
            target: buildTarget(name, { service: plainService, version: toServerVersion(version), weights: new Map() }),
        }));

    function postToReaders(build: (node: SimulatedNode) => ForwardEvent): void {
        nodes.filter(node => !node.isDown).forEach(node => node.watched.push(build(node)));
    }

    function recordStatus(): void {
        const text = store.getValue(statusKey);
        const state = text === undefined ? "none" : (JSON.parse(text) as { readonly state: string; }).state;
        if (state !== (statuses.at(-1)?.state ?? "none")) {
            const to = text === undefined ? "" : (JSON.parse(text) as { readonly to: string; }).to;
            const openOnOthers = [...underWay.values()].filter(({ version }) => version !== to).length;
            statuses.push({ at: now, state, openOnOthers });
        }
    }

    function handleRequest(index: number, effect: ForwardEffectOf<"sendRequest">): ForwardEvent[] {
        const { request, attempt, call } = effect;
        const node = nodes[index] as SimulatedNode;
        const server = servers.find(({ name }) => name === call.instance);
        const route = node.test.world.tables.requests.get(request)?.route.id ?? "";
        if (!server) {
            return [{ kind: "attemptFailed", request, attempt, fault: "connection_refused", lastEventId: 0 }];
        }
        const { name, version } = server;
        const load = [...underWay.values()].filter(entry => entry.server === name).length + 1;
        const sound: ServerAnswer = { ms: 60 * (0.5 + getRandom()) + (getRandom() < 0.02 ? 150 : 0) };
        const { ms, status = 200 } =
            answer?.({ server: name, version, route, at: now, underWay: load, random: getRandom() })
                ?? sound;
        const key = `${index} ${request} ${attempt}`;
        const entry: ServedRequest = {
            node: index,
            version,
            server: name,
            route,
            at: now,
            isBad: status >= 500 || ms >= 200,
            answersAt: now + ms,
            isOpen: true,
        };
        served.push(entry);
        underWay.set(key, entry);
        const { test } = node;
        scheduled.push({
            at: now + ms,
            run: () => {
                underWay.delete(key);
                if (node.test === test && entry.isOpen) {
                    const headerFields = buildHeaderFields(request);
                    node.events.push({
                        kind: "attemptAnswered",
                        request,
                        attempt,
                        status,
                        headerFields,
                        isOpenStream: false,
                    });
                }
                entry.isOpen = false;
            },
        });
        return [{ kind: "attemptWriteStarted", request, attempt }];
    }

    function cancelAttempt(index: number, { request, attempt }: ForwardEffectOf<"cancelAttempt">): ForwardEvent[] {
        const key = `${index} ${request} ${attempt}`;
        const entry = underWay.get(key);
        if (entry) {
            entry.isOpen = false;
            underWay.delete(key);
        }
        return [];
    }

    function sendToStore(index: number, purpose: ForwardStorePurpose, call: StoreCall): ForwardEvent[] {
        const node = nodes[index] as SimulatedNode;
        const sentAt = toMillis(node.test.getNow());
        if (isStoreAway) {
            const result = Err({ effect: "unknown" as const, message: "no answer" });
            const { test } = node;
            scheduled.push({
                at: now + callTimeoutMs,
                run: () => {
                    if (node.test === test) {
                        node.events.push({ kind: "storeReplied", purpose, outcome: { result, sentAt } });
                    }
                },
            });
            return [];
        }
        const result = store.run(call);
        recordStatus();
        return [{ kind: "storeReplied", purpose, outcome: { result, sentAt } }];
    }

    const canReach = (from: SimulatedNode, to: SimulatedNode | undefined): to is SimulatedNode =>
        to !== undefined && !from.isDown && !to.isDown && from.group === to.group;

    function sendToPeer(index: number, { vm, state }: ForwardEffectOf<"callPeer">): ForwardEvent[] {
        const from = nodes[index] as SimulatedNode;
        const to = nodes.find(({ test }) => test.world.settings.vm === vm);
        if (!canReach(from, to)) {
            return [{ kind: "peerReplied", vm, result: Err({ message: "no answer" }) }];
        }
        const call = toCallId(String(index));
        scheduled.push({
            at: now + callDelayMs,
            run: () => {
                to.events.push({ kind: "peerCallReceived", call, state: buildReceivedState(state) });
            },
        });
        return [];
    }

    function answerPeer(index: number, { call, state }: ForwardEffectOf<"answerPeer">): ForwardEvent[] {
        const caller = nodes[Number(call)];
        const from = nodes[index] as SimulatedNode;
        const { vm } = from.test.world.settings;
        scheduled.push({
            at: now + callDelayMs,
            run: () => {
                if (canReach(from, caller)) {
                    caller.events.push({ kind: "peerReplied", vm, result: Ok(buildReceivedState(state)) });
                }
            },
        });
        return [];
    }

    const effectHandlers: {
        readonly [Kind in ForwardEffect["kind"]]?: (node: number, effect: ForwardEffectOf<Kind>) => ForwardEvent[];
    } = {
        sendRequest: handleRequest,
        cancelAttempt,
        callPeer: sendToPeer,
        answerPeer,
        callStore: (index, { purpose, call }) => sendToStore(index, purpose, call),
        recordServiceRollout: (index, effect) =>
            sendToStore(index, { for: "serviceRollout", service: effect.service }, buildServiceRolloutCall(effect)),
    };

    const createEffectHandler = (index: number) => (effect: ForwardEffect): readonly ForwardEvent[] =>
        (effectHandlers[effect.kind] as ((node: number, effect: ForwardEffect) => ForwardEvent[]) | undefined)?.(
            index,
            effect,
        ) ?? [];

    function runNode(node: SimulatedNode, index: number): void {
        if (node.isDown) {
            return;
        }
        if (!isStoreAway && now >= node.nextWatchAt) {
            const rows = store.changes.slice(node.changeCount);
            node.changeCount = store.changes.length;
            node.nextWatchAt = now + minWatchMs + getRandom() * (maxWatchMs - minWatchMs);
            node.events.push(...node.watched, node.test.buildChangeEvent({ rows }));
            node.watched = [];
        }
        const { events } = node;
        node.events = [];
        node.test.runFor(stepMs, createEffectHandler(index), events);
    }

    async function createNode(index: number): Promise<SimulatedNode> {
        const test = await createForwardTestNode(`front-${index + 10}`, seed * 100 + index, { startAfterMs: now });
        const { world } = test;
        world.settings = {
            ...world.settings,
            bounds: { ...world.settings.bounds, canaryShare, canarySlack, rollbackMs },
        };
        test.run();
        const read = test.buildReadEvent({
            document: buildDocument({ routes }),
            targets: buildTargets(servers),
            rows: store.listRows(),
            serviceOrders: order.text === undefined ? [] : buildOrderChanges(),
        });
        const changeCount = store.changes.length;
        return { test, events: [read], changeCount, watched: [], nextWatchAt: now, group: 0, isDown: false };
    }

    function sendArrivals(): void {
        for (const [route, rate] of Object.entries(rates)) {
            const expected = rate * stepMs / 1000;
            const count = Math.floor(expected) + (getRandom() < expected % 1 ? 1 : 0);
            for (let sent = 0; sent < count; sent += 1) {
                const live = nodes.filter(({ isDown }) => !isDown);
                const node = live[Math.floor(getRandom() * live.length)];
                requestNumber += 1;
                node?.events.push({
                    kind: "requestArrived",
                    arrival: buildArrival(`r${requestNumber}`, {
                        arrivedAt: toMillis(node.test.getNow()),
                        parts: [],
                        model: undefined,
                        host,
                        path: `/${route}/x`,
                    }),
                });
            }
        }
    }

    function runSteps(ms: number): void {
        for (const end = now + ms; now < end; now += stepMs) {
            scheduled.filter(({ at }) => now >= at).forEach(({ run }) => {
                run();
            });
            scheduled.splice(0, scheduled.length, ...scheduled.filter(({ at }) => now < at));
            store.runDueCalls();
            sendArrivals();
            nodes.forEach(runNode);
        }
    }

    for (let index = 0; index < nodeCount; index += 1) {
        nodes.push(await createNode(index));
    }
    runSteps(3000);
    return {
        nodes,
        served,
        statuses,
        getNow: () => now,
        getStatus: () => statuses.at(-1)?.state ?? "none",
        run: runSteps,
        /** Orders the service to move to the version; undefined withdraws the order, a text that is no order is malformed. */
        order: (to: string | undefined, { periodSeconds = 12, text = undefined as string | undefined } = {}): void => {
            const value = JSON.stringify({ "service": plainService, to, "period-s": periodSeconds });
            order = { text: text ?? (to === undefined ? undefined : value), revision: order.revision + 1 };
            postToReaders(({ test }) => test.buildChangeEvent({ serviceOrders: buildOrderChanges() }));
        },
        /** Removes the servers of a version, as the platform does after a rollout. */
        removeServers: (version: string): void => {
            const removed = servers.filter(server => server.version === version);
            servers.splice(0, servers.length, ...servers.filter(server => server.version !== version));
            const targets = removed.map(({ name }) => ({ name, target: undefined }));
            postToReaders(({ test }) => test.buildChangeEvent({ targets }));
        },
        addServers: (version: string, count: number): void => {
            const added = Array.from({ length: count }, (_, index) => ({ name: `${version}-${index}`, version }));
            servers.push(...added);
            postToReaders(({ test }) => test.buildChangeEvent({ targets: buildTargets(added) }));
        },
        /** Index of the process with the rollout leadership; -1 for none. */
        findLeader: (): number =>
            nodes.findIndex(({ test, isDown }) => !isDown && test.world.tables.node.rolloutLeadership.state === "held"),
        killNode: (index: number): void => {
            (nodes[index] as SimulatedNode).isDown = true;
            for (const [key, entry] of underWay) {
                if (entry.node === index) {
                    underWay.delete(key);
                }
            }
        },
        /** Stops a process with its clocks, as a suspension of the VM does, until `resumeNode`. */
        suspendNode: (index: number): void => {
            (nodes[index] as SimulatedNode).isDown = true;
        },
        resumeNode: (index: number, suspendedMs: number): void => {
            const node = nodes[index] as SimulatedNode;
            node.isDown = false;
            node.test.suspend(suspendedMs);
        },
        restartNode: async (index: number): Promise<void> => {
            nodes[index] = await createNode(index);
        },
        setStoreAway: (isAway: boolean): void => {
            isStoreAway = isAway;
        },
        setGroup: (index: number, group: number): void => {
            (nodes[index] as SimulatedNode).group = group;
        },
    };
}

/** Requests that reached a version in a span of time. */
export const countServed = (fleet: RolloutFleet, version: string, from = 0, until = Infinity): number =>
    fleet.served.filter(entry => entry.version === version && entry.at >= from && entry.at < until).length;
