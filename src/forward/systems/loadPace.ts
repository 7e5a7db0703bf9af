/** Pace of a rollout of weights: how many engines have to load at once to be in time. Shared by systems. */
import type { ModelId } from "../../ids";
import type { ForwardTick } from "../events";
import { toWeightsVersion } from "../ids";
import { computeNeededLoads, updateCycleMs } from "../policy/loadPace";
import { findOutdatedSince } from "../tables/configuration";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { maxOutdatedFraction } from "./eligibleTargets";
import { isAdmittedBySlots } from "./slotUse";

/** At most this fraction of the working engines loads at once, however late the rollout is. */
const maxPaceFraction = 1 / 2;

/** The registration of an engine is about this much later than its load. */
const registrationLagMs = 400;
/** Longest time for which an ordered engine is left out; after it, requests find out whether it has loaded. */
const maxExpectedLoadMs = 4000;

/** Records the duration of an ordered load when its engine registers with the new weights. */
export function recordLoad(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow): void {
    const { rollouts } = world.tables;
    const order = rollouts.lastOrders.get(target.registration.id);
    if (order && !order.hasEnded && (target.weights.get(order.model) ?? 0) >= order.version) {
        order.hasEnded = true;
        rollouts.cycleMs = updateCycleMs(rollouts.cycleMs, tick.now - order.seenAt);
    }
}

/**
 * Time for which an engine that was ordered to load is expected to refuse requests; 0, for the usual time, when that is
 * off. An engine under load finishes its requests first. Trying it earlier costs each process a refused request.
 */
export function computeExpectedLoadMs(world: ForwardWorld): number {
    return isAdmittedBySlots(world)
        ? Math.min(maxExpectedLoadMs, world.tables.rollouts.cycleMs - registrationLagMs)
        : 0;
}

/**
 * Estimates the time of a load. Loads that still run count with their age where it is above the mean; otherwise nothing
 * would show that loads take longer until the first of them have ended.
 */
function estimateCycleMs(world: ForwardWorld, tick: ForwardTick, model: ModelId): number {
    const { rows, lastOrders, cycleMs } = world.tables.rollouts;
    const running = [...rows.values()].filter(row => row.model === model && row.state === "loading");
    const sumMs = running.reduce((sum, { target }) => {
        const seenAt = lastOrders.get(target)?.seenAt ?? tick.now;
        return sum + Math.max(cycleMs, tick.now - seenAt);
    }, 0);
    return running.length === 0 ? cycleMs : sumMs / running.length;
}

/** Loads that are needed at once so that no engine loses its requests for outdated weights; 0 when that is off. */
export function computePacedLoads(
    world: ForwardWorld,
    tick: ForwardTick,
    model: ModelId,
    working: readonly ForwardTargetRow[],
): number {
    if (!isAdmittedBySlots(world)) {
        return 0;
    }
    const usableMs = world.settings.bounds.weightsMs * maxOutdatedFraction;
    const timesLeftMs = working.flatMap(target => {
        const version = target.weights.get(model) ?? toWeightsVersion(0);
        const outdatedSince = findOutdatedSince(world.tables.configuration, model, version);
        return outdatedSince === undefined ? [] : [outdatedSince + usableMs - tick.now];
    });
    const needed = computeNeededLoads({ timesLeftMs, cycleMs: estimateCycleMs(world, tick, model) });
    return Math.min(needed, Math.floor(working.length * maxPaceFraction));
}
