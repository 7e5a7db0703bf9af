/** Orders engines to load the model versions that the configuration wants. */
import { type ModelReference, toModelReference } from "../config/document";
import { logInfo, logWarning } from "../effects";
import type { EventOf } from "../events";
import { addMillis, type Millis, type TargetId, toOrderId } from "../ids";
import { canTrustKeys } from "../policy/freshness";
import { type EngineView, formatReference, listPlacementDecisions, type PlacementDecision } from "../policy/placement";
import type { OrderRow } from "../tables/orders";
import { isEngine, type TargetRow } from "../tables/targets";
import type { OrderOutcome } from "../targets";
import type { Tick, World } from "../world";
import { isPlacementOwner, releaseRole, updatePlacementRole } from "./placementRole";

const checkMs = 500;
/** More loads at once slow each other down at the weight store. */
const maxLoads = 2;
/** The adapter gives up an order after this time, so that none reaches an engine later. */
const orderLifetimeMs = 2000;
/** A report tells the state of up to this long ago: the engine's own lag and the time to read it. */
const reportAgeMs = 1500;
/** Time in which orders of a former owner arrive and show in reports. */
const takeoverMs = orderLifetimeMs + reportAgeMs;
/** Decisions use reports received within this time. */
const freshReportMs = 2000;
/** An order to an engine that cannot be reached stops counting as a load after this time. */
const unreachableOrderMs = 30_000;

/** True when the engine's state was read, or found unreachable, recently and since the takeover ended. */
function isReadFresh(world: World, tick: Tick, target: TargetRow): boolean {
    const { reportedAt } = target;
    return reportedAt !== undefined
        && tick.now - reportedAt <= freshReportMs
        && reportedAt >= world.tables.orders.role.acquiredAt + takeoverMs;
}

function listEngines(world: World): TargetRow[] {
    return world.tables.targets.list().filter(isEngine);
}

/** An engine that failed counts as serving again after this time, within which traffic would show a new failure. */
const recoveryMs = 30_000;

function hasRecovered(target: TargetRow, now: Millis): boolean {
    return target.failures === 0 || now >= target.backOffUntil + recoveryMs;
}

function buildView(world: World, tick: Tick, target: TargetRow): EngineView {
    const { report } = target;
    const isOrdered = world.tables.orders.get(target.id) !== undefined;
    const isReady = report?.state === "ready" && !target.isLeaving && !isOrdered;
    return {
        target: target.id,
        wanted: toModelReference(target.configuration as unknown as ModelReference),
        reported: report && toModelReference(report),
        canBeOrdered: isReady && tick.now >= world.tables.orders.getFailures(target.id).notBefore,
        isServing: isReady && hasRecovered(target, tick.now),
        isLoading: isOrdered || report?.state === "loading",
    };
}

/** Orders to targets that left the configuration still count as loads until they are settled. */
function computeForeignOrders(world: World): number {
    return world.tables.orders.list().filter(row => !world.tables.targets.get(row.target)).length;
}

/** Versions that routes name or that an engine should serve. */
function listVersionsInUse(world: World): Set<string> {
    const { document } = world.tables.configuration;
    const inUse = new Set<string>();
    for (const route of Object.values(document.routes)) {
        if (route.kind === "model") {
            inUse.add(formatReference(toModelReference(route)));
        }
    }
    for (const target of Object.values(document.targets)) {
        if (target.kind === "engine" && !target.leaving) {
            inUse.add(formatReference(toModelReference(target)));
        }
    }
    return inUse;
}

/** An engine waits for its next order after one without effect, so that the load limit is free for the others. */
const failedOrderMs = 2000;
const maxFailedOrderMs = 60_000;

function removeFailedOrder(world: World, tick: Tick, row: OrderRow, message: string): void {
    const { orders } = world.tables;
    const count = orders.getFailures(row.target).count + 1;
    const wait = Math.min(maxFailedOrderMs, failedOrderMs * 2 ** (count - 1));
    orders.recordFailures(row.target, { count, notBefore: addMillis(tick.now, wait) });
    orders.remove(row.target);
    logWarning(world.effects, "place:", message, { target: row.target, order: row.id, failures: count });
}

/** Settles an order by what the engine reports. Only a report that must show its effect can disprove it. */
function settleOrder(world: World, tick: Tick, row: OrderRow): void {
    const target = world.tables.targets.get(row.target);
    const report = target?.report;
    if (!target || !report) {
        if (tick.now - row.sentAt >= unreachableOrderMs) {
            removeFailedOrder(world, tick, row, "Order given up; the engine cannot be reached.");
        }
        return;
    }
    if ((target.reportedAt ?? 0) < row.sentAt || report.state === "loading") {
        return;
    }
    if (formatReference(toModelReference(report)) === formatReference(row)) {
        world.tables.orders.remove(row.target);
        world.tables.orders.removeFailures(row.target);
        logInfo(world.effects, "place:", "Order took effect.", { target: row.target, order: row.id });
    }
    else if ((target.reportedAt ?? 0) >= row.visibleAt) {
        removeFailedOrder(world, tick, row, "Order did not take effect.");
    }
}

