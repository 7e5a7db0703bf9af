/** Chooses an engine for a prompt, where it fetches cached parts, and whether they are copied to the part store. */
import type { TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import type { CacheSalt, WeightsVersion } from "../ids";
import { computeEngineScore, estimateFirstEventMs, estimatePromptMs, estimateQueueMs } from "../policy/engineScore";
import { findOutdatedSince } from "../tables/configuration";
import type { ForwardRequestRow } from "../tables/requests";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeCachedTokens, computeSalt, findCacheScope } from "./cacheSalts";
import { computeRequestPriority, type EngineCandidate, listCandidates } from "./engineCandidates";
import { computeLoadFreshness, computeLoadScale } from "./engineLoad";
import { computeFailureShare } from "./failureReports";
import { canFetchInTime, findPartStore } from "./partStores";
import { computeLimitScarcity } from "./requestLimits";
import { buildSlotWaitEstimate } from "./slotUse";

/** Answers from weights that were replaced longer ago than this are worth less, so such engines are less preferred. */
const outdatedAfterMs = 1200;
/** Score penalty of an engine with such outdated weights. */
const outdatedPenaltyMs = 150;
/** Fraction of the shared tokens that the first engine by rendezvous hash is assumed to have cached. */
const expectedCachedFraction = 0.7;
/** Fewer tokens than this are not fetched from another engine or the part store. */
const minFetchTokens = 64;
/** Prompts with fewer shared tokens are not copied to the part store. */
const minCopyTokens = 64;

/** The target chosen for a request, with the inputs of the decision. */
export interface TargetChoice {
    readonly target: ForwardTargetRow;
    readonly scoreMs: number;
    /** Estimated time until the target begins to compute the prompt. */
    readonly queueMs: number;
    /** Estimated time from then to the first event. */
    readonly firstEventMs: number;
    /** Rank of the engine for the shared part; 0 for all engines over which the part is spread. */
    readonly rank?: number;
    readonly version: WeightsVersion | undefined;
    /** Salt by which the cached parts were looked up, and with which the request is sent; undefined for plain services. */
    readonly salt: CacheSalt | undefined;
    /** Prompt tokens that the engine has cached or will fetch. */
    readonly reusedTokens: number;
    readonly fetchFrom: string | undefined;
    readonly copyTo?: string | undefined;
}

/** Milliseconds for which the target's weights have been replaced by newer ones; 0 while they are the newest. */
export function computeOutdatedAge(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: ForwardTargetRow,
): number {
    const { model } = row.arrival;
    const version = model && target.weights.get(model);
    if (!model || version === undefined) {
        return 0;
    }
    const since = findOutdatedSince(world.tables.configuration, model, version);
    return since === undefined ? 0 : tick.now - since;
}

/** The last part that requests share, by which engines and part stores are chosen. */
const findSharedPart = ({ id, arrival: { parts } }: ForwardRequestRow): string =>
    parts.at(-2)?.id ?? parts[0]?.id ?? id;

interface FetchSource {
    readonly address: string;
    readonly tokens: number;
}

interface EngineState extends EngineCandidate {
    readonly version: WeightsVersion | undefined;
    readonly salt: CacheSalt;
    /** True when the engine's weights were replaced more than `outdatedAfterMs` ago. */
    readonly isOutdated: boolean;
    /** Prompt tokens that the engine is known or assumed to have cached. */
    readonly cachedTokens: number;
}

/**
 * Tokens that an engine of rank 0 by rendezvous hash is assumed to have cached when this process has no cache events
 * of it: other processes prefer the same engine for the same shared parts.
 */
function estimateCachedTokens(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: TargetId,
): number {
    if (world.tables.cachedParts.hasCacheEvents(target, tick.now)) {
        return 0;
    }
    const sharedTokens = row.arrival.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    return sharedTokens * expectedCachedFraction;
}

/** For each version of the weights, the engine or part store that has most of the prompt; the part store wins ties. */
function listFetchSources(
    world: ForwardWorld,
    row: ForwardRequestRow,
    engines: readonly EngineState[],
): ReadonlyMap<WeightsVersion, FetchSource> {
    const sources = new Map<WeightsVersion, FetchSource>();
    const partStore = findPartStore(world, findSharedPart(row));
    for (const { target, cachedTokens, version, salt } of engines) {
        if (version === undefined) {
            continue;
        }
        if (partStore && !sources.has(version)) {
            const tokens = computeCachedTokens(world, partStore.id, salt, row.arrival.parts);
            sources.set(version, { address: partStore.address, tokens });
        }
        if (cachedTokens > (sources.get(version)?.tokens ?? 0)) {
            sources.set(version, { address: target.registration.address, tokens: cachedTokens });
        }
    }
    return sources;
}

