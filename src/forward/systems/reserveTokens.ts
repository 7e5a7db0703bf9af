/** Rate limits of accounts: tokens used by the whole fleet in the last window. */
import type { Millis } from "../../ids";
import type { ForwardAccount } from "../document";
import { addUsage, computeUsageWait } from "../policy/usageWindow";
import type { ForwardWorld } from "../world";
import {
    computeAllowanceShare,
    computeAllowedTokens,
    computeOwnTokens,
    computePeerStaleMs,
    computePeerTokens,
    getUsageWindow,
} from "./accountUsage";

/** After this time without an answer of the store, other processes may no longer count this one as a member. */
const partitionedAfterMs = 4000;
/** Fraction of its share that a process uses while it reaches neither the store nor any peer. */
const partitionedFraction = 0.5;
/** Maximum retry delay; this process does not know when the usage of its peers leaves the window. */
const maxWaitMs = 1000;

/** Usage of a refused account in tokens; the fields are logged. */
export interface ExceededAllowance {
    readonly ownTokens: number;
    readonly peerTokens: number;
    readonly allowedTokens: number;
    readonly members: number;
    /** Time until the account has tokens again. */
    readonly waitMs: number;
}

function isPartitioned(world: ForwardWorld, now: Millis): boolean {
    const { node, peers } = world.tables;
    const staleMs = computePeerStaleMs(world);
    return now - node.storeConfirmedAt > partitionedAfterMs
        && [...peers.rows.values()].every(peer => now - peer.stateReceivedAt > staleMs);
}

/** Charges the tokens of the request to the account, or returns its usage if the allowance is exhausted. */
export function reserveTokens(
    world: ForwardWorld,
    now: Millis,
    account: ForwardAccount,
    tokens: number,
): ExceededAllowance | undefined {
    if (account.rate <= 0 || tokens === 0) {
        return undefined;
    }
    const members = Math.max(1, world.tables.members.countLive());
    const usage = getUsageWindow(world, now, account.id);
    const ownTokens = computeOwnTokens(world, now, account);
    const isWithoutFleet = isPartitioned(world, now);
    const peerTokens = isWithoutFleet ? 0 : computePeerTokens(world, now, account);
    const allowedTokens = isWithoutFleet
        ? computeAllowanceShare(world, account) * partitionedFraction
        : computeAllowedTokens(world, account);
    const used = ownTokens + peerTokens;
    // A request that is larger than the remaining allowance may exceed it once.
    if (used < allowedTokens) {
        addUsage(usage, tokens);
        return undefined;
    }
    return {
        ownTokens: Math.round(ownTokens),
        peerTokens: Math.round(peerTokens),
        allowedTokens: Math.round(allowedTokens),
        members,
        waitMs: Math.min(maxWaitMs, computeUsageWait(usage, (used - allowedTokens) / members)),
    };
}
