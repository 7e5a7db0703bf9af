/** Rolls out the newest published weights to engines; only the rollout leader does. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis, type ModelId, type TargetId } from "../../ids";
import type { WeightsOrderOutcome } from "../calls";
import { encodeOrder, orderPrefix } from "../codec/fleetRows";
import type { ForwardTick } from "../events";
import { toTargetName, toWeightsVersion, type WeightsVersion } from "../ids";
import { findOutdatedSince, getNewestWeights } from "../tables/configuration";
import { isForwardLeaseValid } from "../tables/node";
import type { RolloutRow, RolloutState } from "../tables/rollouts";
import { type ForwardTargetRow, isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { listTargetLoads } from "./engineLoad";
import { computeExpectedLoadMs, computePacedLoads } from "./loadPace";
import { expectLoading } from "./targetHealth";
import { computeLeaderGuardMs, computeOrderStart } from "./updateMembership";

/** Fraction of a model's working engines that may load at the same time while queues are short. */
const maxLoadFractionShortQueue = 3 / 7;
/** Fraction that may load while queues are long and requests need the capacity of the engines. */
const maxLoadFractionLongQueue = 1 / 3;
/** From this many engines on, a smaller fraction loads at a time: loads slow each other, and there is enough time. */
const minLargeModelEngines = 16;
const maxLoadFractionLargeModel = 1 / 4;
/** Largest average of queued prompt tokens for each engine at which queues count as short. */
const maxShortQueueTokens = 5000;
/** At least this many engines load at the same time once one has been outdated for `urgentFraction` of `weightsMs`. */
const minUrgentLoads = 2;
const urgentFraction = 0.3;
/** Interval between the steps of a rollout. */
const rolloutStepMs = 250;
/** Reports are requested no earlier than this after an order was accepted; none shows the new version before. */
const firstReportDelayMs = 700;
/** Delay before a failed rollout is started again. */
const rolloutRetryDelayMs = 1000;
/** A rollout that stays in one state for longer than this is started again. */
const rolloutTimeoutMs = 6000;
/** Remaining validity that the lease must have when an order is sent. */
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

/** True while this process is the rollout leader and its lease is valid for at least `leaseMarginMs` more. */
function canOrder(world: ForwardWorld, tick: ForwardTick): boolean {
    const { rolloutLeadership: leadership, lease } = world.tables.node;
    return leadership.state === "held"
        && tick.now >= computeOrderStart(world)
        && isForwardLeaseValid(lease, addMillis(tick.now, leaseMarginMs), tick.wallNow + leaseMarginMs);
}

/** True when another process ordered the engine to load weights less than the guard time ago. */
function isWithinGuardTime(
    world: ForwardWorld,
    tick: ForwardTick,
    { registration }: Pick<ForwardTargetRow, "registration">,
): boolean {
    const sender = world.tables.rollouts.orderSenders.get(toTargetName(registration.instance));
    return sender !== undefined
        && sender.vm !== world.settings.vm
        && tick.now < addMillis(sender.seenAt, computeLeaderGuardMs(world));
}

function updateRolloutState(rollout: RolloutRow, state: RolloutState, now: Millis): void {
    rollout.state = state;
    rollout.stateChangedAt = now;
}

function readEngine(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow, rollout: RolloutRow): void {
    rollout.reportRequestedAt = tick.now;
    const { id, address, instance } = target.registration;
    world.effects.append({ kind: "readEngine", target: id, address, instance });
}

/** Engines that may get an order for the version: oldest weights first, then fewest requests, whose runs end sooner. */
function listRolloutCandidates(
    world: ForwardWorld,
    tick: ForwardTick,
    model: ModelId,
    version: WeightsVersion,
): ForwardTargetRow[] {
    const getVersion = (target: ForwardTargetRow): number => target.weights.get(model) ?? 0;
    return listEngines(world, model)
        .filter(target => !target.registration.isLeaving && isBehind(target, model, version))
        .filter(({ registration }) => !world.tables.rollouts.rows.has(registration.id))
        .filter(target => !isWithinGuardTime(world, tick, target))
        .sort((left, right) => getVersion(left) - getVersion(right) || left.inFlight.size - right.inFlight.size);
}

