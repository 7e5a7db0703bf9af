/** Brings engines to the newest named version of their weights; only the holder of the duty does. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis, type ModelId, type TargetId } from "../../ids";
import type { WeightsOrderOutcome } from "../calls";
import { encodeOrder, orderPrefix } from "../codec/fleetRows";
import type { ForwardTick } from "../events";
import { toWeightsVersion, type WeightsVersion } from "../ids";
import { findOutdatedSince, getNewestWeights } from "../tables/configuration";
import { isForwardLeaseValid } from "../tables/node";
import type { RolloutRow, RolloutState } from "../tables/rollouts";
import { type ForwardTargetRow, isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { listTargetLoads } from "./engineLoad";
import { expectLoading } from "./targetHealth";
import { computeDutyGuardMs } from "./updateMembership";

/** Engines that load at the same time while little waits, as part of the engines of a model that work. */
const quietFraction = 3 / 7;
/** The same under load, when the others need their capacity. */
const loadedFraction = 1 / 3;
/** From this number of engines on a smaller part loads at a time: loads slow each other down, and there is time. */
const manyEngines = 16;
const manyFraction = 1 / 4;
/** Prompt tokens that wait at each engine on average, up to which little waits. */
const quietTokens = 5000;
/** Engines that load at the same time when some have had old weights for this part of the time allowed. */
const urgentParallel = 2;
const urgentPart = 0.3;
/** Time between the steps of a rollout. */
const stepMs = 250;
/** An engine that took an order shows the new version about this much later, at the earliest. */
const firstReadMs = 700;
/** A rollout that failed is begun again after this time. */
const failurePauseMs = 1000;
/** A rollout that shows no end by then is begun again. */
const longestLoadMs = 6000;
/** The lease must be valid for this much longer when an order is sent. */
const leaseMarginMs = 150;

function listEngineServices(world: ForwardWorld) {
    return [...world.tables.configuration.document?.services.values() ?? []]
        .flatMap(({ id, engine }) => (engine ? [{ id, engine }] : []));
}

const listModels = (world: ForwardWorld): ModelId[] => [
    ...new Set(listEngineServices(world).flatMap(({ engine }) => engine.models)),
];

const listEngines = (world: ForwardWorld, model: ModelId): ForwardTargetRow[] =>
    listEngineServices(world)
        .filter(({ engine }) => engine.models.includes(model))
        .flatMap(({ id }) => world.tables.targets.listService(id));

const isBehind = (target: ForwardTargetRow, model: ModelId, version: WeightsVersion): boolean =>
    (target.weights.get(model) ?? 0) < version;

/** True while this process holds the duty and its lease is certain. */
function canAct(world: ForwardWorld, tick: ForwardTick): boolean {
    const { duty, lease } = world.tables.node;
    return duty.state === "held"
        && tick.now >= duty.actsFrom
        && isForwardLeaseValid(lease, addMillis(tick.now, leaseMarginMs), tick.wallNow + leaseMarginMs);
}

/** Another process must not have ordered the engine within the guard time. */
function isGuarded(world: ForwardWorld, tick: ForwardTick, target: TargetId): boolean {
    const last = world.tables.rollouts.recorded.get(target);
    return last !== undefined
        && last.vm !== world.settings.vm
        && tick.now < addMillis(last.seenAt, computeDutyGuardMs(world));
}

function updateState(rollout: RolloutRow, state: RolloutState, now: Millis): void {
    rollout.state = state;
    rollout.steppedAt = now;
}

function readEngine(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow, rollout: RolloutRow): void {
    rollout.readAt = tick.now;
    const { id, address, instance } = target.registration;
    world.effects.append({ kind: "readEngine", target: id, address, instance });
}

/** Engines with the oldest weights go first, and among them those with little work: their runs end sooner. */
function listNext(world: ForwardWorld, tick: ForwardTick, model: ModelId, version: WeightsVersion): ForwardTargetRow[] {
    const getVersion = (target: ForwardTargetRow): number => target.weights.get(model) ?? 0;
    return listEngines(world, model)
        .filter(target => !target.registration.isLeaving && isBehind(target, model, version))
        .filter(({ registration }) => !world.tables.rollouts.rows.has(registration.id))
        .filter(({ registration }) => !isGuarded(world, tick, registration.id))
        .sort((left, right) => getVersion(left) - getVersion(right) || left.work.size - right.work.size);
}

