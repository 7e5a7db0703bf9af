/**
 * Simulates many processes that choose among the same engines, in virtual time. An engine computes one prompt at a time,
 * the most urgent first, keeps the shared parts that it used last, and drops its part of a request once it is answered.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Ok } from "ts-results";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { toCachedPartKey, toPartId } from "../../src/forward/ids";
import { toCallId, toMillis } from "../../src/ids";
import {
    buildArrival,
    buildDocument,
    buildHeaderFields,
    buildMemberRows,
    buildRoute,
    buildTarget,
    createForwardTestNode,
    createGrantingStore,
    type ForwardTestNode,
    listNodeNames,
} from "./forwardNode";

/** A kind of request, at a rate of the whole fleet. Shared parts are drawn with weights 1, 1/2, 1/3 and so on. */
export interface LoadKind {
    readonly path: string;
    readonly perSecond: number;
    readonly sharedTokens: number;
    readonly ownTokens: number;
    readonly sharedParts: number;
}

export interface LoadFleetOptions {
    readonly nodes: number;
    readonly engines: number;
    readonly kinds: readonly LoadKind[];
    /** Factor on the rates by time in milliseconds. */
    readonly computeRateFactor?: (now: number) => number;
    /** Speed of an engine relative to the usual one. */
    readonly computeSpeed?: (engine: number) => number;
    readonly prepareNode?: (node: ForwardTestNode) => void;
    readonly warmUpMs?: number;
}

interface QueuedPrompt {
    readonly node: number;
    readonly request: string;
    readonly part: string;
    readonly priority: number;
    readonly sentAt: number;
    readonly isFetched: boolean;
    readonly sharedTokens: number;
    readonly ownTokens: number;
    /** Tokens left to compute; undefined until the engine begins the prompt. */
    leftTokens: number | undefined;
}

/** Figures of one run. Depths are milliseconds of work at the usual speed that an engine has not done yet. */
export interface LoadFigures {
    /** Depth of each engine at each sample. */
    readonly depths: readonly (readonly number[])[];
    readonly sent: number;
    readonly refused: number;
    /** Requests that reached an engine that held their shared part. */
    readonly hits: number;
    /** Times from sending to the first event. */
    readonly firstEventMs: readonly number[];
}

export const stepMs = 20;
export const sampleMs = 100;
const tokensPerMs = 50;
const fetchCost = 0.1;
const idleMs = 80;
const decodeMs = 300;
const callDelayMs = 20;
/** Half the exchange interval: cache events reach a process through its peers. */
const partDelayMsPerNode = 25;
/** Fraction of an engine's memory for cached parts. */
const cacheFraction = 0.6;
const memoryTokens = 100_770;

interface SimulatedEngine {
    readonly speed: number;
    queue: QueuedPrompt[];
    /** Shared parts with their tokens, least recently used first. */
    readonly cache: Map<string, number>;
}

/** Tokens to compute, in which a fetched part counts a tenth. */
function computeTokens(prompt: QueuedPrompt, cache: ReadonlyMap<string, number>): number {
    const { ownTokens, sharedTokens, isFetched, part } = prompt;
    const sharedCost = cache.has(part) ? 0 : isFetched ? fetchCost : 1;
    return ownTokens + sharedTokens * sharedCost;
}

/** Caches the part and evicts the oldest ones; `report` is told of each change. */
function updateCache(
    engine: SimulatedEngine,
    part: string,
    tokens: number,
    report: (part: string, tokens: number) => void,
): void {
    if (!engine.cache.has(part)) {
        report(part, tokens);
    }
    engine.cache.delete(part);
    engine.cache.set(part, tokens);
    let total = [...engine.cache.values()].reduce((sum, value) => sum + value, 0);
    for (const [oldest, oldestTokens] of engine.cache) {
        if (total > memoryTokens * cacheFraction) {
            engine.cache.delete(oldest);
            report(oldest, 0);
            total -= oldestTokens;
        }
    }
}

