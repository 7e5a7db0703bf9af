/** Exchanges usage, work at engines, ages of weights and held parts with the other processes of the fleet. */
import { logInfo } from "../../effects";
import { addMillis, type TargetId, toMillis } from "../../ids";
import type { ForwardTick } from "../events";
import type { CachedPartKey } from "../ids";
import type { PeerState } from "../peers";
import { recordNaming } from "../tables/configuration";
import type { ForwardMemberRow } from "../tables/members";
import type { PeerRow } from "../tables/peers";
import type { ForwardWorld } from "../world";
import { computeExchangeEveryMs, computeOwnTokens, computePeerStaleMs } from "./accountUsage";

/** Time between two groups of peers that are asked. */
const stepMs = 100;
/** Versions of each model that are told; older ones matter to no engine any more. */
const toldVersions = 4;

/**
 * What a peer's earlier run had used, until all of it has left the window: it may have been used last. A process
 * that has run for a window without hearing of an earlier run knows that there was none.
 */
function listEarlier(world: ForwardWorld, tick: ForwardTick, peer: PeerRow | undefined): PeerState["earlier"] {
    const { quotaWindowMs } = world.settings.bounds;
    if (!peer?.earlier) {
        return tick.now - world.tables.node.firstReadAt > quotaWindowMs ? [] : undefined;
    }
    const { usage, heardAt } = peer.earlier;
    return tick.now - heardAt > quotaWindowMs
        ? []
        : [...usage].map(([account, tokens]) => [account, Math.round(tokens)]);
}

function listUsage(world: ForwardWorld, tick: ForwardTick): PeerState["usage"] {
    const accounts = world.tables.configuration.document?.accounts.values() ?? [];
    return [...accounts].flatMap(account => {
        const tokens = account.rate > 0 ? Math.round(computeOwnTokens(world, tick.now, account)) : 0;
        return tokens > 0 ? [[account.id, tokens] as const] : [];
    });
}

/** The newest versions that this process saw being named. */
function listNamed(world: ForwardWorld, tick: ForwardTick): PeerState["named"] {
    return [...world.tables.configuration.weights].flatMap(([model, versions]) =>
        versions
            .filter(({ isSeen }) => isSeen)
            .slice(-toldVersions)
            .map(({ version, namedAt }) => [model, version, Math.round(tick.now - namedAt)] as const)
    );
}

/**
 * The earliest naming that any process saw is the nearest to the truth: one that was suspended meanwhile counts too
 * little time since then, as its monotonic clock stood still. A process that has started does not find versions in the
 * store that were replaced before, and one that the store does not answer learns of new versions from peers alone.
 */
function applyNamed(world: ForwardWorld, tick: ForwardTick, { named, vm }: PeerState): void {
    for (const [model, version, ageMs] of named) {
        const naming = { version, namedAt: addMillis(tick.now, -ageMs) };
        if (recordNaming(world.tables.configuration, model, naming)) {
            logInfo(world.effects, "peer:", "A peer told of named weights.", { model, version, ageMs, peer: vm });
        }
    }
}

/** Changes of held parts in one state; a peer that lacks more gets the newest. */
const mostChanges = 600;

/** Changes of held parts that the peer lacks, by target. Targets without a change are named too, as known. */
function listPartChanges(world: ForwardWorld, acknowledged: number): PeerState["parts"] {
    const { followers, journal } = world.tables.heldParts;
    const byTarget = new Map<TargetId, (readonly [CachedPartKey | "", number])[]>();
    for (const [target, { isForAll }] of followers) {
        if (isForAll) {
            byTarget.set(target, []);
        }
    }
    for (const { target, part, tokens } of journal.listAfter(acknowledged).slice(-mostChanges)) {
        const changes = byTarget.get(target) ?? [];
        byTarget.set(target, changes);
        changes.push([part ?? "", tokens]);
    }
    return [...byTarget];
}

/**
 * A target that this process follows by itself is known better than it is told. One that is not registered is gone,
 * and what was told of it would never be dropped.
 */
function applyParts(world: ForwardWorld, tick: ForwardTick, { parts }: PeerState): void {
    const { configuration, heldParts, targets } = world.tables;
    for (const [target, changes] of parts) {
        const isRegistered = targets.get(target) !== undefined || configuration.getPartStore()?.id === target;
        if (!isRegistered || heldParts.followers.has(target)) {
            continue;
        }
        heldParts.toldAt.set(target, tick.now);
        for (const [part, tokens] of changes) {
            if (part === "") {
                heldParts.removeTarget(target);
            }
            else {
                heldParts.update(target, part, tokens);
            }
        }
    }
}

