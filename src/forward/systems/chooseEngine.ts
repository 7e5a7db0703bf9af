/** Chooses the engine of a prompt, where it fetches shared parts, and whether they are copied to the store of parts. */
import type { TargetId } from "../../ids";
import { listByRendezvous } from "../../policy/rendezvous";
import type { ForwardTick } from "../events";
import type { WeightsVersion } from "../ids";
import { computeEngineScore, estimateQueueMs } from "../policy/engineScore";
import { findOutdatedSince } from "../tables/configuration";
import type { ForwardRequestRow } from "../tables/requests";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeFleetFactor, computeLoadTrust, listTargetLoads, type TargetLoad } from "./engineLoad";
import { computeHeldTokens, computeSalt } from "./salts";

/** Answers made on weights that were replaced this long ago lose worth. */
const outdatedAfterMs = 1200;
/** Preference of an engine with the newest weights after that time. */
const outdatedPenaltyMs = 150;
/** Part of the shared tokens that an engine is expected to hold when it comes first for them. */
const expectedFraction = 0.7;
/** Fewer tokens than this are not worth a fetch from another engine. */
const leastFetchTokens = 64;
/** Prompts with fewer shared tokens are not copied to the store of parts. */
const leastCopyTokens = 64;

/** A target for a request, with what decided. */
export interface TargetChoice {
    readonly target: ForwardTargetRow;
    readonly scoreMs: number;
    /** Time until the target begins, as estimated. */
    readonly queueMs: number;
    readonly version: WeightsVersion | undefined;
    readonly heldTokens: number;
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

interface Source {
    readonly address: string;
    readonly tokens: number;
}

interface EngineState extends TargetLoad {
    readonly version: WeightsVersion | undefined;
    /** True when its weights were replaced so long ago that its answers lose worth. */
    readonly isOutdated: boolean;
    /** Tokens of the prompt that the engine holds, as far as is known or expected. */
    readonly held: number;
    /** Rank by rendezvous hash for the shared part; 0 is the first. */
    readonly rank: number;
}

/**
 * Tokens that the first engine by rendezvous hash is expected to hold when its events are not followed: other
 * processes prefer it for the same shared parts.
 */
function computeExpectedTokens(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: TargetId,
): number {
    if (world.tables.heldParts.isKnown(target, tick.now)) {
        return 0;
    }
    const shared = row.arrival.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    return shared * expectedFraction;
}

/** For each version of the weights, the engine, or else the store of parts, that holds most of the prompt. */
function listSources(
    world: ForwardWorld,
    row: ForwardRequestRow,
    engines: readonly EngineState[],
): ReadonlyMap<WeightsVersion, Source> {
    const sources = new Map<WeightsVersion, Source>();
    const store = world.tables.configuration.getPartStore();
    for (const { target, held, version } of engines) {
        if (version === undefined) {
            continue;
        }
        if (store && !sources.has(version)) {
            const tokens = computeHeldTokens(world, store.id, computeSalt(row, version), row.arrival.parts);
            sources.set(version, { address: store.address, tokens });
        }
        if (held > (sources.get(version)?.tokens ?? 0)) {
            sources.set(version, { address: target.registration.address, tokens: held });
        }
    }
    return sources;
}

/** The source of the engine's version, if it holds enough more than the engine itself. */
function findSource(sources: ReadonlyMap<WeightsVersion, Source>, { version, held }: EngineState): Source | undefined {
    const source = version === undefined ? undefined : sources.get(version);
    return source && source.tokens - held >= leastFetchTokens ? source : undefined;
}

/** Address of the store of parts if it lacks a shared part of the prompt that is worth keeping. */
function findCopyTarget(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    version: WeightsVersion | undefined,
): string | undefined {
    const store = world.tables.configuration.getPartStore();
    const shared = row.arrival.parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    if (!store || version === undefined || sharedTokens < leastCopyTokens) {
        return undefined;
    }
    // Without its events the store would be sent every part many times.
    const isKnown = world.tables.heldParts.isKnown(store.id, tick.now);
    const held = computeHeldTokens(world, store.id, computeSalt(row, version), shared);
    return isKnown && held < sharedTokens ? store.address : undefined;
}

/**
 * Preference of engines with new weights. Where processes learn late of each other's requests, it is in proportion to
 * the part of the engines that have them: a few cannot serve the requests of all.
 */
function computeOutdatedPenalty(loadTrust: number, engines: readonly EngineState[]): number {
    if (loadTrust === 1) {
        return outdatedPenaltyMs;
    }
    const current = engines.filter(({ isOutdated }) => !isOutdated).length;
    return outdatedPenaltyMs * current / Math.max(1, engines.length);
}

/** Chooses among the engines that can take the request; undefined when there is none. */
export function chooseEngine(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    able: readonly ForwardTargetRow[],
): TargetChoice | undefined {
    const { model, parts, promptTokens } = row.arrival;
    const sharedPart = parts.at(-2)?.id ?? parts[0]?.id ?? row.id;
    const ids = listByRendezvous(world.hasher, sharedPart, able.map(target => target.registration.id));
    const ranks = new Map(ids.map((id, rank) => [id, rank]));
    const engines = listTargetLoads(world, tick, able).map((load): EngineState => {
        const { target } = load;
        const { id } = target.registration;
        const version = model && target.weights.get(model);
        const known = version === undefined ? 0 : computeHeldTokens(world, id, computeSalt(row, version), parts);
        const rank = ranks.get(id) ?? 0;
        const held = rank === 0 ? Math.max(known, computeExpectedTokens(world, tick, row, id)) : known;
        const isOutdated = computeOutdatedAge(world, tick, row, target) > outdatedAfterMs;
        return { ...load, version, isOutdated, held, rank };
    });
    const sources = listSources(world, row, engines);
    const loadTrust = computeLoadTrust(world);
    const outdatedMs = computeOutdatedPenalty(loadTrust, engines);
    const fleetFactor = computeFleetFactor(world, tick);
    let best: TargetChoice | undefined;
    for (const engine of engines) {
        const { target, version, held, queue, rank, requests } = engine;
        const source = findSource(sources, engine);
        const fetchedTokens = source ? source.tokens - held : 0;
        const queueMs = estimateQueueMs(queue, fleetFactor);
        const scoreMs = computeEngineScore({
            queueMs,
            runningRequests: requests,
            missedTokens: Math.max(0, promptTokens - held - fetchedTokens),
            fetchedTokens,
            isRemote: target.registration.dataCentre !== world.settings.dataCentre,
            rank,
            rankWeight: 1 - loadTrust,
            outdatedMs: engine.isOutdated ? outdatedMs : 0,
            failureShare: target.failureShare,
        }, fleetFactor);
        if (!best || scoreMs < best.scoreMs) {
            best = { target, scoreMs, queueMs, version, heldTokens: held + fetchedTokens, fetchFrom: source?.address };
        }
    }
    return best && { ...best, copyTo: findCopyTarget(world, tick, row, best.version) };
}
