/** Limits of accounts: tokens used in the last window over the whole fleet. */
import type { Millis } from "../../ids";
import type { ForwardAccount } from "../document";
import { addUsage, computeUsageWait } from "../policy/usageWindow";
import type { ForwardWorld } from "../world";
import {
    computeAllowedTokens,
    computeOwnTokens,
    computePeerStaleMs,
    computePeerTokens,
    computeShare,
    getUsageWindow,
} from "./accountUsage";

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
    readonly allowedTokens: number;
    readonly members: number;
    /** Time until the account has tokens again. */
    readonly waitMs: number;
}

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
    if (account.rate <= 0 || tokens === 0) {
        return undefined;
    }
    const members = Math.max(1, world.tables.members.countLive());
    const usage = getUsageWindow(world, now, account.id);
    const ownTokens = computeOwnTokens(world, now, account);
    const isAlone = isCutOff(world, now);
    const peerTokens = isAlone ? 0 : computePeerTokens(world, now, account);
    const allowedTokens = isAlone
        ? computeShare(world, account) * outOfTouchFraction
        : computeAllowedTokens(world, account);
    const used = ownTokens + peerTokens;
    // A request that is larger than what is left may go beyond the allowance once.
    if (used < allowedTokens) {
        addUsage(usage, tokens);
        return undefined;
    }
    return {
        ownTokens: Math.round(ownTokens),
        peerTokens: Math.round(peerTokens),
        allowedTokens: Math.round(allowedTokens),
        members,
        waitMs: Math.min(longestWaitMs, computeUsageWait(usage, (used - allowedTokens) / members)),
    };
}