/** Runs the fleet for `ms` after `warmUpMs`, which count in no figure. */
export async function runLoadFleet(options: LoadFleetOptions, ms: number): Promise<LoadFigures> {
    const { kinds, computeRateFactor = () => 1, computeSpeed = () => 1, prepareNode, warmUpMs = 4000 } = options;
    const generator = xoroshiro128plus(7);
    const getRandom = (): number => (generator.next() >>> 0) / 2 ** 32;
    const engines = Array.from({ length: options.engines }, (_, index): SimulatedEngine => ({
        speed: computeSpeed(index),
        queue: [],
        cache: new Map(),
    }));
    const names = listNodeNames(options.nodes);
    const nodes = await Promise.all(names.map((name, index) => createForwardTestNode(name, index + 1)));
    const stores = nodes.map(node => createGrantingStore(node.getNow));
    const scheduled: { readonly at: number; readonly node: number; readonly event: ForwardEvent; }[] = [];
    const figures = { depths: [] as number[][], sent: 0, refused: 0, hits: 0, firstEventMs: [] as number[] };
    const partReports: { readonly at: number; readonly apply: () => void; }[] = [];
    let now = 0;
    let arrivalCount = 0;

    const routes = kinds.map(({ path }, index) =>
        buildRoute({
            id: `route-${index}` as never,
            prefix: path,
            priority: index * 2,
            latencyObjectiveMs: index === 0 ? 506 : 2003,
        })
    );
    const targets = engines.map((_, index) => ({
        name: `e${index}`,
        target: buildTarget(`e${index}`, { address: String(index) }),
    }));
    const post = (node: number, event: ForwardEvent, afterMs = 0): void => {
        scheduled.push({ at: now + afterMs, node, event });
    };

    function isMeasured(): boolean {
        return now >= warmUpMs;
    }

    function handleEffect(node: number, effect: ForwardEffect): void {
        if (effect.kind === "sendRequest") {
            const arrival = nodes[node]?.world.tables.requests.get(effect.request)?.arrival;
            const engine = engines[Number(effect.call.address)];
            const [shared, own] = arrival?.parts ?? [];
            if (!engine || !shared || !own) {
                return;
            }
            engine.queue.push({
                node,
                request: effect.request,
                part: shared.id,
                priority: effect.call.engine?.priority ?? 0,
                sentAt: now,
                isFetched: effect.call.engine?.fetchFrom !== undefined,
                sharedTokens: shared.tokens,
                ownTokens: own.tokens,
                leftTokens: undefined,
            });
            if (isMeasured()) {
                figures.sent += 1;
                figures.hits += engine.cache.has(shared.id) ? 1 : 0;
            }
            post(node, { kind: "attemptWriteStarted", request: effect.request, attempt: effect.attempt });
        }
        else if (effect.kind === "refuseRequest") {
            figures.refused += isMeasured() ? 1 : 0;
        }
        else if (effect.kind === "callPeer") {
            const { state, vm } = effect;
            post(names.indexOf(vm), { kind: "peerCallReceived", call: toCallId(String(node)), state }, callDelayMs);
        }
        else if (effect.kind === "answerPeer") {
            const { state } = effect;
            const event: ForwardEvent = { kind: "peerReplied", vm: state.vm, result: Ok(state) };
            post(Number(effect.call), event, callDelayMs);
        }
        else {
            (stores[node]?.(effect) ?? []).forEach(event => {
                post(node, event);
            });
        }
    }

    /** Tells all processes of a change in a cache, at the mean age of reports. */
    function postPart(engine: SimulatedEngine, part: string, tokens: number): void {
        const target = buildTarget(`e${engines.indexOf(engine)}`).id;
        const key = toCachedPartKey("model-a.1." as never, part as never);
        const apply = (): void => {
            nodes.forEach(({ world }) => {
                world.tables.cachedParts.update(target, key, tokens);
            });
        };
        partReports.push({ at: now + options.nodes * partDelayMsPerNode, apply });
    }

    function answerPrompt(engine: SimulatedEngine, { node, request, part, sharedTokens, sentAt }: QueuedPrompt): void {
        updateCache(engine, part, sharedTokens, (changed, tokens) => {
            postPart(engine, changed, tokens);
        });
        if (isMeasured()) {
            figures.firstEventMs.push(now - sentAt + idleMs);
        }
        const headerFields = buildHeaderFields(request);
        const common = { request: request as never, attempt: 1 };
        post(node, { kind: "attemptAnswered", ...common, status: 200, headerFields, isOpenStream: true }, idleMs);
        post(node, { kind: "attemptFirstEvent", ...common }, idleMs);
        post(node, { kind: "attemptFinished", ...common }, idleMs + decodeMs);
    }

    function runEngine(engine: SimulatedEngine): void {
        let budget = stepMs * tokensPerMs * engine.speed;
        while (budget > 0 && engine.queue.length > 0) {
            const prompt = engine.queue.find(({ leftTokens }) => leftTokens !== undefined)
                ?? engine.queue.reduce((best, next) => (next.priority < best.priority ? next : best));
            prompt.leftTokens ??= computeTokens(prompt, engine.cache);
            const computed = Math.min(budget, prompt.leftTokens);
            prompt.leftTokens -= computed;
            budget -= computed;
            if (prompt.leftTokens === 0) {
                engine.queue = engine.queue.filter(other => other !== prompt);
                answerPrompt(engine, prompt);
            }
        }
    }

    /** Work that waits, in milliseconds at the usual speed; parts that are computed once count once. */
    function computeDepth({ queue, cache }: SimulatedEngine): number {
        const cached = new Map(cache);
        let tokens = 0;
        for (const prompt of queue) {
            tokens += prompt.leftTokens ?? computeTokens(prompt, cached);
            cached.set(prompt.part, prompt.sharedTokens);
        }
        return tokens / tokensPerMs;
    }

    function choosePart({ path, sharedParts }: LoadKind): string {
        const weights = Array.from({ length: sharedParts }, (_, index) => 1 / (index + 1));
        let left = getRandom() * weights.reduce((sum, weight) => sum + weight, 0);
        const index = weights.findIndex(weight => (left -= weight) < 0);
        return `${path}${index}`;
    }

    function postArrivals(): void {
        for (const kind of kinds) {
            const expected = kind.perSecond * stepMs / 1000 * computeRateFactor(now);
            const count = Math.floor(expected) + (getRandom() < expected % 1 ? 1 : 0);
            for (let index = 0; index < count; index += 1) {
                arrivalCount += 1;
                const id = `r${arrivalCount}`;
                const part = choosePart(kind);
                const node = Math.floor(getRandom() * nodes.length);
                const arrival = buildArrival(id, {
                    path: `${kind.path}x`,
                    parts: [{ id: toPartId(part), tokens: kind.sharedTokens }, {
                        id: toPartId(`own-${id}`),
                        tokens: kind.ownTokens,
                    }],
                    promptTokens: kind.sharedTokens + kind.ownTokens,
                    arrivedAt: toMillis(nodes[node]?.getNow() ?? 0),
                });
                post(node, { kind: "requestArrived", arrival });
            }
        }
    }

    function applyPartReports(): void {
        while (partReports[0] && partReports[0].at <= now) {
            partReports.shift()?.apply();
        }
        for (const { world, getNow } of now % 1000 === 0 ? nodes : []) {
            for (const { target } of targets) {
                world.tables.cachedParts.peerReportedAt.set(target.id, toMillis(getNow()));
            }
        }
    }

    function runNodes(): void {
        const events = nodes.map((): ForwardEvent[] => []);
        for (const { node, event } of scheduled.filter(({ at }) => now >= at)) {
            events[node]?.push(event);
        }
        scheduled.splice(0, scheduled.length, ...scheduled.filter(({ at }) => now < at));
        nodes.forEach((node, index) => {
            node.run(events[index], stepMs).forEach(effect => {
                handleEffect(index, effect);
            });
        });
    }

    nodes.forEach((node, index) => {
        node.run();
        prepareNode?.(node);
        post(
            index,
            node.buildReadEvent({ document: buildDocument({ routes }), targets, rows: buildMemberRows(names) }),
        );
    });
    for (; now < warmUpMs + ms; now += stepMs) {
        if (now >= 1000) {
            postArrivals();
        }
        applyPartReports();
        engines.forEach(runEngine);
        runNodes();
        if (isMeasured() && now % sampleMs === 0) {
            figures.depths.push(engines.map(computeDepth));
        }
    }
    return figures;
}