/** Number of engines that may load now; an engine that loads cannot serve queued requests. */
function computeMaxParallelLoads(world: ForwardWorld, tick: ForwardTick, model: ModelId): number {
    const { configuration } = world.tables;
    const working = listEngines(world, model).filter(target => isWorking(target, tick.now));
    const loads = listTargetLoads(world, tick, working);
    const queuedTokens = loads.reduce((sum, { queue }) => sum + queue.queuedTokens, 0);
    const smallModelFraction = queuedTokens <= working.length * maxShortQueueTokens
        ? maxLoadFractionShortQueue
        : maxLoadFractionLongQueue;
    const fraction = working.length < minLargeModelEngines ? smallModelFraction : maxLoadFractionLargeModel;
    const isUrgent = working.some(target => {
        const since = findOutdatedSince(configuration, model, target.weights.get(model) ?? toWeightsVersion(0));
        return since !== undefined && tick.now - since > world.settings.bounds.weightsMs * urgentFraction;
    });
    return Math.max(
        isUrgent ? minUrgentLoads : 1,
        Math.floor(working.length * fraction),
        computePacedLoads(world, tick, model, working),
    );
}

function startRollouts(world: ForwardWorld, tick: ForwardTick, model: ModelId): void {
    const newest = getNewestWeights(world.tables.configuration, model);
    if (!newest) {
        return;
    }
    const { rows } = world.tables.rollouts;
    const running = [...rows.values()].filter(row => row.model === model && row.state !== "failed").length;
    const maxParallelLoads = computeMaxParallelLoads(world, tick, model);
    for (
        const target of listRolloutCandidates(world, tick, model, newest.version).slice(
            0,
            Math.max(0, maxParallelLoads - running),
        )
    ) {
        const rollout: RolloutRow = {
            target: target.registration.id,
            model,
            state: "reading",
            version: newest.version,
            acceptedOrderCount: 0,
            stateChangedAt: tick.now,
            reportRequestedAt: tick.now,
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

function recordRolloutFailure(world: ForwardWorld, tick: ForwardTick, rollout: RolloutRow, reason: string): void {
    updateRolloutState(rollout, "failed", tick.now);
    logWarning(world.effects, "place:", "Rollout of weights failed; it is retried later.", {
        target: rollout.target,
        weights: rollout.version,
        reason,
    });
}

/** Records the order in the store before it is sent, so that the next rollout leader knows about it. */
function recordOrder(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow, rollout: RolloutRow): void {
    const { node, configuration } = world.tables;
    // If a newer version has been published meanwhile, the engine loads that one and skips the one in between.
    rollout.version = getNewestWeights(configuration, rollout.model)?.version ?? rollout.version;
    updateRolloutState(rollout, "recording", tick.now);
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
    const { rolloutLeadership: leadership, lease } = world.tables.node;
    const { id, address, instance } = target.registration;
    updateRolloutState(rollout, "ordered", tick.now);
    expectLoading(target, tick.now, computeExpectedLoadMs(world));
    world.effects.append({
        kind: "orderWeights",
        target: id,
        address,
        instance,
        order: {
            model: rollout.model,
            version: rollout.version,
            holder: world.settings.vm,
            fencingToken: leadership.fencingToken,
            expectedOrderCount: rollout.acceptedOrderCount,
        },
        expiresAt: lease.validUntil,
    });
    world.effects.append({ kind: "addCount", name: "orders_total", value: 1, labels: { outcome: "sent" } });
    logInfo(world.effects, "place:", "Engine is ordered to take new weights.", {
        target: id,
        model: rollout.model,
        weights: rollout.version,
        fencing: leadership.fencingToken,
        acceptedOrders: rollout.acceptedOrderCount,
        leaseLeftMs: Math.round(lease.validUntil - tick.now),
        work: target.inFlight.size,
    });
}

function handleRecordReplies(world: ForwardWorld, tick: ForwardTick): void {
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
        const { storeEra } = world.tables.node;
        // A record of another era stands in a history in which this process holds no leadership.
        const isRecorded = result.ok && result.val.kind === "transaction" && result.val.succeeded
            && (result.val.era ?? storeEra) === storeEra;
        if (isRecorded && canOrder(world, tick) && !isWithinGuardTime(world, tick, target)) {
            sendOrder(world, tick, target, rollout);
        }
        else {
            recordRolloutFailure(
                world,
                tick,
                rollout,
                isRecorded ? "this process may not order the engine now" : "the order was not recorded in the store",
            );
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
            recordRolloutFailure(world, tick, rollout, report.val.message);
            continue;
        }
        const loadedVersion = report.val.weights.get(rollout.model);
        if (loadedVersion !== undefined && loadedVersion >= rollout.version) {
            target.weights.set(rollout.model, loadedVersion);
            world.tables.cachedParts.removeTarget(id);
            target.unavailableUntil = tick.now;
            endRollout(world, id, "loaded");
        }
        else if (rollout.state === "reading" && !report.val.isBusy && canOrder(world, tick)) {
            rollout.acceptedOrderCount = report.val.acceptedOrderCount;
            recordOrder(world, tick, target, rollout);
        }
    }
}

const orderOutcomeHandlers: {
    readonly [Outcome in WeightsOrderOutcome]: (world: ForwardWorld, tick: ForwardTick, rollout: RolloutRow) => void;
} = {
    started: (_world, tick, rollout) => {
        updateRolloutState(rollout, "loading", tick.now);
    },
    done: (world, _tick, rollout) => {
        world.tables.targets.get(rollout.target)?.weights.set(rollout.model, rollout.version);
        endRollout(world, rollout.target, "held already");
    },
    conflict: (_world, tick, rollout) => {
        updateRolloutState(rollout, "reading", tick.now);
    },
    outdated: (world, tick, rollout) => {
        recordRolloutFailure(world, tick, rollout, "the engine has seen a higher fencing token");
    },
    misdirected: (world, tick, rollout) => {
        recordRolloutFailure(world, tick, rollout, "another target has the address");
    },
    refused: (world, tick, rollout) => {
        recordRolloutFailure(world, tick, rollout, "the engine refused the order");
    },
    unknown: (world, tick, rollout) => {
        recordRolloutFailure(world, tick, rollout, "the engine did not answer the order");
    },
};

function handleOrderAnswers(world: ForwardWorld, tick: ForwardTick): void {
    for (const { target, version, outcome } of tick.events.list("orderAnswered")) {
        const rollout = world.tables.rollouts.rows.get(target);
        logInfo(world.effects, "place:", "Engine answered the order.", { target, weights: version, outcome });
        if (rollout?.state === "ordered") {
            orderOutcomeHandlers[outcome](world, tick, rollout);
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
        target.unavailableUntil = tick.now;
        endRollout(world, rollout.target, "registered with the version");
        return;
    }
    const elapsed = tick.now - rollout.stateChangedAt;
    if (elapsed > (rollout.state === "failed" ? rolloutRetryDelayMs : rolloutTimeoutMs)) {
        endRollout(world, rollout.target, rollout.state === "failed" ? "begins again" : "took too long");
        return;
    }
    if (rollout.state === "loading") {
        expectLoading(target, tick.now);
    }
    const canRead = rollout.state === "reading" || (rollout.state === "loading" && elapsed >= firstReportDelayMs);
    if (canRead && tick.now - rollout.reportRequestedAt >= rolloutStepMs) {
        readEngine(world, tick, target, rollout);
    }
}

/**
 * Reads: configuration, node. Writes: rollouts, targets (weights), cached parts.
 * Effects: order records in the store, report requests, orders to engines, log lines.
 */
export function placeWeights(world: ForwardWorld, tick: ForwardTick): void {
    const { rollouts, node } = world.tables;
    handleReports(world, tick);
    handleRecordReplies(world, tick);
    handleOrderAnswers(world, tick);
    if (node.rolloutLeadership.state !== "held") {
        return;
    }
    const isRolloutStep = tick.due.has("rollout");
    if (isRolloutStep) {
        for (const rollout of [...rollouts.rows.values()]) {
            updateRollout(world, tick, rollout);
        }
    }
    if (canOrder(world, tick)) {
        for (const model of listModels(world)) {
            startRollouts(world, tick, model);
        }
    }
    if (isRolloutStep) {
        world.timers.schedule({ name: "rollout", at: addMillis(tick.now, rolloutStepMs) });
    }
}
