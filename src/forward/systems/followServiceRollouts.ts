/** Applies orders for service versions, and the states that the deciding process has written. */
import { logInfo, logWarning } from "../../effects";
import { decodeServiceRollout, serviceRolloutPrefix } from "../codec/fleetRows";
import type { FleetRow, ForwardTick, PublishedChanges, ServiceOrderChange } from "../events";
import { type ServiceId, toServiceId } from "../ids";
import { computeCanaryCredit } from "../policy/canaryShare";
import { chooseRollout, isFinalState } from "../policy/serviceRolloutRules";
import { createServiceRolloutRow, type ServiceRolloutRow, startCounting } from "../tables/serviceRollouts";
import type { ForwardWorld } from "../world";
import { listValueReads } from "./readValuesAgain";
import { scheduleRolloutCheck } from "./serviceVersions";

/** Bits of a hash that a number holds exactly. */
const pointBits = 53n;

/** Point in [0, 1) that differs from process to process and from order to order. */
const computePoint = (world: ForwardWorld, key: string): number =>
    Number(BigInt.asUintN(64, world.hasher.hashText(`${world.settings.vm} ${key}`, 0n)) >> (64n - pointBits))
    / 2 ** Number(pointBits);

/** Credit for an order; a process that finds it at its start may have used its credit in the run before. */
function computeCredit(world: ForwardWorld, row: ServiceRolloutRow, wasOrderedBefore: boolean): number {
    return wasOrderedBefore ? 0 : computeCanaryCredit({
        point: computePoint(world, `${row.service} ${row.current?.orderRevision ?? 0}`),
        slack: world.settings.bounds.canarySlack,
        processes: world.tables.members.countLive(),
    });
}

/** Brings the rollout in force up to date with the order and the row of the store. */
export function updateRolloutInForce(world: ForwardWorld, tick: ForwardTick, row: ServiceRolloutRow): void {
    const before = row.current;
    const versions = world.tables.targets.listService(row.service).map(({ registration }) => registration.version);
    const current = chooseRollout(row.known, row.stored, before, {
        wallNow: tick.wallNow,
        versions: [...new Set(versions)].sort(),
    });
    row.current = current;
    if (!current) {
        world.tables.serviceRollouts.rows.delete(row.service);
        return;
    }
    const isNewOrder = current.orderRevision !== before?.orderRevision;
    if (isNewOrder) {
        const wasOrderedBefore = world.tables.node.isStoreUnread || world.tables.node.storeFirstReadAt === tick.now;
        const credit = computeCredit(world, row, wasOrderedBefore);
        startCounting(row, { now: tick.now, credit, wasOrderedBefore });
    }
    if (isNewOrder || current.state !== before.state) {
        row.stateSeenAt = tick.now;
        logInfo(world.effects, "version:", "State of a service rollout changed.", {
            service: row.service,
            to: current.to,
            order: current.orderRevision,
            before: before?.state,
            after: current.state,
            base: current.base,
            orderAgeMs: Math.round(tick.now - row.orderSeenAt),
            sent: row.sent,
            canarySent: row.canarySent,
        });
    }
    if (!isFinalState(current.state) || row.stored?.state !== current.state) {
        scheduleRolloutCheck(world, tick);
    }
}

function getRow(world: ForwardWorld, service: ServiceId): ServiceRolloutRow {
    const { rows } = world.tables.serviceRollouts;
    const row = rows.get(service) ?? createServiceRolloutRow(service);
    rows.set(service, row);
    return row;
}

function applyOrder(world: ForwardWorld, row: ServiceRolloutRow, { known, reason }: ServiceOrderChange): void {
    if (known.kind === "malformed") {
        logWarning(world.effects, "version:", "An order for a service version cannot be read and changes nothing.", {
            service: row.service,
            reason,
        });
        // The order that was in force before stays in force.
        row.known = row.known.kind === "order" ? row.known : known;
        return;
    }
    row.known = known;
}

function applyRow(world: ForwardWorld, row: ServiceRolloutRow, { key, value, revision = 0 }: FleetRow): void {
    const stored = value === undefined ? undefined : decodeServiceRollout(value);
    if (value !== undefined && !stored) {
        logWarning(world.effects, "store:", "A row of the store cannot be read and is ignored.", { key });
        return;
    }
    row.stored = stored;
    row.storedRevision = stored ? revision : 0;
}

function applyChanges(
    world: ForwardWorld,
    tick: ForwardTick,
    { serviceOrders, rows }: PublishedChanges,
    isFullRead: boolean,
): void {
    const changed = new Set<ServiceRolloutRow>();
    if (isFullRead) {
        for (const row of world.tables.serviceRollouts.rows.values()) {
            const isListed = serviceOrders.some(({ service }) => service === row.service);
            row.known = isListed ? row.known : { kind: "none" };
            row.stored = undefined;
            row.storedRevision = 0;
            changed.add(row);
        }
    }
    for (const order of serviceOrders) {
        const row = getRow(world, order.service);
        applyOrder(world, row, order);
        changed.add(row);
    }
    for (const fleetRow of rows) {
        if (!fleetRow.key.startsWith(serviceRolloutPrefix)) {
            continue;
        }
        const row = getRow(world, toServiceId(fleetRow.key.slice(serviceRolloutPrefix.length)));
        // The watch may deliver a row that this process has replaced since.
        if (isFullRead || fleetRow.value === undefined || (fleetRow.revision ?? 0) >= row.storedRevision) {
            applyRow(world, row, fleetRow);
            changed.add(row);
        }
    }
    for (const row of changed) {
        updateRolloutInForce(world, tick, row);
    }
}

/**
 * Reads: node, members. Writes: service rollouts. Effects: log lines. Does nothing where the settings allow no share to a
 * version on trial.
 */
export function followServiceRollouts(world: ForwardWorld, tick: ForwardTick): void {
    if (world.settings.bounds.canaryShare === undefined) {
        return;
    }
    for (const changes of listValueReads(world, tick)) {
        applyChanges(world, tick, changes, false);
    }
    for (const { changes } of tick.events.list("publishedRead")) {
        applyChanges(world, tick, changes, true);
    }
    for (const { changes } of tick.events.list("publishedChanged")) {
        applyChanges(world, tick, changes, false);
    }
}