/** How many engines may load now: each takes its capacity away from requests that wait. */
function computeParallel(world: ForwardWorld, tick: ForwardTick, model: ModelId): number {
    const { configuration } = world.tables;
    const working = listEngines(world, model).filter(target => isWorking(target, tick.now));
    const loads = listTargetLoads(world, tick, working);
    const queued = loads.reduce((sum, { queue }) => sum + queue.queuedTokens, 0);
    const fewFraction = queued <= working.length * quietTokens ? quietFraction : loadedFraction;
    const fraction = working.length < manyEngines ? fewFraction : manyFraction;
    const isUrgent = working.some(target => {
        const since = findOutdatedSince(configuration, model, target.weights.get(model) ?? toWeightsVersion(0));
        return since !== undefined && tick.now - since > world.settings.bounds.weightsMs * urgentPart;
    });
    return Math.max(isUrgent ? urgentParallel : 1, Math.floor(working.length * fraction));
}

function startRollouts(world: ForwardWorld, tick: ForwardTick, model: ModelId): void {
    const newest = getNewestWeights(world.tables.configuration, model);
    if (!newest) {
        return;
    }
    const { rows } = world.tables.rollouts;
    const running = [...rows.values()].filter(row => row.model === model && row.state !== "failed").length;
    const parallel = computeParallel(world, tick, model);
    for (const target of listNext(world, tick, model, newest.version).slice(0, Math.max(0, parallel - running))) {
        const rollout: RolloutRow = {
            target: target.registration.id,
            model,
            state: "reading",
            version: newest.version,
            acceptedOrders: 0,
            steppedAt: tick.now,
            readAt: tick.now,
        };
        rows.set(rollout.target, rollout);
        readEngine(world, tick, target, rollout);
    }
}

function endRollout(world: ForwardWorld, target: TargetId, outcome: string): void {
    const rollout = world.tables.rollouts.rows.get(target);
    world.tables.rollouts.rows.delete(target);
    logInfo(world.effects, "place:", "Rollout of weights ended.", {
        target,
        model: rollout?.model,
        weights: rollout?.version,
        outcome,
    });
}

function stopRollout(world: ForwardWorld, tick: ForwardTick, rollout: RolloutRow, reason: string): void {
    updateState(rollout, "failed", tick.now);
    logWarning(world.effects, "place:", "Rollout of weights is put off.", {
        target: rollout.target,
        weights: rollout.version,
        reason,
    });
}

/** Records the order in the store first, so that the next holder knows which engines have just been ordered. */
function recordOrder(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow, rollout: RolloutRow): void {
    const { node, configuration } = world.tables;
    // A version that was named meanwhile is taken at once; the one in between is skipped.
    rollout.version = getNewestWeights(configuration, rollout.model)?.version ?? rollout.version;
    updateState(rollout, "recording", tick.now);
    const { target: id, model, version } = rollout;
    const value = encodeOrder({ vm: world.settings.vm, target: id, model, version });
    world.effects.append({
        kind: "callStore",
        purpose: { for: "order", target: id },
        call: {
            kind: "transaction",
            compare: [],
            success: [{
                kind: "put",
                key: `${orderPrefix}${target.registration.instance}`,
                value,
                ...(node.lease.id === undefined ? {} : { lease: node.lease.id }),
            }],
        },
    });
}

function sendOrder(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow, rollout: RolloutRow): void {
    const { duty, lease } = world.tables.node;
    const { id, address, instance } = target.registration;
    updateState(rollout, "ordered", tick.now);
    expectLoading(target, tick.now);
    world.effects.append({
        kind: "orderWeights",
        target: id,
        address,
        instance,
        order: {
            model: rollout.model,
            version: rollout.version,
            holder: world.settings.vm,
            fencing: duty.fencing,
            expectedOrders: rollout.acceptedOrders,
        },
        notAfter: lease.validUntil,
    });
    world.effects.append({ kind: "addCount", name: "orders_total", value: 1, labels: { outcome: "sent" } });
    logInfo(world.effects, "place:", "Engine is ordered to take new weights.", {
        target: id,
        model: rollout.model,
        weights: rollout.version,
        fencing: duty.fencing,
        acceptedOrders: rollout.acceptedOrders,
        leaseLeftMs: Math.round(lease.validUntil - tick.now),
        work: target.work.size,
    });
}

function handleRecords(world: ForwardWorld, tick: ForwardTick): void {
    for (const { purpose, outcome } of tick.events.list("storeReplied")) {
        if (purpose.for !== "order") {
            continue;
        }
        const rollout = world.tables.rollouts.rows.get(purpose.target);
        const target = world.tables.targets.get(purpose.target);
        if (!rollout || !target || rollout.state !== "recording") {
            continue;
        }
        const { result } = outcome;
        const isRecorded = result.ok && result.val.kind === "transaction" && result.val.succeeded;
        if (isRecorded && canAct(world, tick) && !isGuarded(world, tick, purpose.target)) {
            sendOrder(world, tick, target, rollout);
        }
        else {
            stopRollout(world, tick, rollout, isRecorded ? "the duty is not certain" : "it was not recorded");
        }
    }
}

