/** Applies what operators, targets and other processes publish in the store. */
import { logInfo } from "../../effects";
import { addMillis, type TargetId, type VmId } from "../../ids";
import {
    decodeMember,
    decodeOrder,
    memberPrefix,
    orderPrefix,
    quarantinePrefix,
    rolloutLeaderKey,
    surgePrefix,
} from "../codec/fleetRows";
import type { FleetRow, ForwardTick, PublishedChanges, StoreTransfer, TargetChange } from "../events";
import { type TargetName, toTargetName } from "../ids";
import { addPublishedWeights, getNewestWeights } from "../tables/configuration";
import type { ForwardWorld } from "../world";
import { applyDocument, type ChangeSource } from "./applyDocument";
import { closeForwardTarget } from "./closeTarget";
import { confirmRecordedCrash } from "./followCrashes";
import { computeExpectedLoadMs, recordLoad } from "./loadPace";
import { listValueReads, recordDelivered } from "./readValuesAgain";
import { applySurgeRow } from "./recordSurges";
import { isCopyOutdated, recordReadPosition } from "./restoredStore";
import { recordStoreContact, recordStoreFailures, recordStoreTransfer } from "./storeContact";
import { confirmRegistrations, hasAnnouncedDeparture, recordDeparture, recordRemoval } from "./targetDepartures";
import { endBackOff, expectLoading, recordSignOfLife } from "./targetHealth";
import { computeLeaderGuardMs } from "./updateMembership";
import { applyQuarantineRow, writeQuarantinesAgain } from "./updateQuarantine";

/** Assumed age of a version that is found at the start of the process, until a peer reports when it was published. */
const assumedWeightsAgeMs = 6500;

function applyWeights(world: ForwardWorld, tick: ForwardTick, { weights, position }: PublishedChanges): void {
    const { configuration, node } = world.tables;
    for (const { model, version } of weights) {
        const newest = getNewestWeights(configuration, model);
        if (newest && newest.version >= version) {
            continue;
        }
        addPublishedWeights(configuration, model, {
            version,
            publishedAt: addMillis(tick.now, node.isStoreUnread ? -assumedWeightsAgeMs : 0),
            isPublishTimeKnown: !node.isStoreUnread,
        });
        logInfo(world.effects, "place:", "New weights were published.", { model, version, ...position });
    }
}

/**
 * A target that left by deleting its row may stand in a restored copy again. It is not used until the time has passed in
 * which such rows are deleted again, unless it registers in the new era.
 */
function updateRemoval(world: ForwardWorld, tick: ForwardTick, id: TargetId, { learnedFrom }: ChangeSource): void {
    const { departures, node, targets } = world.tables;
    const row = targets.get(id);
    if (row && learnedFrom !== "read") {
        row.removedAt = undefined;
    }
    else if (row && isCopyOutdated(world, tick) && departures.get(id)) {
        row.removedAt = node.copyOutdatedUntil;
    }
}

function applyTarget(
    world: ForwardWorld,
    tick: ForwardTick,
    { name, target: registered }: TargetChange,
    source: ChangeSource,
): void {
    const { targets, node, cachedParts } = world.tables;
    if (registered) {
        if (registered.isLeaving) {
            recordDeparture(world, tick, registered.id, { at: tick.now, source: source.learnedFrom });
        }
        const target = { ...registered, isLeaving: hasAnnouncedDeparture(world, registered.id, tick.now) };
        const current = targets.findByName(name);
        const wasLeaving = current?.registration.isLeaving;
        const hasNewWeights = [...target.weights].some(([model, version]) => current?.weights.get(model) !== version);
        const replaced = targets.apply(name, target, tick.now);
        updateRemoval(world, tick, target.id, source);
        if (replaced) {
            closeForwardTarget(world, replaced);
            confirmRecordedCrash(world, tick, replaced.registration.id, "it registered as a new run");
        }
        if (current && !replaced && source.learnedFrom !== "read") {
            // A read of the whole store also returns rows that their targets wrote before they ended.
            recordSignOfLife(world, current);
        }
        if (current && !replaced && hasNewWeights) {
            cachedParts.removeTarget(target.id);
            recordLoad(world, tick, current);
            current.unavailableUntil = tick.now;
            endBackOff(current, tick.now);
        }
        if (wasLeaving !== target.isLeaving || replaced || hasNewWeights) {
            logInfo(world.effects, "target:", "Target is registered.", {
                target: target.id,
                service: target.service,
                state: target.isLeaving ? "leaving" : "ready",
                weights: [...target.weights].map(([model, version]) => `${model} ${version}`),
                ...source,
            });
        }
        return;
    }
    const row = targets.findByName(name);
    if (!row) {
        return;
    }
    if (tick.now < node.rowsMayReturnUntil && !row.registration.isLeaving) {
        row.missingUntil ??= node.rowsMayReturnUntil;
        world.timers.schedule({ name: "missingTarget", at: row.missingUntil, key: name });
        logInfo(
            world.effects,
            "target:",
            "Target row disappeared in a store outage; the target is kept for a grace period.",
            { target: row.registration.id, keptMs: Math.round(row.missingUntil - tick.now), ...source },
        );
        return;
    }
    removeTarget(world, tick, name, source);
}

