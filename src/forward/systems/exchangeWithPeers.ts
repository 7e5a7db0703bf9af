/** Exchanges usage, engine loads, published weights and cached parts with the other processes of the fleet. */
import { logInfo } from "../../effects";
import { addMillis, type Millis, type TargetId, toMillis } from "../../ids";
import type { ForwardAccount } from "../document";
import type { ForwardTick } from "../events";
import type { CachedPartKey } from "../ids";
import type { PeerState } from "../peers";
import { recordPublishTime } from "../tables/configuration";
import type { ForwardMemberRow } from "../tables/members";
import { createPeerRow, type PeerRow } from "../tables/peers";
import type { ForwardWorld } from "../world";
import { computeAssumedTokens, computeExchangeIntervalMs, computeOwnTokens, computePeerStaleMs } from "./accountUsage";
import { applyCrashReports, buildCrashReports } from "./crashReports";
import { applyEndedRunReports, buildEndedRunReports } from "./endedRunReports";
import { applyFailureReports, buildFailureReports, removeOutdatedFailures } from "./failureReports";
import { applyConfigurationReport, buildConfigurationReport } from "./followConfigurationCopies";
import { applyLoadReports, buildLoadReports } from "./loadReports";
import { applyLimitReports, buildLimitReports } from "./requestLimits";
import { applyServiceRolloutReports, buildServiceRolloutReports, findWaitingDecider } from "./serviceRolloutReports";
import { applyDepartureReports, buildDepartureReports } from "./targetDepartures";

/** Interval at which a group of peers is called. */
const exchangeStepMs = 100;
/** Number of newest versions of each model that are reported; older ones no longer matter to any engine. */
const maxReportedVersions = 4;

/**
 * Usage of the peer's run before its restart. It is reported until a whole window has passed since that run's last
 * state, because all of it may have been used at the end. Without a known previous run, the list is empty once this
 * process has run for a whole window, and undefined (unknown) before.
 */
function listPreviousRunUsage(world: ForwardWorld, tick: ForwardTick, peer: PeerRow | undefined): PeerState["earlier"] {
    const { quotaWindowMs } = world.settings.bounds;
    if (!peer?.previousRun) {
        return tick.now - world.tables.node.storeFirstReadAt > quotaWindowMs ? [] : undefined;
    }
    const { usage, lastStateAt } = peer.previousRun;
    return tick.now - lastStateAt > quotaWindowMs
        ? []
        : [...usage].map(([account, tokens]) => [account, Math.round(tokens)]);
}

function listUsage(
    world: ForwardWorld,
    tick: ForwardTick,
    computeTokens: (world: ForwardWorld, now: Millis, account: ForwardAccount) => number,
): PeerState["usage"] {
    const accounts = world.tables.configuration.document?.accounts.values() ?? [];
    return [...accounts].flatMap(account => {
        const tokens = account.rate > 0 ? Math.round(computeTokens(world, tick.now, account)) : 0;
        return tokens > 0 ? [[account.id, tokens] as const] : [];
    });
}

/** The newest published versions whose time of publication is known. */
function listPublishedWeights(world: ForwardWorld, tick: ForwardTick): PeerState["named"] {
    return [...world.tables.configuration.weights].flatMap(([model, versions]) =>
        versions
            .filter(({ isPublishTimeKnown }) => isPublishTimeKnown)
            .slice(-maxReportedVersions)
            .map(({ version, publishedAt }) => [model, version, Math.round(tick.now - publishedAt)] as const)
    );
}

/**
 * Records versions that a peer reports. The earliest reported time of publication is the most accurate: a process that
 * was suspended reports too small an age, because its monotonic clock stopped. The store does not show replaced
 * versions to a process that starts, and a process that cannot reach the store gets new versions from peers only.
 */
function applyPublishedWeights(world: ForwardWorld, tick: ForwardTick, { named, vm }: PeerState): void {
    for (const [model, version, ageMs] of named) {
        const published = { version, publishedAt: addMillis(tick.now, -ageMs) };
        if (recordPublishTime(world.tables.configuration, model, published)) {
            logInfo(world.effects, "peer:", "A peer reported newly published weights.", {
                model,
                version,
                ageMs,
                peer: vm,
            });
        }
    }
}

