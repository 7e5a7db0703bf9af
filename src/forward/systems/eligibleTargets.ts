/** Targets that can take a request now. Shared by systems. */
import type { TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import { getNewestWeights } from "../tables/configuration";
import type { ForwardRequestRow } from "../tables/requests";
import { type ForwardTargetRow, isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeOutdatedAge } from "./chooseEngine";
import { isReportedUnreachable } from "./failureReports";
import { hasRequestToken } from "./requestLimits";
import { listVersionChoices } from "./serviceVersions";
import { overloadBackOffMs } from "./targetHealth";

/** An engine gets no requests once its weights have been outdated for this fraction of `bounds.weightsMs`. */
export const maxOutdatedFraction = 0.85;
/** A target from which nothing has arrived for this long after a request was sent gets no new requests. */
const unresponsiveAfterMs = 900;

/** True when nothing has arrived from the target since it was sent a request more than `unresponsiveAfterMs` ago. */
function isUnresponsive(target: ForwardTargetRow, tick: ForwardTick): boolean {
    for (const { sentAt } of target.inFlight.values()) {
        if (tick.now - sentAt > unresponsiveAfterMs && target.lastResponseAt < sentAt) {
            return true;
        }
    }
    return false;
}

const isOutdated = (
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: ForwardTargetRow,
): boolean => computeOutdatedAge(world, tick, row, target) > world.settings.bounds.weightsMs * maxOutdatedFraction;

/** True when nothing but a limit that the target names keeps it from taking the request. */
export function isUsable(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: ForwardTargetRow,
): boolean {
    return isWorking(target, tick.now)
        && !isUnresponsive(target, tick)
        && !isOutdated(world, tick, row, target);
}

/**
 * Engines with the newest weights. One with older weights will soon be ordered to load new ones; it then refuses a
 * resumed stream, or the stream has to be moved again.
 */
function listWithNewestWeights(
    world: ForwardWorld,
    { arrival: { model } }: ForwardRequestRow,
    eligible: readonly ForwardTargetRow[],
): ForwardTargetRow[] {
    const newest = model && getNewestWeights(world.tables.configuration, model)?.version;
    return eligible.filter(target => (model && target.weights.get(model)) === newest);
}

/**
 * Targets that can take the request; those that it was already sent to are listed only when there is no other. When
 * all targets are expected to be loading weights, a first attempt is still sent to them (but not to those that are
 * only overloaded): the orders may have been read late, after a store outage.
 */
export function listEligible(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): ForwardTargetRow[] {
    for (const targets of listVersionChoices(world, tick, row)) {
        const eligible = listEligibleAmong(world, tick, row, targets);
        if (eligible.length > 0) {
            return eligible;
        }
    }
    return [];
}

function listEligibleAmong(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    targets: readonly ForwardTargetRow[],
): ForwardTargetRow[] {
    const usable = targets.filter(target => isUsable(world, tick, row, target) && hasRequestToken(world, tick, target));
    // One that seems to have ended or to be unreachable is tried again only when there is no other.
    const reachable = usable.filter(target => target.refusedAt === undefined && !isReportedUnreachable(world, target));
    const working = reachable.length > 0 ? reachable : usable;
    const notLoading = working.filter(target => tick.now >= target.unavailableUntil);
    const eligible = notLoading.length > 0 || row.attempts.length > 0
        ? notLoading
        : working.filter(target => target.unavailableUntil - tick.now > overloadBackOffMs);
    if (row.isRelaying) {
        const withNewestWeights = listWithNewestWeights(world, row, eligible);
        if (withNewestWeights.length > 0) {
            return withNewestWeights;
        }
    }
    const notYetTried = eligible.filter(target =>
        !row.attempts.some(attempt => attempt.target === target.registration.id)
    );
    return notYetTried.length > 0 ? notYetTried : eligible;
}

/** True when a target other than this one can take the request now and is not known to have ended. */
export const hasOtherTarget = (
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    from: TargetId,
): boolean =>
    listEligible(world, tick, row).some(({ registration, refusedAt }) =>
        registration.id !== from && refusedAt === undefined
    );
