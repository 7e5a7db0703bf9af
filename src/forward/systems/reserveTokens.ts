/** Limits of accounts: tokens used in the last window over the whole fleet. */
import type { AccountId, Millis } from "../../ids";
import type { ForwardAccount } from "../document";
import { computeAllowance } from "../policy/allowance";
import {
    addUsage,
    computeUsageWait,
    createUsageWindow,
    updateUsageWindow,
    type UsageWindow,
} from "../policy/usageWindow";
import type { ForwardWorld } from "../world";
import { computePeerStaleMs } from "./exchangeWithPeers";

/** Part of its share that a process takes as used by the run before it, until a peer says how much it was. */
const earlierUsage = 0.75;
/** Part of what this process used in the newest slots that each peer is taken to have used without telling yet. */
const untoldFraction = 0.5;
/** A process that the store has not answered for this long may be counted as gone by the others. */
const outOfTouchMs = 4000;
/** Part of its share that a process uses while it is out of touch and hears no peer. */
const outOfTouchFraction = 0.5;

/** Usage of other processes leaves the window at times that are not known here; callers ask again by then. */
const longestWaitMs = 1000;

/** What an account that is refused had used, in tokens. */
export interface UsedUp {
    readonly ownTokens: number;
    readonly peerTokens: number;
    readonly earlierTokens: number;
    readonly allowedTokens: number;
    readonly members: number;
    /** Time until the account has tokens again. */
    readonly waitMs: number;
}

/** What the run before this one may have used and what is still in the window. */
function computeEarlierTokens(world: ForwardWorld, now: Millis, account: AccountId, share: number): number {
    const { node, peers } = world.tables;
    const { quotaWindowMs } = world.settings.bounds;
    if (peers.ownEarlier) {
        const left = Math.max(0, 1 - (now - peers.ownEarlier.toldAt) / quotaWindowMs);
        return (peers.ownEarlier.usage.get(account) ?? 0) * left;
    }
    return share * earlierUsage * Math.max(0, 1 - (now - node.firstReadAt) / quotaWindowMs);
}

/** What the other processes have used. One that has not been heard may have used all of its share. */
function computePeerTokens(world: ForwardWorld, now: Millis, account: AccountId, share: number): number {
    const { peers, members } = world.tables;
    const staleMs = computePeerStaleMs(world);
    let tokens = 0;
    for (const { vm, heardAt, usage, earlier } of peers.rows.values()) {
        const known = usage.get(account) ?? 0;
        const before = earlier?.usage.get(account) ?? 0;
        const decay = Math.max(0, 1 - (now - (earlier?.heardAt ?? now)) / world.settings.bounds.quotaWindowMs);
        const isHeard = now - heardAt <= staleMs;
        tokens += before * decay + (isHeard || !members.get(vm) ? known : Math.max(known, share));
    }
    const unknown = members.list().filter(({ vm }) => vm !== world.settings.vm && !peers.rows.has(vm));
    return tokens + unknown.length * share;
}

/** Tokens that this process alone used in the newest slots; its peers may have used as much since they last told. */
const computeUntoldTokens = (usage: UsageWindow, members: number): number =>
    (usage.slots[usage.newest % usage.slots.length] ?? 0) * (members - 1) * untoldFraction;

function isCutOff(world: ForwardWorld, now: Millis): boolean {
    const { node, peers } = world.tables;
    const staleMs = computePeerStaleMs(world);
    return now - node.storeHeardAt > outOfTouchMs
        && [...peers.rows.values()].every(peer => now - peer.heardAt > staleMs);
}

/** Takes the tokens of the request, unless the account has used up what it is allowed. */
export function reserveTokens(
    world: ForwardWorld,
    now: Millis,
    account: ForwardAccount,
    tokens: number,
): UsedUp | undefined {
    const { shares } = world.tables;
    const { quotaWindowMs, quotaOverage, quotaSlackTokens } = world.settings.bounds;
    if (account.rate <= 0 || tokens === 0) {
        return undefined;
    }
    const allowed = computeAllowance({
        rate: account.rate,
        burst: account.burst,
        windowMs: quotaWindowMs,
        overage: quotaOverage,
        slackTokens: quotaSlackTokens,
    });
    const members = Math.max(1, world.tables.members.countLive());
    const share = allowed / members;
    const usage = shares.rows.get(account.id) ?? createUsageWindow({ windowMs: quotaWindowMs, now });
    shares.rows.set(account.id, usage);
    updateUsageWindow(usage, now);
    const earlierTokens = computeEarlierTokens(world, now, account.id, share);
    const isAlone = isCutOff(world, now);
    const peerTokens = isAlone ? 0 : computePeerTokens(world, now, account.id, share);
    const limit = isAlone ? share * outOfTouchFraction : allowed;
    const used = usage.total + earlierTokens + peerTokens + computeUntoldTokens(usage, members);
    // A request that is larger than what is left may go beyond the allowance once.
    if (used < limit) {
        addUsage(usage, tokens);
        return undefined;
    }
    return {
        ownTokens: Math.round(usage.total),
        peerTokens: Math.round(peerTokens),
        earlierTokens: Math.round(earlierTokens),
        allowedTokens: Math.round(limit),
        members,
        waitMs: Math.min(longestWaitMs, computeUsageWait(usage, (used - limit) / members)),
    };
}
