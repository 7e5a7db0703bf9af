/** Brings engines to the newest named version of their weights; only the holder of the duty does. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type ModelId, type TargetId } from "../../ids";
import type { WeightsOrderOutcome } from "../calls";
import type { ForwardTick } from "../events";
import type { WeightsVersion } from "../ids";
import { getNewestWeights } from "../tables/configuration";
import { isForwardLeaseValid } from "../tables/node";
import type { RolloutRow } from "../tables/rollouts";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** Engines that load at the same time, as part of all engines of a model; more of them slow each other down. */
const parallelFraction = 2 / 7;
const leastParallel = 2;
/** Time between the steps of a rollout. */
const stepMs = 250;
/** An engine that took an order shows the new version about this much later, at the earliest. */
const firstReadMs = 700;
/** An order without an answer may still be carried out; the engine is read again after this time. */
const unknownWaitMs = 1000;
/** A rollout that shows no end by then is begun again. */
const longestLoadMs = 6000;
/** The lease must be valid for this much longer when an order is sent. */
const leaseMarginMs = 150;

function listModels(world: ForwardWorld): ModelId[] {
    const services = world.tables.configuration.document?.services.values() ?? [];
    return [...new Set([...services].flatMap(service => service.engine?.models ?? []))];
}

function listEngines(world: ForwardWorld, model: ModelId): ForwardTargetRow[] {
    const services = world.tables.configuration.document?.services.values() ?? [];
    return [...services]
        .filter(service => service.engine?.models.includes(model))
        .flatMap(service => world.tables.targets.listService(service.id));
}

const isBehind = (target: ForwardTargetRow, model: ModelId, version: WeightsVersion): boolean =>
    (target.weights.get(model) ?? 0) < version;

function readEngine(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow, rollout: RolloutRow): void {
    rollout.readAt = tick.now;
    world.effects.append({
        kind: "readEngine",
        target: target.registration.id,
        address: target.registration.address,
        instance: target.registration.instance,
    });
}

/** Engines with little work go first: their runs end sooner. */
function startRollouts(world: ForwardWorld, tick: ForwardTick, model: ModelId): void {
    const newest = getNewestWeights(world.tables.configuration, model);
    if (!newest) {
        return;
    }
    const { rows } = world.tables.rollouts;
    const engines = listEngines(world, model);
    const parallel = Math.max(leastParallel, Math.floor(engines.length * parallelFraction));
    const waiting = engines
        .filter(target => !target.registration.isLeaving && isBehind(target, model, newest.version))
        .filter(target => !rows.has(target.registration.id))
        .sort((left, right) => left.work.size - right.work.size);
    for (const target of waiting.slice(0, Math.max(0, parallel - rows.size))) {
        const rollout: RolloutRow = {
            target: target.registration.id,
            model,
            state: "asked",
            version: newest.version,
            steppedAt: tick.now,
            readAt: tick.now,
        };
        rows.set(target.registration.id, rollout);
        readEngine(world, tick, target, rollout);
    }
}

function endRollout(world: ForwardWorld, target: TargetId, outcome: string): void {
    const rollout = world.tables.rollouts.rows.get(target);
    if (rollout) {
        world.tables.rollouts.rows.delete(target);
        logInfo(world.effects, "place:", "Rollout of weights ended.", {
            target,
            model: rollout.model,
            weights: rollout.version,
            outcome,
        });
    }
}

function sendOrder(
    world: ForwardWorld,
    tick: ForwardTick,
    target: ForwardTargetRow,
    rollout: RolloutRow,
    acceptedOrders: number,
): void {
    const { duty, lease } = world.tables.node;
    rollout.state = "ordered";
    rollout.steppedAt = tick.now;
    const { id, address, instance } = target.registration;
    target.loadingUntil = addMillis(tick.now, firstReadMs);
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
            expectedOrders: acceptedOrders,
        },
        notAfter: lease.validUntil,
    });
    world.effects.append({ kind: "addCount", name: "orders_total", value: 1, labels: { outcome: "sent" } });
    logInfo(world.effects, "place:", "Engine is ordered to take new weights.", {
        target: id,
        model: rollout.model,
        weights: rollout.version,
        fencing: duty.fencing,
        work: target.work.size,
    });
}