/**
 * The source for the engine's version of the weights, if it has at least `minFetchTokens` more than the engine and
 * fetching them is faster than computing them.
 */
function findFetchSource(
    world: ForwardWorld,
    tick: ForwardTick,
    sources: ReadonlyMap<WeightsVersion, FetchSource>,
    { version, cachedTokens }: EngineState,
): FetchSource | undefined {
    const source = version === undefined ? undefined : sources.get(version);
    const tokens = source ? source.tokens - cachedTokens : 0;
    if (!source || tokens < minFetchTokens) {
        return undefined;
    }
    const recomputeMs = estimatePromptMs(tokens);
    return canFetchInTime(world, tick, { address: source.address, recomputeMs }) ? source : undefined;
}

/** Address of the part store if it lacks shared tokens of a prompt that has at least `minCopyTokens` of them. */
function findCopyTarget(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    { version, salt }: Pick<TargetChoice, "version" | "salt">,
): string | undefined {
    const partStore = findPartStore(world, findSharedPart(row));
    const shared = row.arrival.parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    if (!partStore || version === undefined || salt === undefined || sharedTokens < minCopyTokens) {
        return undefined;
    }
    // Without cache events of the part store, every part would be copied to it many times.
    const hasEvents = world.tables.cachedParts.hasCacheEvents(partStore.id, tick.now);
    const cachedTokens = computeCachedTokens(world, partStore.id, salt, shared);
    return hasEvents && cachedTokens < sharedTokens ? partStore.address : undefined;
}

/**
 * Score penalty for outdated weights. Where peer loads arrive late, it is scaled by the fraction of engines that
 * are up to date: otherwise all processes would send their requests to the few engines with new weights.
 */
function computeOutdatedPenalty(loadFreshness: number, engines: readonly EngineState[]): number {
    if (loadFreshness === 1) {
        return outdatedPenaltyMs;
    }
    const upToDateCount = engines.filter(({ isOutdated }) => !isOutdated).length;
    return outdatedPenaltyMs * upToDateCount / Math.max(1, engines.length);
}

/** Chooses among the engines that can take the request; undefined when there is none. */
export function chooseEngine(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    eligible: readonly ForwardTargetRow[],
): TargetChoice | undefined {
    const { model, parts, promptTokens } = row.arrival;
    const scope = findCacheScope(world, row);
    const engines = listCandidates(world, tick, row, eligible).map((candidate): EngineState => {
        const { target, rank } = candidate;
        const { id } = target.registration;
        const version = model && target.weights.get(model);
        const salt = computeSalt(row, version, scope);
        const knownTokens = version === undefined ? 0 : computeCachedTokens(world, id, salt, parts);
        const cachedTokens = rank === 0
            ? Math.max(knownTokens, estimateCachedTokens(world, tick, row, id))
            : knownTokens;
        const isOutdated = computeOutdatedAge(world, tick, row, target) > outdatedAfterMs;
        return { ...candidate, version, salt, isOutdated, cachedTokens };
    });
    const sources = listFetchSources(world, row, engines);
    const loadFreshness = computeLoadFreshness(world);
    const outdatedMs = computeOutdatedPenalty(loadFreshness, engines);
    const loadScale = computeLoadScale(world, tick);
    const estimateSlotWait = buildSlotWaitEstimate(world, row, computeRequestPriority(row));
    let best: TargetChoice | undefined;
    let lowestMs = Infinity;
    for (const engine of engines) {
        const { target, version, salt, cachedTokens, noiseMs, queue, rank, requests } = engine;
        const source = findFetchSource(world, tick, sources, engine);
        const fetchedTokens = source ? source.tokens - cachedTokens : 0;
        const queueMs = Math.max(estimateQueueMs(queue, loadScale), estimateSlotWait?.(engine) ?? 0);
        const missedTokens = Math.max(0, promptTokens - cachedTokens - fetchedTokens);
        const scoreMs = computeEngineScore({
            queueMs,
            runningRequests: requests,
            missedTokens,
            fetchedTokens,
            isRemote: target.registration.dataCentre !== world.settings.dataCentre,
            rank,
            rankWeight: 1 - loadFreshness,
            outdatedMs: engine.isOutdated ? outdatedMs : 0,
            failureShare: computeFailureShare(world, target),
            limitScarcity: computeLimitScarcity(target),
        }, loadScale);
        if (!best || scoreMs + noiseMs < lowestMs) {
            lowestMs = scoreMs + noiseMs;
            best = {
                target,
                scoreMs,
                queueMs,
                firstEventMs: estimateFirstEventMs(missedTokens),
                rank,
                version,
                salt,
                reusedTokens: cachedTokens + fetchedTokens,
                fetchFrom: source?.address,
            };
        }
    }
    return best && { ...best, copyTo: findCopyTarget(world, tick, row, best) };
}
