/** Usage of accounts in the last window: this process's own, and what its peers told. Shared by systems. */
import type { AccountId, Millis } from "../../ids";
import type { ForwardAccount } from "../document";
import { computeAllowance } from "../policy/allowance";
import { computeRecentUsage, createUsageWindow, updateUsageWindow, type UsageWindow } from "../policy/usageWindow";
import type { PeerRow } from "../tables/peers";
import type { ForwardWorld } from "../world";

/** Time between two exchanges with one peer, for each peer: the cost of a process grows slower than the fleet. */
const everyMsForEach = 50;
const shortestEveryMs = 300;
/** Exchanges without an answer after which a peer counts as unheard. */
const missedExchanges = 3;

export const computeExchangeEveryMs = (world: ForwardWorld): number =>
    Math.max(shortestEveryMs, everyMsForEach * world.tables.members.countLive());

/** A peer that was not heard for this long may have used all of its share. */
export const computePeerStaleMs = (world: ForwardWorld): number => missedExchanges * computeExchangeEveryMs(world);

/** Tokens that the whole fleet may use of the account in one window. */
export function computeAllowedTokens(world: ForwardWorld, { rate, burst }: ForwardAccount): number {
    const { quotaWindowMs, quotaOverage, quotaSlackTokens } = world.settings.bounds;
    return computeAllowance({
        rate,
        burst,
        windowMs: quotaWindowMs,
        overage: quotaOverage,
        slackTokens: quotaSlackTokens,
    });
}

/** The part of the allowance that falls to each process. */
export const computeShare = (world: ForwardWorld, account: ForwardAccount): number =>
    computeAllowedTokens(world, account) / Math.max(1, world.tables.members.countLive());

/** Window of an account, brought up to the given time. */
export function getUsageWindow(world: ForwardWorld, now: Millis, account: AccountId): UsageWindow {
    const { rows } = world.tables.shares;
    const window = rows.get(account) ?? createUsageWindow({ windowMs: world.settings.bounds.quotaWindowMs, now });
    rows.set(account, window);
    updateUsageWindow(window, now);
    return window;
}

/**
 * What the run before this one may have used and what of it is still in the window: all of its share, until a peer
 * says how much it was.
 */
function computeEarlierTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const { node, peers } = world.tables;
    const { quotaWindowMs } = world.settings.bounds;
    if (peers.ownEarlier) {
        const isOver = now - peers.ownEarlier.toldAt > quotaWindowMs;
        return isOver ? 0 : peers.ownEarlier.usage.get(account.id) ?? 0;
    }
    const left = Math.max(0, 1 - (now - node.firstReadAt) / quotaWindowMs);
    return left === 0 ? 0 : computeShare(world, account) * left;
}

/** Tokens that this VM has used, its earlier run included. */
export const computeOwnTokens = (world: ForwardWorld, now: Millis, account: ForwardAccount): number =>
    getUsageWindow(world, now, account.id).total + computeEarlierTokens(world, now, account);

/** Time that a told state is on its way. */
const transportMs = 60;
/** Part that the age of a told state is taken to be longer, for states that come late. */
const lateFraction = 0.2;
/** Up to this many peers, the own usage says what each of them uses; beyond, one request is too small a sample. */
const sampledPeers = 8;

/**
 * What peers have used since they told: as much as this process, or as what they told grew and leaves the window,
 * whichever is more.
 */
function computeUntoldTokens(world: ForwardWorld, now: Millis, account: AccountId, peers: readonly PeerRow[]): number {
    const own = getUsageWindow(world, now, account);
    const { quotaWindowMs } = world.settings.bounds;
    let asOwn = 0;
    let asTold = 0;
    for (const { growth, heardAt, usage } of peers) {
        const untoldMs = (now - heardAt) * (1 + lateFraction) + transportMs;
        asOwn += computeRecentUsage(own, now, untoldMs);
        asTold += Math.max(growth.get(account) ?? 0, (usage.get(account) ?? 0) / quotaWindowMs) * untoldMs;
    }
    return Math.max(asTold, asOwn * Math.min(1, sampledPeers / Math.max(1, peers.length)));
}

/** Tokens that the other processes have used. One that has not been heard may have used all of its share. */
export function computePeerTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const { peers, members } = world.tables;
    const staleMs = computePeerStaleMs(world);
    const share = computeShare(world, account);
    const heard: PeerRow[] = [];
    let tokens = 0;
    for (const peer of peers.rows.values()) {
        const known = peer.usage.get(account.id) ?? 0;
        if (!members.get(peer.vm)) {
            tokens += known;
        }
        else if (now - peer.heardAt > staleMs) {
            tokens += Math.max(known, share);
        }
        else {
            tokens += known;
            heard.push(peer);
        }
    }
    tokens += computeUntoldTokens(world, now, account.id, heard);
    const unknown = members.list().filter(({ vm }) => vm !== world.settings.vm && !peers.rows.has(vm));
    return tokens + unknown.length * share;
}
