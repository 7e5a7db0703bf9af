/** Usage of accounts in the last window, by this process and as reported by its peers. Shared by systems. */
import type { AccountId, Millis } from "../../ids";
import type { ForwardAccount } from "../document";
import { computeAllowance } from "../policy/allowance";
import { computeRecentUsage, createUsageWindow, updateUsageWindow, type UsageWindow } from "../policy/usageWindow";
import type { PeerRow } from "../tables/peers";
import type { ForwardWorld } from "../world";

/** The interval between exchanges with a peer grows with the fleet, so that each process's cost grows more slowly. */
const exchangeIntervalMsPerProcess = 50;
const minExchangeIntervalMs = 300;
/** Missed exchanges after which the last state of a peer counts as stale. */
const maxMissedExchanges = 3;

export const computeExchangeIntervalMs = (world: ForwardWorld): number =>
    Math.max(minExchangeIntervalMs, exchangeIntervalMsPerProcess * world.tables.members.countLive());

/** Age of a peer's last state from which on the peer is assumed to have used its whole share. */
export const computePeerStaleMs = (world: ForwardWorld): number =>
    maxMissedExchanges * computeExchangeIntervalMs(world);

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

/** Equal share of the allowance for each process. */
export const computeAllowanceShare = (world: ForwardWorld, account: ForwardAccount): number =>
    computeAllowedTokens(world, account) / Math.max(1, world.tables.members.countLive());

/** Usage window of an account, advanced to the given time. */
export function getUsageWindow(world: ForwardWorld, now: Millis, account: AccountId): UsageWindow {
    const { rows } = world.tables.usageWindows;
    const window = rows.get(account) ?? createUsageWindow({ windowMs: world.settings.bounds.quotaWindowMs, now });
    rows.set(account, window);
    updateUsageWindow(window, now);
    return window;
}

/**
 * Usage of the fleet's previous runs that may still be in the window. Assumed to be the whole allowance, declining over the
 * window; usage that has come faster than evenly leaves the window later.
 */
function computePreviousRunsTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const { node, usageSurges } = world.tables;
    const remainingFraction = 1 - (now - node.storeFirstReadAt) / world.settings.bounds.quotaWindowMs;
    if (remainingFraction <= 0) {
        return 0;
    }
    const { tokens, used } = usageSurges.found.get(account.id) ?? { tokens: 0, used: Infinity };
    return Math.min(used, computeAllowedTokens(world, account) * remainingFraction + tokens);
}

/** Usage of this VM's previous run that may still be in the window: its share, until a peer reports the actual usage. */
function computePreviousRunTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const { members, peers: { ownPreviousRun } } = world.tables;
    if (ownPreviousRun) {
        const hasLeftWindow = now - ownPreviousRun.reportedAt > world.settings.bounds.quotaWindowMs;
        return hasLeftWindow ? 0 : ownPreviousRun.usage.get(account.id) ?? 0;
    }
    return computePreviousRunsTokens(world, now, account) / Math.max(1, members.countLive());
}

/** Tokens that this VM has used, including its previous run. */
export const computeOwnTokens = (world: ForwardWorld, now: Millis, account: ForwardAccount): number =>
    getUsageWindow(world, now, account.id).total + computePreviousRunTokens(world, now, account);

/** Time for a state message to arrive. */
const transferMs = 60;
/** Safety margin on the age of a state, for messages that arrive late. */
const ageMarginFraction = 0.2;
/**
 * Up to this many peers, this process's own usage is a good estimate for each of them; with more, single requests make
 * it too small a sample.
 */
const maxSampledPeers = 8;

/**
 * Estimates what peers have used since their last states. Takes the larger of two estimates: the recent usage of this
 * process for each of them, or the rate of each peer (the growth between its last two states or its average over the
 * window, whichever is higher).
 */