function buildState(world: ForwardWorld, tick: ForwardTick, peer: PeerRow | undefined): PeerState {
    const { targets } = world.tables;
    const load: PeerState["load"][number][] = [];
    for (const { registration, work } of targets.list()) {
        if (work.size > 0) {
            let queued = 0;
            for (const { hasAnswered, missedTokens } of work.values()) {
                queued += hasAnswered ? 0 : missedTokens;
            }
            load.push([registration.id, queued, work.size]);
        }
    }
    return {
        vm: world.settings.vm,
        startedAt: world.startedAt,
        usage: listUsage(world, tick),
        knownStart: peer?.startedAt ?? 0,
        earlier: listEarlier(world, tick, peer),
        named: listNamed(world, tick),
        load,
        partsHeard: peer?.partsHeard ?? 0,
        partsTold: world.tables.heldParts.journal.newest,
        parts: listPartChanges(world, peer?.partsAcknowledged ?? 0),
    };
}

function applyState(world: ForwardWorld, tick: ForwardTick, state: PeerState): void {
    const { peers } = world.tables;
    peers.apply(state, tick.now);
    applyNamed(world, tick, state);
    applyParts(world, tick, state);
    // A peer that has not noticed the restart yet speaks of the run before.
    if (state.earlier && state.knownStart === world.startedAt && !peers.ownEarlier) {
        peers.ownEarlier = { usage: new Map(state.earlier), toldAt: tick.now };
        logInfo(world.effects, "peer:", "A peer told what this VM had used before the restart.", {
            peer: state.vm,
            accounts: state.earlier.length,
        });
    }
}

function addPeer(world: ForwardWorld, tick: ForwardTick, { vm }: ForwardMemberRow): PeerRow {
    const row: PeerRow = {
        vm,
        startedAt: 0,
        heardAt: addMillis(tick.now, -computePeerStaleMs(world)),
        usage: new Map(),
        growth: new Map(),
        load: new Map(),
        earlier: undefined,
        isPending: false,
        partsHeard: 0,
        partsAcknowledged: 0,
        askedAt: toMillis(0),
    };
    world.tables.peers.rows.set(vm, row);
    return row;
}

/** One of two processes asks and the other one's answer carries its state; names decide which. */
function listAsked(world: ForwardWorld, tick: ForwardTick): { readonly member: ForwardMemberRow; row: PeerRow; }[] {
    const { members, peers } = world.tables;
    return members.list()
        .filter(({ vm }) => vm > world.settings.vm)
        .map(member => ({ member, row: peers.rows.get(member.vm) ?? addPeer(world, tick, member) }));
}

/** Asks a few peers at a time: what is told then has all ages, and no burst of calls holds up streams. */
function requestStates(world: ForwardWorld, tick: ForwardTick): void {
    const everyMs = computeExchangeEveryMs(world);
    const asked = listAsked(world, tick);
    const due = asked.filter(({ row }) => !row.isPending && tick.now - row.askedAt >= everyMs)
        .sort((left, right) => left.row.askedAt - right.row.askedAt);
    for (const { member, row } of due.slice(0, Math.ceil(asked.length * stepMs / everyMs))) {
        row.isPending = true;
        row.askedAt = tick.now;
        const state = buildState(world, tick, row);
        world.effects.append({ kind: "askPeer", vm: member.vm, address: member.peerAddress, state });
    }
}

/** A process that has left counts until its usage has left the window. */
function removeOld(world: ForwardWorld, tick: ForwardTick): void {
    const { members, peers } = world.tables;
    for (const [vm, row] of peers.rows) {
        if (!members.get(vm) && tick.now - row.heardAt > world.settings.bounds.quotaWindowMs) {
            peers.rows.delete(vm);
        }
    }
}

/**
 * Reads: members, shares, targets. Writes: peers.
 * Effects: calls and answers to peers, log lines.
 */
export function exchangeWithPeers(world: ForwardWorld, tick: ForwardTick): void {
    const { peers } = world.tables;
    for (const { call, state } of tick.events.list("peerAsked")) {
        applyState(world, tick, state);
        const own = buildState(world, tick, peers.rows.get(state.vm));
        world.effects.append({ kind: "answerPeer", call, state: own });
    }
    for (const { vm, result } of tick.events.list("peerReplied")) {
        if (result.ok) {
            applyState(world, tick, result.val);
        }
        const row = peers.rows.get(vm);
        if (row) {
            row.isPending = false;
        }
    }
    if (tick.due.has("exchange") || tick.number === 1) {
        requestStates(world, tick);
        removeOld(world, tick);
        world.timers.schedule({ name: "exchange", at: addMillis(tick.now, stepMs) });
    }
}