/** Value below which the fraction of the values lies. */
export const findQuantile = (values: readonly number[], fraction: number): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length * fraction)] ?? 0;

export interface LoadSpread {
    readonly meanMs: number;
    readonly p95Ms: number;
    readonly maxMs: number;
    /** Highest mean depth of one engine over one report interval. */
    readonly maxIntervalMeanMs: number;
    /** Longest time for which one engine is above the bound without a break. */
    readonly longestExcessMs: number;
}

/** Computes the spread of depths over engines; the bound is a function of the mean depth at the sample. */
export function computeSpread(
    { depths }: LoadFigures,
    intervalMs: number,
    computeBoundMs: (meanMs: number) => number,
): LoadSpread {
    const all = depths.flat();
    const computeMean = (values: readonly number[]): number =>
        values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    const bounds = depths.map(sample => computeBoundMs(computeMean(sample)));
    const windowLength = Math.max(1, Math.round(intervalMs / sampleMs));
    let maxIntervalMeanMs = 0;
    let longestRun = 0;
    (depths[0] ?? []).forEach((_, engine) => {
        const series = depths.map(sample => sample[engine] ?? 0);
        let run = 0;
        series.forEach((depth, index) => {
            run = depth > (bounds[index] ?? 0) ? run + 1 : 0;
            longestRun = Math.max(longestRun, run);
            if (index + 1 >= windowLength) {
                const window = series.slice(index + 1 - windowLength, index + 1);
                maxIntervalMeanMs = Math.max(maxIntervalMeanMs, computeMean(window));
            }
        });
    });
    return {
        meanMs: computeMean(all),
        p95Ms: findQuantile(all, 0.95),
        maxMs: Math.max(...all),
        maxIntervalMeanMs,
        longestExcessMs: longestRun * sampleMs,
    };
}