/** What follows from the answer of an engine. The effect of an order is judged by reports alone. */
const answerHandlers: { readonly [Outcome in OrderOutcome]: (world: World, tick: Tick, row: OrderRow) => void; } = {
    accepted: (_world, tick, row) => {
        row.visibleAt = addMillis(tick.now, reportAgeMs);
    },
    outdated: (world, tick, row) => {
        row.visibleAt = addMillis(tick.now, reportAgeMs);
        if (world.tables.orders.role.fencing === row.fencing) {
            releaseRole(world, tick, row.fencing, "An engine has seen a higher fencing number.");
        }
    },
    refused: (_world, tick, row) => {
        row.visibleAt = addMillis(tick.now, reportAgeMs);
    },
    not_sent: (_world, tick, row) => {
        row.visibleAt = addMillis(tick.now, reportAgeMs);
    },
    unknown: () => undefined,
};

function handleAnswer(world: World, tick: Tick, event: EventOf<"orderAnswered">): void {
    const row = world.tables.orders.get(event.target);
    if (!row || row.id !== event.order) {
        return;
    }
    logInfo(world.effects, "place:", "Order answered.", { target: row.target, order: row.id, outcome: event.outcome });
    answerHandlers[event.outcome](world, tick, row);
}

function sendOrder(world: World, tick: Tick, target: TargetId, wanted: ModelReference): void {
    const { configuration, node, orders, targets } = world.tables;
    const row = targets.get(target);
    const { fencing } = orders.role;
    if (!row || fencing === undefined) {
        return;
    }
    const order: OrderRow = {
        id: toOrderId(`${configuration.version}-${fencing}-${target}-${tick.number}`),
        target,
        model: wanted.model,
        version: wanted.version,
        fencing,
        sentAt: tick.now,
        visibleAt: addMillis(tick.now, orderLifetimeMs + reportAgeMs),
    };
    orders.add(order);
    const { model, version } = wanted;
    world.effects.append({
        kind: "sendOrder",
        target,
        address: row.configuration.address,
        order: { order: order.id, fencing, model, version },
        timeoutMs: orderLifetimeMs,
        notAfter: node.memberLease.validUntil,
    });
    world.effects.append({ kind: "addCount", name: "orders_total", value: 1, labels: {} });
    logInfo(world.effects, "place:", "Engine is ordered to load a model version.", {
        target,
        order: order.id,
        from: row.report && formatReference(toModelReference(row.report)),
        to: formatReference(wanted),
        fencing,
    });
}

function logHold(world: World, decision: Extract<PlacementDecision, { readonly kind: "hold"; }>): void {
    const { target, reason } = decision;
    if (!world.tables.orders.recordHold(target, reason)) {
        return;
    }
    if (reason === "last_ready") {
        logWarning(world.effects, "place:", "Engine keeps its model; no other serves this version.", { target });
    }
    else {
        logInfo(world.effects, "place:", "Engine waits until other loads end.", { target });
    }
}

function placeEngines(world: World, tick: Tick): void {
    const { orders: { role } } = world.tables;
    const engines = listEngines(world);
    const decisions = listPlacementDecisions(engines.map(target => buildView(world, tick, target)), {
        inUse: listVersionsInUse(world),
        maxLoads: maxLoads - computeForeignOrders(world),
    });
    world.tables.orders.removeHoldsExcept(new Set(decisions.map(decision => decision.target)));
    // Engines that wait for a route change need no frequent reports.
    const isWaiting = decisions.some(decision => decision.kind === "order" || decision.reason === "load_limit");
    role.needsReports = isWaiting || world.tables.orders.size > 0;
    if (!isWaiting || !engines.every(target => isReadFresh(world, tick, target))) {
        decisions.filter(decision => decision.kind === "hold").forEach(decision => {
            logHold(world, decision);
        });
        return;
    }
    for (const decision of decisions) {
        if (decision.kind === "hold") {
            logHold(world, decision);
        }
        else {
            sendOrder(world, tick, decision.target, decision.wanted);
        }
    }
}

/**
 * Reads: configuration, targets, members, node. Writes: orders.
 * Effects: store calls for the owner key, orders to engines, log lines.
 */
export function placeModels(world: World, tick: Tick): void {
    const { configuration, orders } = world.tables;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "placement", everyMs: checkMs }, tick.now);
    }
    updatePlacementRole(world, tick);
    for (const event of tick.events.list("orderAnswered")) {
        handleAnswer(world, tick, event);
    }
    for (const row of orders.list()) {
        settleOrder(world, tick, row);
    }
    if (!tick.due.has("placement")) {
        return;
    }
    if (isPlacementOwner(world, tick) && canTrustKeys(configuration.freshness)) {
        placeEngines(world, tick);
    }
    else {
        orders.role.needsReports = false;
    }
}
