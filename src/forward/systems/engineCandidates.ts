/** Engines among which one is chosen for a request, with their ranks and loads. Used by `chooseEngine`. */
import type { TargetId } from "../../ids";
import { recordDemand } from "../../policy/demand";
import { listByRendezvous } from "../../policy/rendezvous";
import type { ForwardTick } from "../events";
import { computeEnginePriority } from "../policy/enginePriority";
import { promptTokensPerMs } from "../policy/engineScore";
import { computeChoiceNoise, computeSpreadCount, demandDecayMs } from "../policy/loadEstimate";
import type { ForwardRequestRow } from "../tables/requests";
import type { SharedPartRow } from "../tables/sharedParts";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { canEstimateLoad, listEstimatedLoads, listTargetLoads, type TargetLoad } from "./engineLoad";

export interface EngineCandidate extends TargetLoad {
    /** Rank by rendezvous hash for the shared part; 0 is the first, and each engine over which the part is spread. */
    readonly rank: number;
    /** Random part of the score. */
    readonly noiseMs: number;
}

type ListCandidates = (
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    eligible: readonly ForwardTargetRow[],
) => readonly EngineCandidate[];

/** Priority with which engines admit the request. */
export const computeRequestPriority = (row: ForwardRequestRow): number =>
    computeEnginePriority({
        isResumed: row.lastEventId > 0,
        accountPriority: row.account?.priority ?? 0,
        routePriority: row.route.priority,
    });

/** The last shared part of the prompt. */
const getSharedPart = ({ id, arrival: { parts } }: ForwardRequestRow): string => parts.at(-2)?.id ?? parts[0]?.id ?? id;

const computeRanks = (
    world: ForwardWorld,
    sharedPart: string,
    targets: readonly ForwardTargetRow[],
): Map<TargetId, number> => {
    const ids = listByRendezvous(world.hasher, sharedPart, targets.map(target => target.registration.id));
    return new Map(ids.map((id, rank) => [id, rank]));
};

/** All engines, with the loads as they were last reported. */
const listFromReports: ListCandidates = (world, tick, row, eligible) => {
    const ranks = computeRanks(world, getSharedPart(row), eligible);
    return listTargetLoads(world, tick, eligible).map(load => ({
        ...load,
        rank: ranks.get(load.target.registration.id) ?? 0,
        noiseMs: 0,
    }));
};

/**
 * Engines that are considered for one part where loads are estimated. All processes consider the same ones, which hold
 * the copies of the part, so the cost of a decision does not grow further with the number of engines.
 */
const maxCandidates = 64;

/** The first engines by rendezvous hash that can take the request, best first. */
function listFirstEngines(
    world: ForwardWorld,
    row: ForwardRequestRow,
    part: SharedPartRow,
    eligible: readonly ForwardTargetRow[],
): readonly ForwardTargetRow[] {
    const { targets } = world.tables;
    if (part.ranks?.revision !== targets.revision) {
        const ranks = computeRanks(world, getSharedPart(row), targets.listService(row.service));
        part.ranks = { byTarget: new Map([...ranks].slice(0, maxCandidates)), revision: targets.revision };
    }
    const { byTarget } = part.ranks;
    const ranked: ForwardTargetRow[] = [];
    for (const target of eligible) {
        const rank = byTarget.get(target.registration.id);
        if (rank !== undefined) {
            ranked[rank] = target;
        }
    }
    const first = ranked.filter(target => target !== undefined);
    return first.length > 0 ? first : eligible.slice(0, maxCandidates);
}

/** Number of engines over which the part of the request is spread. Records the request in the demand for the part. */
function updateSpreadCount(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    part: SharedPartRow,
): number {
    const { parts, promptTokens } = row.arrival;
    // Shared parts are cached after the first request, so the demand is for what is left of each prompt.
    const ownTokens = promptTokens - parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    recordDemand(part.demand, 0, tick.now, demandDecayMs);
    const ownMs = part.demand.tokens;
    if (row.attempts.length === 0) {
        recordDemand(part.demand, Math.max(0, ownTokens) / promptTokensPerMs, tick.now, demandDecayMs);
    }
    return computeSpreadCount({ ownMs, processes: world.tables.members.countLive() });
}

/** The first engines by rendezvous hash, with estimates of their present loads. */
const listFromEstimates: ListCandidates = (world, tick, row, eligible) => {
    const part = world.tables.sharedParts.use(`${row.service} ${getSharedPart(row)}`);
    const spreadCount = updateSpreadCount(world, tick, row, part);
    const first = listFirstEngines(world, row, part, eligible);
    return listEstimatedLoads(world, tick, first, computeRequestPriority(row)).map((load, rank) => ({
        ...load,
        rank: Math.max(0, rank - spreadCount + 1),
        noiseMs: computeChoiceNoise(world.random()),
    }));
};

const methods = { reports: listFromReports, estimates: listFromEstimates } as const;

/**
 * Engines among which one is chosen for the request, by the method that fits the age of the reports. A request without an
 * eligible engine is routed again in each tick, and would count as demand each time.
 */
export const listCandidates: ListCandidates = (world, tick, row, eligible) =>
    eligible.length === 0
        ? []
        : methods[canEstimateLoad(world) ? "estimates" : "reports"](world, tick, row, eligible);