function handleReports(world: ForwardWorld, tick: ForwardTick): void {
    for (const { target: id, report } of tick.events.list("engineReported")) {
        const rollout = world.tables.rollouts.rows.get(id);
        const target = world.tables.targets.get(id);
        if (!rollout || !target) {
            continue;
        }
        if (report.err) {
            stopRollout(world, tick, rollout, report.val.message);
            continue;
        }
        const held = report.val.weights.get(rollout.model);
        if (held !== undefined && held >= rollout.version) {
            target.weights.set(rollout.model, held);
            world.tables.heldParts.removeTarget(id);
            target.loadingUntil = tick.now;
            endRollout(world, id, "loaded");
        }
        else if (rollout.state === "reading" && !report.val.isBusy && canAct(world, tick)) {
            rollout.acceptedOrders = report.val.acceptedOrders;
            recordOrder(world, tick, target, rollout);
        }
    }
}

const outcomeHandlers: {
    readonly [Outcome in WeightsOrderOutcome]: (world: ForwardWorld, tick: ForwardTick, rollout: RolloutRow) => void;
} = {
    started: (_world, tick, rollout) => {
        updateState(rollout, "loading", tick.now);
    },
    done: (world, _tick, rollout) => {
        world.tables.targets.get(rollout.target)?.weights.set(rollout.model, rollout.version);
        endRollout(world, rollout.target, "held already");
    },
    conflict: (_world, tick, rollout) => {
        updateState(rollout, "reading", tick.now);
    },
    outdated: (world, tick, rollout) => {
        stopRollout(world, tick, rollout, "the engine has seen a higher fencing number");
    },
    misdirected: (world, tick, rollout) => {
        stopRollout(world, tick, rollout, "another target has the address");
    },
    refused: (world, tick, rollout) => {
        stopRollout(world, tick, rollout, "the engine refused the order");
    },
    unknown: (world, tick, rollout) => {
        stopRollout(world, tick, rollout, "the order was not answered");
    },
};

function handleAnswers(world: ForwardWorld, tick: ForwardTick): void {
    for (const { target, version, outcome } of tick.events.list("orderAnswered")) {
        const rollout = world.tables.rollouts.rows.get(target);
        logInfo(world.effects, "place:", "Order was answered.", { target, weights: version, outcome });
        if (rollout?.state === "ordered") {
            outcomeHandlers[outcome](world, tick, rollout);
        }
    }
}

function updateRollout(world: ForwardWorld, tick: ForwardTick, rollout: RolloutRow): void {
    const target = world.tables.targets.get(rollout.target);
    if (!target || target.registration.isLeaving) {
        endRollout(world, rollout.target, "target left");
        return;
    }
    if (!isBehind(target, rollout.model, rollout.version)) {
        target.loadingUntil = tick.now;
        endRollout(world, rollout.target, "registered with the version");
        return;
    }
    const elapsed = tick.now - rollout.steppedAt;
    if (elapsed > (rollout.state === "failed" ? failurePauseMs : longestLoadMs)) {
        endRollout(world, rollout.target, rollout.state === "failed" ? "begins again" : "took too long");
        return;
    }
    if (rollout.state === "loading") {
        expectLoading(target, tick.now);
    }
    const canRead = rollout.state === "reading" || (rollout.state === "loading" && elapsed >= firstReadMs);
    if (canRead && tick.now - rollout.readAt >= stepMs) {
        readEngine(world, tick, target, rollout);
    }
}

/**
 * Reads: configuration, node. Writes: rollouts, targets (weights), held parts.
 * Effects: records in the store, reports and orders, log lines.
 */
export function placeWeights(world: ForwardWorld, tick: ForwardTick): void {
    const { rollouts, node } = world.tables;
    handleReports(world, tick);
    handleRecords(world, tick);
    handleAnswers(world, tick);
    if (node.duty.state !== "held") {
        return;
    }
    const isStep = tick.due.has("rollout");
    if (isStep) {
        for (const rollout of [...rollouts.rows.values()]) {
            updateRollout(world, tick, rollout);
        }
    }
    if (canAct(world, tick)) {
        for (const model of listModels(world)) {
            startRollouts(world, tick, model);
        }
    }
    if (isStep) {
        world.timers.schedule({ name: "rollout", at: addMillis(tick.now, stepMs) });
    }
}