/** Maximum number of changes of cached parts in one state message. If the peer lacks more, only the newest are sent. */
const maxPartChanges = 600;

/**
 * Changes of cached parts that the peer has not acknowledged, by target. Targets without changes are included, which
 * tells the peer that this process still follows them.
 */
function listPartChanges(world: ForwardWorld, acknowledged: number): PeerState["parts"] {
    const { followers, journal } = world.tables.cachedParts;
    const byTarget = new Map<TargetId, (readonly [CachedPartKey | "", number])[]>();
    for (const [target, { isSharedWithPeers }] of followers) {
        if (isSharedWithPeers) {
            byTarget.set(target, []);
        }
    }
    for (const { target, part, tokens } of journal.listAfter(acknowledged).slice(-maxPartChanges)) {
        const changes = byTarget.get(target) ?? [];
        byTarget.set(target, changes);
        changes.push([part ?? "", tokens]);
    }
    return [...byTarget];
}

/**
 * Applies changes of cached parts that a peer reports. Targets that this process follows itself are skipped, since its
 * own data is more recent, and so are unregistered ones, whose rows would never be removed.
 */
function applyParts(world: ForwardWorld, tick: ForwardTick, { parts }: PeerState): void {
    const { configuration, cachedParts, targets } = world.tables;
    for (const [target, changes] of parts) {
        const isPartStore = configuration.document?.partStores.some(({ id }) => id === target) === true;
        const isRegistered = targets.get(target) !== undefined || isPartStore;
        if (!isRegistered || cachedParts.followers.has(target)) {
            continue;
        }
        cachedParts.peerReportedAt.set(target, tick.now);
        for (const [part, tokens] of changes) {
            if (part === "") {
                cachedParts.removeTarget(target);
            }
            else {
                cachedParts.update(target, part, tokens);
            }
        }
    }
}

function buildState(world: ForwardWorld, tick: ForwardTick, peer: PeerRow | undefined): PeerState {
    const assumedUsage = listUsage(world, tick, computeAssumedTokens);
    return {
        vm: world.settings.vm,
        startedAt: world.startedAt,
        usage: listUsage(world, tick, computeOwnTokens),
        ...(assumedUsage.length > 0 ? { assumedUsage } : {}),
        knownStart: peer?.startedAt ?? 0,
        earlier: listPreviousRunUsage(world, tick, peer),
        ...buildEndedRunReports(world, tick, peer),
        named: listPublishedWeights(world, tick),
        ...buildLoadReports(world),
        partsHeard: peer?.receivedPartChange ?? 0,
        partsTold: world.tables.cachedParts.journal.newestNumber,
        parts: listPartChanges(world, peer?.acknowledgedPartChange ?? 0),
        ...buildCrashReports(world, tick),
        ...buildLimitReports(world, tick),
        ...buildDepartureReports(world, tick),
        ...buildFailureReports(world, tick),
        ...buildServiceRolloutReports(world),
        ...buildConfigurationReport(world),
    };
}

function applyState(world: ForwardWorld, tick: ForwardTick, state: PeerState): void {
    const { peers } = world.tables;
    if (peers.apply(state, tick.now, world.settings.bounds.quotaWindowMs)) {
        applyLoadReports(world, tick, state);
    }
    applyEndedRunReports(world, tick, state);
    applyPublishedWeights(world, tick, state);
    applyParts(world, tick, state);
    applyCrashReports(world, tick, state);
    applyLimitReports(world, tick, state);
    applyDepartureReports(world, tick, state);
    applyFailureReports(world, tick, state);
    applyServiceRolloutReports(world, tick, state);
    applyConfigurationReport(world, tick, state);
    // `knownStart` differs when the peer has not noticed the restart yet; its report is then about another run.
    if (state.earlier && state.knownStart === world.startedAt) {
        const isFirst = !peers.ownPreviousRun;
        peers.applyOwnPreviousRun(state.earlier, tick.now);
        if (isFirst) {
            logInfo(world.effects, "peer:", "A peer reported the usage of this VM before its restart.", {
                peer: state.vm,
                accounts: state.earlier.length,
            });
        }
    }
}

