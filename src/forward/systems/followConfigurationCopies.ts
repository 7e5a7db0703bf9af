/**
 * Gets configurations from other processes while the store's own answer is late, and hands this process's configuration on.
 * A configuration of the largest size takes 1.5 s over the slowest link, and a second transfer would be over the bound;
 * compressed it takes a fraction of that.
 */
import { logInfo } from "../../effects";
import { addMillis, type Millis, type VmId } from "../../ids";
import { listByRendezvous } from "../../policy/rendezvous";
import type { CopyOutcome, ForwardTick } from "../events";
import { unknownEra } from "../ids";
import type { PeerState } from "../peers";
import { isAfter, type PackedCopy, type StorePosition } from "../storeChanges";
import { type CopyCall, isNewerThanOwn, recordReport } from "../tables/configurationCopies";
import type { ForwardMemberRow } from "../tables/members";
import type { ForwardWorld } from "../world";
import { applyDocument } from "./applyDocument";
import { recordConfiguration } from "./checkConfigurations";
import { settleOutdatedConfigurations } from "./readValuesAgain";

/** Longest time for which a call waits for a newer configuration. */
const copyWaitMs = 1000;
const maxWaitingCalls = 256;
/** Processes that are asked at once; each answer may have 0.5 MB. */
const maxPendingRequests = 2;
/** Time that a large answer of the store is given before others are asked; over fast links it has arrived by then. */
const arrivingDelayMs = 100;
/** Time that the store's own answer is given once another process has a newer configuration; covers a pause of the feed. */
const behindDelayMs = 500;
/** Time for which a process is not asked again that had no newer configuration, or that failed. */
const absentBackOffMs = 200;
const failedBackOffMs = 5000;
/** Interval of the checks while every process that could be asked is being asked or has failed. */
const checkIntervalMs = 100;

/** Why a newer configuration is asked for. */
type CopyReason = "damaged" | "lost" | "arriving" | "behind";

/** Position before all others, of a process that has no configuration. */
const noPosition: StorePosition = { era: unknownEra, revision: 0 };

function hasDamagedConfiguration({ tables }: ForwardWorld): boolean {
    return [...tables.undecodableValues.rows.values()].some(({ value }) => value.kind === "configuration");
}

/** Time from which on each reason calls for a copy; undefined while it does not hold. */
const reasons: { readonly [Reason in CopyReason]: (world: ForwardWorld, tick: ForwardTick) => Millis | undefined; } = {
    damaged: (world, { now }) => hasDamagedConfiguration(world) ? now : undefined,
    lost: ({ tables }, { now }) => tables.configurationCopies.isAnswerLost ? now : undefined,
    behind: ({ tables }) => {
        const { reported } = tables.configurationCopies;
        const delayMs = tables.node.storeReachableSince === undefined ? 0 : behindDelayMs;
        return reported && addMillis(reported.since, delayMs);
    },
    arriving: ({ tables }) => {
        const { arrivingSince } = tables.configurationCopies;
        return arrivingSince === undefined ? undefined : addMillis(arrivingSince, arrivingDelayMs);
    },
};

/** The reason that holds first, with the time from which on it does. */
function findReason(
    world: ForwardWorld,
    tick: ForwardTick,
): { readonly reason: CopyReason; readonly at: Millis; } | undefined {
    const found = (Object.keys(reasons) as CopyReason[]).flatMap(reason => {
        const at = reasons[reason](world, tick);
        return at === undefined ? [] : [{ reason, at }];
    });
    return found.sort((left, right) => left.at - right.at)[0];
}

/** Follows the large answers of the store, which are on their way until something of the store arrives or fails. */
function followLargeAnswers(world: ForwardWorld, { events, now }: ForwardTick): void {
    const { configurationCopies: table } = world.tables;
    const hasFailed = events.list("storeUnreachable").length > 0 || events.list("storeChangesSkipped").length > 0;
    const hasChanged = events.list("publishedChanged").some(({ reader }) => reader === undefined);
    const hasArrived = hasChanged || events.list("publishedRead").length > 0;
    if (hasArrived) {
        table.arrivingSince = undefined;
        table.isAnswerLost = false;
    }
    if (hasFailed) {
        table.isAnswerLost ||= table.arrivingSince !== undefined;
        table.arrivingSince = undefined;
    }
    if (events.list("largeAnswerStarted").length > 0 && !hasFailed && !hasArrived) {
        table.arrivingSince ??= now;
    }
}

type OutcomeHandlers = {
    readonly [Kind in CopyOutcome["kind"]]: (
        world: ForwardWorld,
        tick: ForwardTick,
        vm: VmId,
        outcome: Extract<CopyOutcome, { readonly kind: Kind; }>,
    ) => void;
};

const outcomeHandlers: OutcomeHandlers = {
    found: (world, _tick, vm, { changes, packedLength }) => {
        const { configurationCopies: table } = world.tables;
        const { position } = changes;
        if (isNewerThanOwn(table, position)) {
            applyDocument(world, changes, { learnedFrom: "copy", vm, packedLength, ...position }, undefined);
        }
        if (isNewerThanOwn(table, position)) {
            // Its version is lower: the operator's newest one was lost with a part of the store's history.
            table.ignoredUpTo = position;
            table.reported = undefined;
        }
    },
    absent: ({ tables }, { now }, vm) => {
        tables.configurationCopies.notBefore.set(vm, addMillis(now, absentBackOffMs));
    },
    failed: (world, { now }, vm, { message }) => {
        world.tables.configurationCopies.notBefore.set(vm, addMillis(now, failedBackOffMs));
        logInfo(world.effects, "config:", "Another process gave no configuration.", { vm, message });
    },
};