function removeTarget(
    world: ForwardWorld,
    tick: ForwardTick,
    name: string,
    details: ChangeSource | { readonly reason: string; },
): void {
    const { targets } = world.tables;
    const row = targets.findByName(name);
    if (row) {
        if (!row.registration.isLeaving) {
            confirmRecordedCrash(world, tick, row.registration.id, "its registration was removed");
        }
        targets.remove(name);
        recordRemoval(world, row.registration.id, tick.now);
        closeForwardTarget(world, row);
        logInfo(world.effects, "target:", "Target was removed; it gets no further requests.", {
            target: row.registration.id,
            ...details,
        });
    }
}

/** Removes members that did not register again in the restored store. */
function removeMissingMembers(world: ForwardWorld, tick: ForwardTick): void {
    const { members } = world.tables;
    for (const [vm, until] of tick.due.has("missingMember") ? [...members.missingUntil] : []) {
        if (tick.now >= until) {
            applyFleetRow(world, tick, { key: `${memberPrefix}${vm}`, value: undefined, createRevision: 0 });
        }
    }
}

function removeMissingTargets(world: ForwardWorld, tick: ForwardTick): void {
    for (const name of tick.due.listKeys("missingTarget")) {
        const row = world.tables.targets.findByName(name);
        if (row?.missingUntil !== undefined && tick.now >= row.missingUntil) {
            removeTarget(world, tick, name, { reason: "its row did not return after a store outage" });
        }
    }
}

/** Delay before streams are moved off an engine: short ones end by then, long ones would delay the load by seconds. */
const streamMoveDelayMs = 300;

/** Records who has ordered the engine, also if it is not registered at the moment, and removes senders of long ago. */
function recordSender(world: ForwardWorld, tick: ForwardTick, name: TargetName, vm: VmId): void {
    const { orderSenders } = world.tables.rollouts;
    const guardMs = computeLeaderGuardMs(world);
    for (const [other, { seenAt }] of orderSenders) {
        if (tick.now >= addMillis(seenAt, guardMs)) {
            orderSenders.delete(other);
        }
    }
    orderSenders.set(name, { vm, seenAt: tick.now });
}

/** Applies a recorded order: every process stops sending requests to an engine that is about to load weights. */
function applyOrder(world: ForwardWorld, tick: ForwardTick, name: TargetName, text: string): void {
    const { targets, rollouts } = world.tables;
    const order = decodeOrder(text);
    if (order) {
        recordSender(world, tick, name, order.vm);
    }
    const target = order && targets.get(order.target);
    if (!order || !target) {
        return;
    }
    const { vm, model, version } = order;
    const hasEnded = (target.weights.get(model) ?? 0) >= version;
    rollouts.lastOrders.set(order.target, { vm, seenAt: tick.now, model, version, hasEnded });
    if (!hasEnded) {
        expectLoading(target, tick.now, computeExpectedLoadMs(world));
        world.timers.schedule({ name: "streamMove", at: addMillis(tick.now, streamMoveDelayMs), key: order.target });
    }
}

function applyFleetRow(world: ForwardWorld, tick: ForwardTick, { key, value, createRevision }: FleetRow): void {
    const { members, node } = world.tables;
    if (key.startsWith(orderPrefix) && value !== undefined) {
        applyOrder(world, tick, toTargetName(key.slice(orderPrefix.length)), value);
        return;
    }
    if (key === rolloutLeaderKey) {
        node.rolloutLeadership.holder = value;
        node.rolloutLeadership.holderRevision = createRevision;
        return;
    }
    if (key.startsWith(quarantinePrefix)) {
        applyQuarantineRow(world, tick, key, value);
        return;
    }
    if (key.startsWith(surgePrefix)) {
        applySurgeRow(world, tick, key, value);
        return;
    }
    if (!key.startsWith(memberPrefix)) {
        return;
    }
    const vm = key.slice(memberPrefix.length) as Parameters<typeof members.remove>[0];
    const member = value === undefined ? undefined : decodeMember(value);
    const before = members.get(vm)?.state;
    if (member) {
        members.apply(member);
    }
    else {
        members.remove(vm);
    }
    if (before !== member?.state) {
        logInfo(world.effects, "member:", "State of a member changed.", { member: vm, before, after: member?.state });
    }
}