function addPeer(world: ForwardWorld, tick: ForwardTick, { vm }: ForwardMemberRow): PeerRow {
    const row = createPeerRow(vm, addMillis(tick.now, -computePeerStaleMs(world)));
    world.tables.peers.rows.set(vm, row);
    return row;
}

/** Of two processes, the one whose name sorts first calls the other; the call and the answer carry both states. */
function listPolledPeers(
    world: ForwardWorld,
    tick: ForwardTick,
): { readonly member: ForwardMemberRow; row: PeerRow; }[] {
    const { members, peers } = world.tables;
    return members.list()
        .filter(({ vm }) => vm > world.settings.vm)
        .map(member => ({ member, row: peers.rows.get(member.vm) ?? addPeer(world, tick, member) }));
}

/** Calls a few peers at a time, so that their reports differ in age and no burst of calls delays streams. */
function requestStates(world: ForwardWorld, tick: ForwardTick): void {
    const { peers } = world.tables;
    const intervalMs = computeExchangeIntervalMs(world);
    const polled = listPolledPeers(world, tick);
    const due = polled.filter(({ row }) => !row.isPending && tick.now - row.stateRequestedAt >= intervalMs)
        .sort((left, right) => left.row.stateRequestedAt - right.row.stateRequestedAt);
    for (const { member, row } of due.slice(0, Math.ceil(polled.length * exchangeStepMs / intervalMs))) {
        requestState(world, tick, member, row);
    }
    const waiting = findWaitingDecider(world, tick);
    const row = waiting && (peers.rows.get(waiting.vm) ?? addPeer(world, tick, waiting));
    if (row && !row.isPending) {
        requestState(world, tick, waiting, row);
    }
}

function requestState(world: ForwardWorld, tick: ForwardTick, member: ForwardMemberRow, row: PeerRow): void {
    row.isPending = true;
    row.stateRequestedAt = tick.now;
    const state = buildState(world, tick, row);
    world.effects.append({ kind: "callPeer", vm: member.vm, address: member.peerAddress, state });
}

/** Removes peers that have left the fleet once their usage has left the window. */
function removeExpiredPeers(world: ForwardWorld, tick: ForwardTick): void {
    const { members, peers } = world.tables;
    for (const [vm, row] of peers.rows) {
        if (!members.get(vm) && tick.now - row.stateReceivedAt > world.settings.bounds.quotaWindowMs) {
            peers.rows.delete(vm);
        }
    }
}

/**
 * Reads: members, usage windows. Writes: peers, peer loads, target outcomes, configuration (published weights), cached
 * parts, departures, targets, service rollouts.
 * Effects: calls and answers to peers, log lines.
 */
export function exchangeWithPeers(world: ForwardWorld, tick: ForwardTick): void {
    const { peers } = world.tables;
    for (const { call, state } of tick.events.list("peerCallReceived")) {
        applyState(world, tick, state);
        const ownState = buildState(world, tick, peers.rows.get(state.vm));
        world.effects.append({ kind: "answerPeer", call, state: ownState });
    }
    for (const { vm, result } of tick.events.list("peerReplied")) {
        const knownStart = peers.rows.get(vm)?.startedAt;
        if (result.ok) {
            applyState(world, tick, result.val);
        }
        const row = peers.rows.get(vm);
        if (row) {
            row.isPending = false;
            if (row.startedAt !== knownStart) {
                // A process that has just started needs the usage of its previous run, which the last call lacked.
                row.stateRequestedAt = toMillis(0);
            }
        }
    }
    if (tick.due.has("exchange") || tick.number === 1) {
        requestStates(world, tick);
        removeExpiredPeers(world, tick);
        removeOutdatedFailures(world, tick);
        world.timers.schedule({ name: "exchange", at: addMillis(tick.now, exchangeStepMs) });
    }
}
