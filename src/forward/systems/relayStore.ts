/**
 * Divides the reading of the store in a larger fleet: a few processes watch it and pass the changes on to the others,
 * so that the number of calls to the store grows by far less than the fleet. A process whose reader fails reads the
 * store itself until another reader answers.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type VmId } from "../../ids";
import type { ForwardTick } from "../events";
import { unknownEra } from "../ids";
import { chooseReader, listReaders } from "../policy/storeReaders";
import { computeWatchTiming } from "../policy/watchTiming";
import { isAtOrAfter, type RelayAnswer } from "../storeChanges";
import { computeStoreAgeMs } from "../tables/node";
import { computeLength, type RelayCall } from "../tables/storeRelay";
import type { ForwardWorld } from "../world";

/** Longest time for which a call for changes waits for one. */
const relayWaitMs = 1000;
/**
 * Age of the store's last confirmation from which on a reader passes nothing on. Together with the time-out of a call
 * to a reader that falls silent, it bounds by how much later a change is seen than with a watch of one's own.
 */
const maxRelayedAgeMs = 1500;
/** Time for which a reader that failed is not asked again. */
const readerBackOffMs = 5000;
/** Longer changes are read from the store: a reader would send them to dozens of processes over its link. */
const maxRelayedLength = 256 * 1024;
const maxPendingCalls = 1024;

/** Pause between two deliveries of changes to a process of a small fleet, which reads the store itself. */
const pauseMsPerProcess = 30;
const minPauseMs = 300;
const maxPauseMs = 1000;
/** Longest time from one confirmation by the store to the next for a reader; less than `maxRelayedAgeMs`. */
const maxReaderCycleMs = 1000;

function listLiveReaders(world: ForwardWorld): readonly VmId[] {
    const { members, storeRelay } = world.tables;
    if (storeRelay.readers?.membersRevision !== members.revision) {
        const live = members.list().filter(({ state }) => state === "live").map(({ vm }) => vm);
        storeRelay.readers = { membersRevision: members.revision, vms: listReaders(world.hasher, live) };
    }
    return storeRelay.readers.vms;
}

/**
 * Age of what this process passes on. The store holds a call until something changes, so an answer without changes is
 * written at the end of the wait. Counted from the beginning of the call, the state before each answer would be as old as
 * two waits, and an answer that is 0.1 s late would be too late.
 */
const computeRelayedAgeMs = ({ tables: { node, storeRelay } }: ForwardWorld, { now, wallNow }: ForwardTick): number =>
    computeStoreAgeMs(node, now, wallNow) - storeRelay.heldMs;

/** The answer to a call, or undefined while it waits for a change. */
function findAnswer(world: ForwardWorld, tick: ForwardTick, { after, answerAt }: RelayCall): RelayAnswer | undefined {
    const { node, storeRelay } = world.tables;
    const { history } = storeRelay;
    const ageMs = computeRelayedAgeMs(world, tick);
    if (storeRelay.source !== undefined) {
        return { kind: "unavailable", reason: "not_a_reader" };
    }
    if (storeRelay.isAnswerArriving) {
        // Over a slow link a large value takes seconds. The callers need it as well and can read it meanwhile.
        return { kind: "readStore" };
    }
    if (node.storeReachableSince === undefined || ageMs >= maxRelayedAgeMs) {
        return { kind: "unavailable", reason: "outdated" };
    }
    if (after.era > history.position.era) {
        return { kind: "unavailable", reason: "outdated" };
    }
    const isBeforeHistory = history.startRevision === undefined || after.revision < history.startRevision;
    const isOfLostHistory = after.era !== unknownEra && after.era < history.position.era;
    if (isOfLostHistory || isBeforeHistory) {
        return { kind: "readStore" };
    }
    const items = history.listAfter(after.revision);
    if (computeLength(items) > maxRelayedLength) {
        return { kind: "readStore" };
    }
    if (items.length === 0 && tick.now < answerAt) {
        return undefined;
    }
    return {
        kind: "changes",
        changes: {
            items,
            position: isAtOrAfter(after, history.position) ? after : history.position,
            confirmedAgeMs: ageMs,
            reachableMs: tick.now - node.storeReachableSince,
            rowsMayReturnMs: Math.max(0, node.rowsMayReturnUntil - tick.now),
        },
    };
}

/**
 * The store answers one call of this process after the other, so a failure ends the large answer. When it has arrived, its
 * contents are as old as its transfer; the next answer brings them up to date.
 */
function isAnswerArriving(world: ForwardWorld, tick: ForwardTick): boolean {
    const { events } = tick;
    const { storeRelay } = world.tables;
    const hasFailed = events.list("storeUnreachable").length > 0 || events.list("storeChangesSkipped").length > 0;
    const hasAnswer = events.list("publishedRead").length > 0 || events.list("publishedChanged").length > 0;
    const hasEnded = hasFailed || (hasAnswer && computeRelayedAgeMs(world, tick) < maxRelayedAgeMs);
    return !hasEnded && (storeRelay.isAnswerArriving || events.list("largeAnswerStarted").length > 0);
}