function handleCopies(world: ForwardWorld, tick: ForwardTick): void {
    const { configurationCopies: table } = world.tables;
    for (const { vm, outcome } of tick.events.list("copyReceived")) {
        table.pending.delete(vm);
        const handle = outcomeHandlers[outcome.kind] as OutcomeHandlers["failed"];
        handle(world, tick, vm, outcome as Extract<CopyOutcome, { readonly kind: "failed"; }>);
    }
    for (const [vm, until] of table.notBefore) {
        if (tick.now >= until) {
            table.notBefore.delete(vm);
        }
    }
}

/** Processes that may be asked; those that have reported a newer configuration come first, the others in random order. */
function listCandidates(world: ForwardWorld, reason: CopyReason): readonly ForwardMemberRow[] {
    const { configurationCopies: table, members } = world.tables;
    const { pending, notBefore, reported } = table;
    const free = members.list().filter(({ vm }) => vm !== world.settings.vm && !pending.has(vm) && !notBefore.has(vm));
    const informed = free.filter(({ vm }) => reported?.vms.has(vm) === true);
    if (reason === "behind") {
        return informed;
    }
    const order = listByRendezvous(world.hasher, String(world.random()), free.map(({ vm }) => vm));
    const others = order.flatMap(vm => members.get(vm) ?? []).filter(({ vm }) => reported?.vms.has(vm) !== true);
    return [...informed, ...others];
}

function scheduleCheck(world: ForwardWorld, { now }: ForwardTick, at: Millis): void {
    const { configurationCopies: table } = world.tables;
    if (table.checkAt === undefined || table.checkAt <= now || at < table.checkAt) {
        table.checkAt = at;
        world.timers.schedule({ name: "copyRequest", at });
    }
}

/** Asks other processes while there is a reason to. */
function requestCopies(world: ForwardWorld, tick: ForwardTick): void {
    const { configurationCopies: table } = world.tables;
    const found = findReason(world, tick);
    if (!found) {
        return;
    }
    const { reason, at } = found;
    if (at > tick.now) {
        scheduleCheck(world, tick, at);
        return;
    }
    const freeRequests = maxPendingRequests - table.pending.size;
    if (freeRequests <= 0) {
        return;
    }
    const after = table.own?.position ?? noPosition;
    const asked = listCandidates(world, reason).slice(0, freeRequests);
    for (const { vm, peerAddress: address } of asked) {
        table.pending.add(vm);
        world.effects.append({ kind: "requestCopy", vm, address, after });
        logInfo(world.effects, "config:", "Another process is asked for a newer configuration.", {
            vm,
            reason,
            ...after,
        });
    }
    if (asked.length < freeRequests) {
        scheduleCheck(world, tick, addMillis(tick.now, checkIntervalMs));
    }
}

/** The copy that answers the call; undefined while there is none. */
function findCopy(world: ForwardWorld, { after }: CopyCall): PackedCopy | undefined {
    const { own } = world.tables.configurationCopies;
    if (own?.packed === undefined || !isAfter(own.position, after)) {
        return undefined;
    }
    const { position, fingerprint, packed } = own;
    return { position, fingerprint, packed };
}

function answerCalls(world: ForwardWorld, tick: ForwardTick): void {
    const { calls } = world.tables.configurationCopies;
    for (const { call, after } of tick.events.list("copyCallReceived")) {
        const answerAt = addMillis(tick.now, calls.size < maxWaitingCalls ? copyWaitMs : 0);
        calls.set(call, { call, after, answerAt });
        world.timers.schedule({ name: "copyCall", at: answerAt });
    }
    for (const row of calls.values()) {
        const copy = findCopy(world, row);
        if (copy || tick.now >= row.answerAt) {
            calls.delete(row.call);
            const answer = copy ? { kind: "copy" as const, copy } : { kind: "absent" as const };
            world.effects.append({ kind: "answerCopyCall", call: row.call, answer });
        }
    }
}

function updateGauge(world: ForwardWorld): void {
    const { configurationCopies: table } = world.tables;
    const isBehind = table.reported !== undefined || hasDamagedConfiguration(world);
    if (isBehind !== table.isBehind) {
        table.isBehind = isBehind;
        world.effects.append({ kind: "updateGauge", name: "configuration_behind", value: isBehind ? 1 : 0 });
    }
}

/** Position and fingerprint of the configuration of this process, for other processes. */
export function buildConfigurationReport(world: ForwardWorld): Pick<PeerState, "configuration"> {
    const { own } = world.tables.configurationCopies;
    return own ? { configuration: { ...own.position, fingerprint: own.fingerprint } } : {};
}

/** Records which configuration a peer has. */
export function applyConfigurationReport(
    world: ForwardWorld,
    tick: ForwardTick,
    { vm, configuration }: Pick<PeerState, "vm" | "configuration">,
): void {
    if (configuration) {
        const { era, revision, fingerprint } = configuration;
        const position = { era, revision };
        recordReport(world.tables.configurationCopies, { vm, position, now: tick.now });
        recordConfiguration(world, tick, { vm, position, fingerprint });
    }
}

/**
 * Reads: members, node, undecodable values. Writes: configuration, configuration copies, undecodable values.
 * Effects: calls and answers to other processes, caller limits, log lines, gauges.
 */
export function followConfigurationCopies(world: ForwardWorld, tick: ForwardTick): void {
    followLargeAnswers(world, tick);
    handleCopies(world, tick);
    settleOutdatedConfigurations(world, tick);
    requestCopies(world, tick);
    answerCalls(world, tick);
    updateGauge(world);
}