/** True while this process may act: it holds the duty, the guard time is over and its lease is certain. */
function canAct(world: ForwardWorld, tick: ForwardTick): boolean {
    const { duty, lease } = world.tables.node;
    return duty.state === "held"
        && tick.now >= duty.actsFrom
        && isForwardLeaseValid(lease, addMillis(tick.now, leaseMarginMs), tick.wallNow + leaseMarginMs);
}

function handleReports(world: ForwardWorld, tick: ForwardTick): void {
    for (const { target: id, report } of tick.events.list("engineReported")) {
        const rollout = world.tables.rollouts.rows.get(id);
        const target = world.tables.targets.get(id);
        if (!rollout || !target) {
            continue;
        }
        if (report.err) {
            logWarning(world.effects, "place:", "Engine gave no report.", { target: id, message: report.val.message });
            endRollout(world, id, "no report");
            target.loadingUntil = addMillis(tick.now, stepMs);
            continue;
        }
        const held = report.val.weights.get(rollout.model);
        if (held !== undefined && held >= rollout.version) {
            target.weights.set(rollout.model, held);
            world.tables.heldParts.removeTarget(id);
            target.loadingUntil = tick.now;
            endRollout(world, id, "loaded");
            continue;
        }
        if (rollout.state === "asked" && !report.val.isBusy && canAct(world, tick)) {
            // A version that was named meanwhile is taken at once; the one in between is skipped.
            rollout.version = getNewestWeights(world.tables.configuration, rollout.model)?.version ?? rollout.version;
            sendOrder(world, tick, target, rollout, report.val.acceptedOrders);
        }
    }
}

const outcomeHandlers: {
    readonly [Outcome in WeightsOrderOutcome]: (world: ForwardWorld, tick: ForwardTick, rollout: RolloutRow) => void;
} = {
    started: (_world, tick, rollout) => {
        rollout.state = "loading";
        rollout.steppedAt = tick.now;
    },
    done: (world, _tick, rollout) => {
        world.tables.targets.get(rollout.target)?.weights.set(rollout.model, rollout.version);
        endRollout(world, rollout.target, "held already");
    },
    conflict: (_world, tick, rollout) => {
        rollout.state = "asked";
        rollout.steppedAt = tick.now;
    },
    outdated: (world, tick, rollout) => {
        endRollout(world, rollout.target, "a higher fencing number was seen");
        world.tables.node.duty.actsFrom = addMillis(tick.now, unknownWaitMs);
    },
    misdirected: (world, _tick, rollout) => {
        endRollout(world, rollout.target, "another target has the address");
    },
    refused: (world, _tick, rollout) => {
        endRollout(world, rollout.target, "refused");
    },
    unknown: (_world, tick, rollout) => {
        rollout.state = "asked";
        rollout.readAt = addMillis(tick.now, unknownWaitMs - stepMs);
        rollout.steppedAt = tick.now;
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
    if (tick.now - rollout.steppedAt > longestLoadMs) {
        endRollout(world, rollout.target, "took too long");
        return;
    }
    const firstAt = addMillis(rollout.steppedAt, rollout.state === "loading" ? firstReadMs : stepMs);
    if (rollout.state !== "ordered" && tick.now >= firstAt && tick.now - rollout.readAt >= stepMs) {
        readEngine(world, tick, target, rollout);
    }
}

/**
 * Reads: configuration, node. Writes: rollouts, targets (weights), held parts.
 * Effects: reports and orders, log lines.
 */
export function placeWeights(world: ForwardWorld, tick: ForwardTick): void {
    const { rollouts, node } = world.tables;
    handleReports(world, tick);
    handleAnswers(world, tick);
    if (node.duty.state !== "held") {
        return;
    }
    if (tick.due.has("rollout")) {
        for (const rollout of [...rollouts.rows.values()]) {
            updateRollout(world, tick, rollout);
        }
    }
    if (canAct(world, tick)) {
        for (const model of listModels(world)) {
            startRollouts(world, tick, model);
        }
    }
    if (rollouts.rows.size > 0) {
        world.timers.schedule({ name: "rollout", at: addMillis(tick.now, stepMs) });
    }
}
