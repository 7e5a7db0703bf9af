/** Use of engine slots: what finished requests show, and the time until an engine has a slot. Shared by systems. */
import { addMillis } from "../../ids";
import type { ForwardTick } from "../events";
import { estimateFirstEventMs } from "../policy/engineScore";
import { isGivingWay, updateRefusalRate } from "../policy/refusalParity";
import {
    type AdmissionInput,
    canBeginInTime,
    estimateGrowth,
    estimateShareWaitMs,
    estimateSlotWaitMs,
} from "../policy/slotWait";
import type { ForwardAttempt, ForwardRequestRow } from "../tables/requests";
import { type ForwardTargetRow, isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeExchangeIntervalMs } from "./accountUsage";
import { computeRequestPriority } from "./engineCandidates";
import { listTargetLoads, type TargetLoad } from "./engineLoad";
import { computeTrafficShare } from "./requestLimits";

/** Interval at which the requests in flight are sampled. */
const sampleIntervalMs = 200;

/**
 * Below this use of all slots, an engine that this process uses more than its part is no sign of a queue: its requests
 * have a prompt part that the engine holds.
 */
const minSharedUtilisation = 0.5;

/** True when the settings, or the terms of the platform, ask for admission by the slots of engines. */
export const isAdmittedBySlots = (world: ForwardWorld): boolean => world.settings.admission.bySlots === true;

/** Records for how long a finished request held its slot: the prompt, as on an idle engine, and the time from then on. */
export function recordTenure(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    { firstEventAt }: ForwardAttempt,
): void {
    if (isAdmittedBySlots(world) && firstEventAt !== undefined) {
        world.tables.slotUse.recordTenure(
            row.service,
            computeRequestPriority(row),
            estimateFirstEventMs(0) + tick.now - firstEventAt,
        );
    }
}

function countInFlight(targets: readonly ForwardTargetRow[]): number {
    return targets.reduce((sum, { inFlight }) => sum + inFlight.size, 0);
}

/** Number of this process's requests at the target that an engine admits before one of the given priority. */
function countAhead({ inFlight }: ForwardTargetRow, priority: number): number {
    let count = 0;
    for (const request of inFlight.values()) {
        count += request.priority <= priority ? 1 : 0;
    }
    return count;
}

/**
 * Fraction of this process's requests that an engine admits before one of the given priority. The requests that wait at
 * an engine are assumed to have the same mix.
 */
function computeAheadShare(targets: readonly ForwardTargetRow[], priority: number): number {
    const total = countInFlight(targets);
    const ahead = targets.reduce((sum, target) => sum + countAhead(target, priority), 0);
    return total === 0 ? 1 : ahead / total;
}

/** Computes the time until an engine has a slot for a request, given the engine's load; undefined when that is off. */
export type SlotWaitEstimate = (load: TargetLoad) => number;

/**
 * Prepares the estimate for one request: what concerns the whole service is computed once, and each engine then costs
 * a few operations.
 */
export function buildSlotWaitEstimate(
    world: ForwardWorld,
    row: ForwardRequestRow,
    priority: number,
): SlotWaitEstimate | undefined {
    if (!isAdmittedBySlots(world)) {
        return undefined;
    }
    const targets = world.tables.targets.listService(row.service);
    const { tenureMs, tenureMsByPriority, trafficShare, samples, utilisation } = world.tables.slotUse.get(row.service);
    const growth = estimateGrowth(countInFlight(targets), samples[0]?.requests ?? 0);
    const aheadShare = computeAheadShare(targets, priority);
    return ({ target, requests }) => {
        const { slots } = target.registration;
        if (slots === undefined) {
            return 0;
        }
        const ownRequests = target.inFlight.size;
        const estimated = ownRequests + (requests - ownRequests) * growth;
        return Math.max(
            estimateSlotWaitMs({ requests: estimated, slots, tenureMs, aheadShare }),
            utilisation < minSharedUtilisation ? 0 : estimateShareWaitMs({
                ownRequests: countAhead(target, priority),
                ownSlots: slots * trafficShare,
                tenureMs: tenureMsByPriority.get(priority) ?? tenureMs,
            }),
        );
    };
}

/** Decides whether a request is admitted and records the decision. Returns the cause of a refusal. */
export function checkAdmission(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    admission: AdmissionInput,
): "late" | "gives_way" | undefined {
    const { slotUse } = world.tables;
    // Only requests of the same account give way, so that an account that floods pays for its refusals itself.
    const { refusalRates } = slotUse.get(row.service);
    const ownRates = refusalRates.get(row.accountId) ?? [];
    refusalRates.set(row.accountId, ownRates);
    const rank = computeRequestPriority(row);
    const isLate = !canBeginInTime(admission);
    const isRefused = isLate || isGivingWay({ rates: ownRates, rank, now: tick.now });
    ownRates[rank] = updateRefusalRate(ownRates[rank], isRefused, tick.now);
    slotUse.recordDecision(row.service, isRefused);
    return isLate ? "late" : isRefused ? "gives_way" : undefined;
}

/** Requests for each slot of the engines that get requests now. */
function computeUtilisation(world: ForwardWorld, tick: ForwardTick, targets: readonly ForwardTargetRow[]): number {
    const available = targets.filter(target => isWorking(target, tick.now) && tick.now >= target.unavailableUntil);
    const slots = available.reduce((sum, { registration }) => sum + (registration.slots ?? 0), 0);
    const requests = listTargetLoads(world, tick, targets).reduce((sum, load) => sum + load.requests, 0);
    return requests / Math.max(1, slots);
}

/**
 * Samples the requests in flight on engines, from which the growth since the reports of peers follows.
 *
 * Reads: targets, configuration, members. Writes: slot use.
 */
export function recordSlotUse(world: ForwardWorld, tick: ForwardTick): void {
    const { slotUse } = world.tables;
    // Not only when the timer is due: a reload of the settings may switch admission by slots on.
    if (!isAdmittedBySlots(world) || tick.now < slotUse.sampleDueAt) {
        return;
    }
    // A report is half an interval old on average.
    const reportAgeMs = computeExchangeIntervalMs(world) / 2;
    for (const { id, engine } of world.tables.configuration.document?.services.values() ?? []) {
        if (engine) {
            const targets = world.tables.targets.listService(id);
            const requests = countInFlight(targets);
            const row = slotUse.get(id);
            row.utilisation = computeUtilisation(world, tick, targets);
            row.trafficShare = computeTrafficShare(world, tick.now, id, world.tables.members.listVms());
            slotUse.recordRequests(id, { at: tick.now, requests }, reportAgeMs);
        }
    }
    slotUse.sampleDueAt = addMillis(tick.now, sampleIntervalMs);
    world.timers.schedule({ name: "slotSample", at: slotUse.sampleDueAt });
}
