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

const placementIntervalMs = 500;
/** Maximum number of concurrent loads; more would slow each other down at the weight store. */
const maxLoads = 2;
/** Timeout of an order; the adapter cancels it, so that it cannot reach an engine later. */
const orderTimeoutMs = 2000;
/** Upper bound of the age of the state in a report: the engine's own lag plus the time to read the report. */
const maxReportLagMs = 1500;
/** Time after which all orders of the previous owner have arrived and show in reports. */
const takeoverDelayMs = orderTimeoutMs + maxReportLagMs;
/** Decisions require reports that were received within this time. */
const maxReportAgeMs = 2000;
/** Time after which an order to an unreachable engine is abandoned and no longer counts as a load. */
const unreachableOrderTimeoutMs = 30_000;

/** True when the engine was read, or found unreachable, recently and after the end of the takeover delay. */
function hasRecentState(world: World, tick: Tick, target: TargetRow): boolean {
    const { reportedAt } = target;
    return reportedAt !== undefined
        && tick.now - reportedAt <= maxReportAgeMs
        && reportedAt >= world.tables.orders.role.acquiredAt + takeoverDelayMs;
}

function listEngines(world: World): TargetRow[] {
    return world.tables.targets.list().filter(isEngine);
}

/** Time after its back-off until a failed engine counts as serving again; a further failure would show by then. */
const recoveryDelayMs = 30_000;

function hasRecovered(target: TargetRow, now: Millis): boolean {
    return target.failures === 0 || now >= target.backOffUntil + recoveryDelayMs;
}

function buildEngineView(world: World, tick: Tick, target: TargetRow): EngineView {
    const { report } = target;
    const hasOrder = world.tables.orders.get(target.id) !== undefined;
    const isReady = report?.state === "ready" && !target.isLeaving && !hasOrder;
    return {
        target: target.id,
        wanted: toModelReference(target.configuration as unknown as ModelReference),
        reported: report && toModelReference(report),
        canReceiveOrder: isReady && tick.now >= world.tables.orders.getFailures(target.id).notBefore,
        isServing: isReady && hasRecovered(target, tick.now),
        isLoading: hasOrder || report?.state === "loading",
    };
}

/** Counts unsettled orders to targets that are no longer in the configuration; they still count as loads. */
function countOrphanedOrders(world: World): number {
    return world.tables.orders.list().filter(row => !world.tables.targets.get(row.target)).length;
}

/** Lists the model versions that a route uses or that the configuration wants on an engine. */
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

/** An engine whose order had no effect is backed off, so that the load limit is available to other engines. */
const minOrderBackOffMs = 2000;
const maxOrderBackOffMs = 60_000;

function removeFailedOrder(world: World, tick: Tick, row: OrderRow, message: string): void {
    const { orders } = world.tables;
    const count = orders.getFailures(row.target).count + 1;
    const waitMs = Math.min(maxOrderBackOffMs, minOrderBackOffMs * 2 ** (count - 1));
    orders.recordFailures(row.target, { count, notBefore: addMillis(tick.now, waitMs) });
    orders.remove(row.target);
    logWarning(world.effects, "place:", message, { target: row.target, order: row.id, failures: count });
}

/**
 * Settles an order by the engine's reports. The order has failed if a report received since `effectVisibleAt` does not
 * show its effect, or if the engine stays unreachable for `unreachableOrderTimeoutMs`.
 */
function settleOrder(world: World, tick: Tick, row: OrderRow): void {
    const target = world.tables.targets.get(row.target);
    const report = target?.report;
    if (!target || !report) {
        if (tick.now - row.sentAt >= unreachableOrderTimeoutMs) {
            removeFailedOrder(world, tick, row, "Order abandoned; the engine is unreachable.");
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
    else if ((target.reportedAt ?? 0) >= row.effectVisibleAt) {
        removeFailedOrder(world, tick, row, "Order did not take effect.");
    }
}

/** Handlers of an engine's answer to an order. Whether the order took effect is determined only from reports. */
const answerHandlers: { readonly [Outcome in OrderOutcome]: (world: World, tick: Tick, row: OrderRow) => void; } = {
    accepted: (_world, tick, row) => {
        row.effectVisibleAt = addMillis(tick.now, maxReportLagMs);
    },
    outdated: (world, tick, row) => {
        row.effectVisibleAt = addMillis(tick.now, maxReportLagMs);
        if (world.tables.orders.role.fencingToken === row.fencingToken) {
            releaseRole(world, tick, row.fencingToken, "An engine has seen a higher fencing token.");
        }
    },
    refused: (_world, tick, row) => {
        row.effectVisibleAt = addMillis(tick.now, maxReportLagMs);
    },
    not_sent: (_world, tick, row) => {
        row.effectVisibleAt = addMillis(tick.now, maxReportLagMs);
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
    const { fencingToken } = orders.role;
    if (!row || fencingToken === undefined) {
        return;
    }
    const order: OrderRow = {
        id: toOrderId(`${configuration.version}-${fencingToken}-${target}-${tick.number}`),
        target,
        model: wanted.model,
        version: wanted.version,
        fencingToken,
        sentAt: tick.now,
        effectVisibleAt: addMillis(tick.now, orderTimeoutMs + maxReportLagMs),
    };
    orders.add(order);
    const { model, version } = wanted;
    world.effects.append({
        kind: "sendOrder",
        target,
        address: row.configuration.address,
        order: { order: order.id, fencingToken, model, version },
        timeoutMs: orderTimeoutMs,
        expiresAt: node.memberLease.validUntil,
    });
    world.effects.append({ kind: "addCount", name: "orders_total", value: 1, labels: {} });
    logInfo(world.effects, "place:", "Engine ordered to load a model version.", {
        target,
        order: order.id,
        from: row.report && formatReference(toModelReference(row.report)),
        to: formatReference(wanted),
        fencing: fencingToken,
    });
}

function logHold(world: World, decision: Extract<PlacementDecision, { readonly kind: "hold"; }>): void {
    const { target, reason } = decision;
    if (!world.tables.orders.recordHold(target, reason)) {
        return;
    }
    if (reason === "last_ready") {
        logWarning(world.effects, "place:", "Engine keeps its model; it is the last one that serves this version.", {
            target,
        });
    }
    else {
        logInfo(world.effects, "place:", "Load deferred; the maximum number of loads is in progress.", { target });
    }
}

function placeEngines(world: World, tick: Tick): void {
    const { orders: { role } } = world.tables;
    const engines = listEngines(world);
    const decisions = listPlacementDecisions(engines.map(target => buildEngineView(world, tick, target)), {
        inUse: listVersionsInUse(world),
        maxLoads: maxLoads - countOrphanedOrders(world),
    });
    world.tables.orders.removeHoldsExcept(new Set(decisions.map(decision => decision.target)));
    // An engine held as the last one of its version waits for a route change and needs no frequent reports.
    const hasPendingLoads = decisions.some(decision => decision.kind === "order" || decision.reason === "load_limit");
    role.needsReports = hasPendingLoads || world.tables.orders.size > 0;
    if (!hasPendingLoads || !engines.every(target => hasRecentState(world, tick, target))) {
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
        world.timers.subscribe({ name: "placement", everyMs: placementIntervalMs }, tick.now);
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