function applyChanges(
    world: ForwardWorld,
    tick: ForwardTick,
    changes: PublishedChanges,
    source: ChangeSource,
    transfer: StoreTransfer | undefined,
): void {
    applyDocument(world, changes, source, transfer);
    applyWeights(world, tick, changes);
    for (const change of changes.targets) {
        applyTarget(world, tick, change, source);
    }
    for (const row of changes.rows) {
        applyFleetRow(world, tick, row);
    }
}

/** Removes targets, members, quarantines and the rollout leader that a full read of the store no longer contains. */
function removeUnpublished(world: ForwardWorld, tick: ForwardTick, changes: PublishedChanges): void {
    const { targets, members, node, quarantine, usageSurges } = world.tables;
    const undecodableKeys = changes.undecodable.map(({ key }) => key);
    const names = new Set(changes.targets.map(change => change.name));
    for (const name of targets.listNames().filter(registered => !names.has(registered))) {
        applyTarget(world, tick, { name, target: undefined }, { learnedFrom: "read", ...changes.position });
    }
    const keys = new Set([...changes.rows.map(row => row.key), ...undecodableKeys]);
    for (const vm of members.listVms().filter(member => !keys.has(`${memberPrefix}${member}`))) {
        if (isCopyOutdated(world, tick)) {
            members.missingUntil.set(vm, node.copyOutdatedUntil);
            world.timers.schedule({ name: "missingMember", at: node.copyOutdatedUntil, key: vm });
            continue;
        }
        applyFleetRow(world, tick, { key: `${memberPrefix}${vm}`, value: undefined, createRevision: 0 });
    }
    if (isCopyOutdated(world, tick)) {
        writeQuarantinesAgain(world, tick, keys);
    }
    for (
        const { part } of quarantine.list().filter(row => row.isStored && !keys.has(`${quarantinePrefix}${row.part}`))
    ) {
        applyFleetRow(world, tick, { key: `${quarantinePrefix}${part}`, value: undefined, createRevision: 0 });
    }
    for (const account of usageSurges.recorded.keys()) {
        if (!keys.has(`${surgePrefix}${account}`)) {
            usageSurges.recorded.delete(account);
        }
    }
    if (!keys.has(rolloutLeaderKey)) {
        node.rolloutLeadership.holder = undefined;
    }
}

/**
 * Writes: configuration, targets, departures, crashes, quarantine, members, rollouts (last orders), cached parts,
 * undecodable values, node (contact with the store, leader).
 * Effects: caller limits, closed targets, log lines.
 */
export function applyPublished(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    recordStoreFailures(world, tick);
    recordDelivered(world, tick);
    for (const changes of listValueReads(world, tick)) {
        applyChanges(world, tick, changes, { learnedFrom: "read", ...changes.position }, undefined);
    }
    for (const { changes, confirmedAt, transfer } of tick.events.list("publishedRead")) {
        recordReadPosition(world, tick, changes.position);
        recordStoreContact(world, tick, { confirmedAt });
        recordStoreTransfer(world, "read", transfer);
        applyChanges(world, tick, changes, { learnedFrom: "read", ...changes.position }, transfer);
        removeUnpublished(world, tick, changes);
        node.storeReadAt = tick.now;
        if (node.isStoreUnread) {
            node.isStoreUnread = false;
            node.storeFirstReadAt = tick.now;
        }
        else {
            logInfo(world.effects, "store:", "The whole store was read again.", { ...changes.position });
        }
    }
    for (const { changes, confirmedAt, transfer, reader } of tick.events.list("publishedChanged")) {
        recordStoreContact(world, tick, { confirmedAt, reader });
        recordStoreTransfer(world, "watch", transfer);
        const learnedFrom = reader ? "reader" : "watch";
        applyChanges(world, tick, changes, { learnedFrom, ...changes.position }, transfer);
    }
    removeMissingTargets(world, tick);
    removeMissingMembers(world, tick);
    confirmRegistrations(world, tick);
}
