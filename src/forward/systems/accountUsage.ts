/** Usage of accounts in the last window: this process's own, and what its peers told. Shared by systems. */
import type { AccountId, Millis } from "../../ids";
import type { ForwardAccount } from "../document";
import { computeAllowance } from "../policy/allowance";
import { createUsageWindow, updateUsageWindow, type UsageWindow } from "../policy/usageWindow";
import type { ForwardWorld } from "../world";

/** Time between two exchanges with one peer, for each peer: the cost of a process grows slower than the fleet. */
const everyMsForEach = 75;
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
        const left = Math.max(0, 1 - (now - peers.ownEarlier.toldAt) / quotaWindowMs);
        return (peers.ownEarlier.usage.get(account.id) ?? 0) * left;
    }
    const left = Math.max(0, 1 - (now - node.firstReadAt) / quotaWindowMs);
    return left === 0 ? 0 : computeShare(world, account) * left;
}

/** Tokens that this VM has used, its earlier run included. */
export const computeOwnTokens = (world: ForwardWorld, now: Millis, account: ForwardAccount): number =>
    getUsageWindow(world, now, account.id).total + computeEarlierTokens(world, now, account);

/** Tokens that the other processes have used. One that has not been heard may have used all of its share. */
export function computePeerTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const { peers, members } = world.tables;
    const staleMs = computePeerStaleMs(world);
    const share = computeShare(world, account);
    let tokens = 0;
    for (const { vm, heardAt, usage } of peers.rows.values()) {
        const known = usage.get(account.id) ?? 0;
        const isKnown = now - heardAt <= staleMs || !members.get(vm);
        tokens += isKnown ? known : Math.max(known, share);
    }
    const unknown = members.list().filter(({ vm }) => vm !== world.settings.vm && !peers.rows.has(vm));
    return tokens + unknown.length * share;
}