function recordChanges(world: ForwardWorld, tick: ForwardTick): void {
    const { storeRelay } = world.tables;
    const { history } = storeRelay;
    for (const { changes } of tick.events.list("publishedRead")) {
        history.restart(changes.position);
        storeRelay.heldMs = 0;
    }
    for (const { changes, heldMs = 0 } of tick.events.list("publishedChanged")) {
        history.add(changes.items, changes.position);
        storeRelay.heldMs = heldMs;
    }
    storeRelay.isAnswerArriving = isAnswerArriving(world, tick);
}

function answerCalls(world: ForwardWorld, tick: ForwardTick): void {
    const { calls, heldMs } = world.tables.storeRelay;
    for (const { call, after } of tick.events.list("relayCallReceived")) {
        const confirmedUntil = addMillis(world.tables.node.storeConfirmedAt, heldMs + maxRelayedAgeMs);
        const waitUntil = addMillis(tick.now, calls.size < maxPendingCalls ? relayWaitMs : 0);
        const answerAt = confirmedUntil < waitUntil ? confirmedUntil : waitUntil;
        calls.set(call, { call, after, answerAt });
        world.timers.schedule({ name: "relayCall", at: answerAt });
    }
    for (const row of calls.values()) {
        const answer = findAnswer(world, tick, row);
        if (answer) {
            calls.delete(row.call);
            world.effects.append({ kind: "answerRelayCall", call: row.call, answer });
        }
    }
}

/** The reader to ask; undefined when this process has to read the store itself. */
function findSource(world: ForwardWorld, tick: ForwardTick): VmId | undefined {
    const { members, node, storeRelay } = world.tables;
    const readers = listLiveReaders(world);
    const { vm } = world.settings;
    if (node.isStoreUnread || readers.includes(vm) || readers.length === members.countLive()) {
        return undefined;
    }
    const sound = readers.filter(reader => tick.now >= (storeRelay.failedUntil.get(reader) ?? 0));
    return chooseReader(world.hasher, vm, sound);
}

/** True when the source may have to change. */
function isSourceOutdated(world: ForwardWorld, tick: ForwardTick): boolean {
    const { members, storeRelay } = world.tables;
    return storeRelay.readers?.membersRevision !== members.revision
        || tick.events.list("relayFailed").length > 0
        || tick.due.has("storeReader");
}

function updateSource(world: ForwardWorld, tick: ForwardTick): void {
    const { members, storeRelay } = world.tables;
    if (!isSourceOutdated(world, tick)) {
        return;
    }
    const source = findSource(world, tick);
    const relay = source === undefined ? undefined : members.get(source)?.peerAddress;
    const hasRelays = listLiveReaders(world).length < members.countLive();
    const pauseMs = hasRelays
        ? minPauseMs
        : Math.min(maxPauseMs, Math.max(minPauseMs, pauseMsPerProcess * members.countLive()));
    const { drainMs, configurationMs } = world.settings.bounds;
    const { cycleMs, marginMs } = computeWatchTiming(Math.min(drainMs, configurationMs));
    const effect = {
        kind: "updateStoreSource",
        relay: source !== undefined && relay !== undefined ? { vm: source, address: relay } : undefined,
        pauseMs,
        cycleMs: hasRelays ? Math.min(maxReaderCycleMs, cycleMs) : cycleMs,
        marginMs,
    } as const;
    const requestedSource = JSON.stringify(effect);
    if (requestedSource === storeRelay.requestedSource) {
        return;
    }
    if (storeRelay.source !== source) {
        logInfo(world.effects, "store:", "The source of the store's changes changed.", {
            before: storeRelay.source ?? "store",
            after: source ?? "store",
            readers: listLiveReaders(world),
            members: members.countLive(),
        });
    }
    storeRelay.source = source;
    storeRelay.requestedSource = requestedSource;
    world.effects.append(effect);
}

function recordFailures(world: ForwardWorld, tick: ForwardTick): void {
    const { failedUntil } = world.tables.storeRelay;
    for (const { vm, message } of tick.events.list("relayFailed")) {
        logWarning(world.effects, "store:", "A store reader failed; the store is read directly.", { vm, message });
        failedUntil.set(vm, addMillis(tick.now, readerBackOffMs));
        world.timers.schedule({ name: "storeReader", at: addMillis(tick.now, readerBackOffMs) });
    }
    for (const [vm, until] of failedUntil) {
        if (tick.now >= until) {
            failedUntil.delete(vm);
        }
    }
}

/**
 * Reads: members, node. Writes: store relay.
 * Effects: answers to other processes, source of the store's changes, log lines.
 */
export function relayStore(world: ForwardWorld, tick: ForwardTick): void {
    recordChanges(world, tick);
    recordFailures(world, tick);
    updateSource(world, tick);
    answerCalls(world, tick);
}