function computeUnreportedTokens(
    world: ForwardWorld,
    now: Millis,
    account: AccountId,
    peers: readonly PeerRow[],
    getReportedTokens = ({ usage }: PeerRow): number => usage.get(account) ?? 0,
): number {
    const ownWindow = getUsageWindow(world, now, account);
    const { quotaWindowMs } = world.settings.bounds;
    let estimatedFromOwn = 0;
    let estimatedFromPeers = 0;
    for (const peer of peers) {
        const { growth, stateReceivedAt } = peer;
        const unreportedMs = (now - stateReceivedAt) * (1 + ageMarginFraction) + transferMs;
        estimatedFromOwn += computeRecentUsage(ownWindow, now, unreportedMs);
        estimatedFromPeers += Math.max(growth.get(account) ?? 0, getReportedTokens(peer) / quotaWindowMs)
            * unreportedMs;
    }
    return Math.max(estimatedFromPeers, estimatedFromOwn * Math.min(1, maxSampledPeers / Math.max(1, peers.length)));
}

/**
 * Tokens that a peer has used by its last state. A new run may not know yet what the previous one used; that is counted
 * from the states of the previous run, as the least that the new one can report.
 */
function computeReportedTokens(
    world: ForwardWorld,
    now: Millis,
    account: AccountId,
    { usage, previousRun }: Pick<PeerRow, "usage" | "previousRun">,
): number {
    const reported = usage.get(account) ?? 0;
    const hasLeftWindow = !previousRun || now - previousRun.lastStateAt > world.settings.bounds.quotaWindowMs;
    return hasLeftWindow ? reported : Math.max(reported, previousRun.usage.get(account) ?? 0);
}

/** Tokens that the other processes have used. Those without a recent state are assumed to have used their share. */
export function computePeerTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const { peers, members } = world.tables;
    const staleMs = computePeerStaleMs(world);
    const share = computeAllowanceShare(world, account);
    const recentPeers: PeerRow[] = [];
    let tokens = 0;
    for (const peer of peers.rows.values()) {
        const reportedTokens = computeReportedTokens(world, now, account.id, peer);
        if (!members.get(peer.vm)) {
            tokens += reportedTokens;
        }
        else if (now - peer.stateReceivedAt > staleMs) {
            tokens += Math.max(reportedTokens, share);
        }
        else {
            tokens += reportedTokens;
            recentPeers.push(peer);
        }
    }
    tokens += computeUnreportedTokens(world, now, account.id, recentPeers);
    const membersWithoutState = members.list().filter(({ vm }) => vm !== world.settings.vm && !peers.rows.has(vm));
    return tokens + membersWithoutState.length * share;
}

/** What this process assumes for its previous run because no peer has told it of that run's usage. */
export const computeAssumedTokens = (world: ForwardWorld, now: Millis, account: ForwardAccount): number =>
    world.tables.peers.ownPreviousRun ? 0 : computePreviousRunTokens(world, now, account);

/**
 * Tokens that the fleet is known to have used, by this process and by states of peers, without what is assumed for
 * processes that are silent or have just started.
 */
export function computeKnownTokens(world: ForwardWorld, now: Millis, account: ForwardAccount): number {
    const staleMs = computePeerStaleMs(world);
    const peers = [...world.tables.peers.rows.values()];
    const getKnownTokens = ({ usage, assumedUsage }: PeerRow): number =>
        Math.max(0, (usage.get(account.id) ?? 0) - (assumedUsage.get(account.id) ?? 0));
    const reportedTokens = peers.map(peer =>
        computeReportedTokens(world, now, account.id, {
            usage: new Map([[account.id, getKnownTokens(peer)]]),
            previousRun: peer.previousRun,
        })
    );
    const recentPeers = peers.filter(({ stateReceivedAt }) => now - stateReceivedAt <= staleMs);
    const ownTokens = computeOwnTokens(world, now, account) - computeAssumedTokens(world, now, account);
    return reportedTokens.reduce((sum, tokens) => sum + tokens, ownTokens)
        + computeUnreportedTokens(world, now, account.id, recentPeers, getKnownTokens);
}
