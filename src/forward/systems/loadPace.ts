/** Pace of a rollout of weights: how many engines have to load at once to be in time. Shared by systems. */
import type { ModelId } from "../../ids";
import type { ForwardTick } from "../events";
import type { WeightsVersion } from "../ids";
import { computeNeededLoads, updateCycleMs } from "../policy/loadPace";
import { getNewestWeights } from "../tables/configuration";
import type { RolloutRow } from "../tables/rollouts";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { maxOutdatedFraction } from "./eligibleTargets";
import { isAdmittedBySlots } from "./slotUse";

/** At most this fraction of the working engines loads at once, however late the rollout is. */
const maxPaceFraction = 1 / 2;

/** Records the duration of a load that has ended well. */
export function recordLoad(world: ForwardWorld, tick: ForwardTick, { orderedAt }: RolloutRow): void {
    const { rollouts } = world.tables;
    if (orderedAt !== undefined) {
        rollouts.cycleMs = updateCycleMs(rollouts.cycleMs, tick.now - orderedAt);
    }
}

const isBehind = (target: ForwardTargetRow, model: ModelId, version: WeightsVersion): boolean =>
    (target.weights.get(model) ?? 0) < version;

/** Loads that are needed at once so that no engine loses its requests for outdated weights; 0 when that is off. */
export function computePacedLoads(
    world: ForwardWorld,
    tick: ForwardTick,
    model: ModelId,
    working: readonly ForwardTargetRow[],
): number {
    const newest = getNewestWeights(world.tables.configuration, model);
    if (!newest || !isAdmittedBySlots(world)) {
        return 0;
    }
    const deadlineMs = newest.publishedAt + world.settings.bounds.weightsMs * maxOutdatedFraction;
    const needed = computeNeededLoads({
        remaining: working.filter(target => isBehind(target, model, newest.version)).length,
        cycleMs: world.tables.rollouts.cycleMs,
        timeLeftMs: deadlineMs - tick.now,
    });
    return Math.min(needed, Math.floor(working.length * maxPaceFraction));
}
