/** Renews the lease of this process, writes its member row, and acquires and releases the rollout leadership. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type LeaseId, type Millis, toMillis } from "../../ids";
import type { StoreAnswer, StoreCall, StoreOutcome } from "../../store";
import { encodeMember, memberPrefix, rolloutLeaderKey } from "../codec/fleetRows";
import type { ForwardStorePurpose, ForwardTick } from "../events";
import { computeFencingToken } from "../storeChanges";
import { isForwardLeaseValid } from "../tables/node";
import type { ForwardWorld } from "../world";

/** Length of the lease. A killed process stays in the directory and keeps the rollout leadership for this long. */
const leaseMs = 2000;
/** Four renewals in the length of the lease, so that it survives two lost answers. */
const renewIntervalMs = 500;
/**
 * Pause after an attempt to acquire the leadership. By then the store has delivered the row of the process that has it;
 * without the pause, all others would repeat the attempt with each answer until they see that row.
 */
const claimRetryMs = 1000;
/** Added to the guard time for orders of the previous leader that have not arrived yet. */
const guardMarginMs = 300;

/** Time after an order during which no other rollout leader may order the same engine. */
export const computeLeaderGuardMs = (world: ForwardWorld): number => world.settings.bounds.dutyGuardMs + guardMarginMs;

type PurposeOf<For extends ForwardStorePurpose["for"]> = Extract<ForwardStorePurpose, { readonly for: For; }>;

function requestStore(world: ForwardWorld, purpose: ForwardStorePurpose, call: StoreCall): void {
    world.effects.append({ kind: "callStore", purpose, call });
}

function requestLease(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    const { lease } = node;
    if (lease.isPending || node.isStoreUnread || node.state === "stopped") {
        return;
    }
    lease.isPending = true;
    lease.wallRequestedAt = tick.wallNow;
    if (lease.id === undefined) {
        requestStore(world, { for: "lease", step: "grant" }, { kind: "grantLease", ttlSeconds: leaseMs / 1000 });
        return;
    }
    requestStore(world, { for: "lease", step: "renew" }, { kind: "renewLease", lease: lease.id });
}

function removeLease(world: ForwardWorld, reason: string): void {
    const { node } = world.tables;
    node.lease.id = undefined;
    node.isRegistered = false;
    releaseLeadership(world, reason);
}

function releaseLeadership(world: ForwardWorld, reason: string): void {
    const { rolloutLeadership: leadership } = world.tables.node;
    if (leadership.state === "held") {
        logInfo(world.effects, "place:", "Released the rollout leadership.", {
            fencing: leadership.fencingToken,
            reason,
        });
    }
    leadership.state = "none";
    world.tables.rollouts.rows.clear();
}

function applyLease(world: ForwardWorld, answer: StoreAnswer, sentAt: Millis): void {
    const { lease } = world.tables.node;
    if (answer.kind !== "lease") {
        return;
    }
    if (answer.ttlSeconds === 0) {
        logWarning(world.effects, "member:", "The lease has expired in the store; a new one is requested.", {
            lease: lease.id,
        });
        removeLease(world, "The lease expired.");
        return;
    }
    const ttlMs = answer.ttlSeconds * 1000;
    lease.id = answer.lease;
    lease.validUntil = addMillis(sentAt, ttlMs);
    lease.wallValidUntil = lease.wallRequestedAt + ttlMs;
}

function registerMember(world: ForwardWorld, lease: LeaseId): void {
    const { settings } = world;
    const { node } = world.tables;
    const value = encodeMember({
        vm: settings.vm,
        address: settings.listen.callers,
        peerAddress: settings.listen.peers,
        dataCentre: settings.dataCentre,
        state: node.state === "leaving" ? "leaving" : "live",
    });
    node.isRegistered = true;
    requestStore(world, { for: "member" }, {
        kind: "transaction",
        compare: [],
        success: [{ kind: "put", key: `${memberPrefix}${settings.vm}`, value, lease }],
    });
}

/**
 * Deletes a row of this process that makes it no leader: the answer to its claim was lost, or came from another era of
 * the store. The row would last as long as the lease, and nobody could lead meanwhile.
 */
function removeOwnClaim(world: ForwardWorld, tick: ForwardTick): void {
    const { rolloutLeadership: leadership } = world.tables.node;
    leadership.claimNotBefore = addMillis(tick.now, claimRetryMs);
    requestStore(world, { for: "leadership", step: "giveUp" }, {
        kind: "transaction",
        compare: [{ key: rolloutLeaderKey, modRevision: leadership.holderRevision }],
        success: [{ kind: "delete", key: rolloutLeaderKey }],
    });
    logWarning(world.effects, "place:", "Gave up a leadership whose claim was not answered.", {
        revision: leadership.holderRevision,
    });
}

/**
 * Tries to acquire the rollout leadership when no process holds it. Only live processes do that read the store
 * themselves: they learn first that there is no leader, and a larger fleet has few of them. A leaving leader keeps the
 * leadership until it exits, because all other processes may be leaving, too.
 */
function claimLeadership(world: ForwardWorld, tick: ForwardTick, lease: LeaseId): void {
    const { node, storeRelay } = world.tables;
    const { rolloutLeadership: leadership } = node;
    const mayClaim = storeRelay.source === undefined && tick.now >= leadership.claimNotBefore;
    if (leadership.state !== "none" || !mayClaim || node.state !== "live") {
        return;
    }
    if (leadership.holder === world.settings.vm) {
        removeOwnClaim(world, tick);
    }
    if (leadership.holder !== undefined) {
        return;
    }
    leadership.state = "acquiring";
    leadership.claimNotBefore = addMillis(tick.now, claimRetryMs);
    requestStore(world, { for: "leadership", step: "claim" }, {
        kind: "transaction",
        compare: [{ key: rolloutLeaderKey, createRevision: 0 }],
        success: [{ kind: "put", key: rolloutLeaderKey, value: world.settings.vm, lease }],
    });
}

const replyHandlers: {
    readonly [For in ForwardStorePurpose["for"]]: (
        world: ForwardWorld,
        tick: ForwardTick,
        purpose: PurposeOf<For>,
        outcome: StoreOutcome,
    ) => void;
} = {
    lease: (world, _tick, { step }, { result, sentAt }) => {
        const { lease } = world.tables.node;
        if (step === "end") {
            return;
        }
        lease.isPending = false;
        if (result.ok) {
            applyLease(world, result.val, sentAt);
        }
        else {
            logWarning(world.effects, "member:", "The lease was not granted or renewed.", {
                step,
                message: result.val.message,
            });
        }
    },
    // Handled by `placeWeights`.
    order: () => undefined,
    // Handled by `updateQuarantine`.
    quarantine: () => undefined,
    surge: () => undefined,
    // Handled by `settleServiceRollouts`.
    serviceRollout: () => undefined,
    member: (world, _tick, _purpose, { result }) => {
        if (result.err || (result.val.kind === "transaction" && !result.val.succeeded)) {
            world.tables.node.isRegistered = false;
        }
    },
    leadership: (world, tick, { step }, { result }) => {
        if (step === "giveUp") {
            return;
        }
        const { node } = world.tables;
        const { rolloutLeadership: leadership, lease } = node;
        if (result.err || result.val.kind !== "transaction" || !result.val.succeeded) {
            leadership.state = "none";
            return;
        }
        const era = result.val.era ?? node.storeEra;
        if (!isForwardLeaseValid(lease, tick.now, tick.wallNow) || era !== node.storeEra) {
            leadership.state = "none";
            return;
        }
        leadership.state = "held";
        leadership.fencingToken = computeFencingToken({ era: node.storeEra, revision: result.val.revision });
        leadership.acquiredAt = tick.now;
        world.timers.schedule({ name: "rollout", at: tick.now });
        logInfo(world.effects, "place:", "Acquired the rollout leadership.", {
            fencing: leadership.fencingToken,
            ordersInMs: Math.max(0, Math.round(computeOrderStart(world) - tick.now)),
        });
    },
};

/**
 * Time from which on the rollout leader may order: the guard time after the last order of another process that it may not
 * know. It knows those of the time since it last read the whole store, and none were sent since it became the leader. The
 * first read, a restored store and a gap in the store's history all lead to such a read.
 */
export function computeOrderStart(world: ForwardWorld): Millis {
    const { rolloutLeadership, storeReadAt } = world.tables.node;
    const unknownUntil = toMillis(Math.min(storeReadAt, rolloutLeadership.acquiredAt));
    return addMillis(unknownUntil, computeLeaderGuardMs(world));
}

function handleReplies(world: ForwardWorld, tick: ForwardTick): void {
    for (const { purpose, outcome } of tick.events.list("storeReplied")) {
        (replyHandlers[purpose.for] as (typeof replyHandlers)["lease"])(
            world,
            tick,
            purpose as PurposeOf<"lease">,
            outcome,
        );
    }
}

function checkLease(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    if (node.lease.id === undefined || !isForwardLeaseValid(node.lease, tick.now, tick.wallNow)) {
        return;
    }
    if (!node.isRegistered) {
        registerMember(world, node.lease.id);
    }
    claimLeadership(world, tick, node.lease.id);
}

/**
 * Reads: members, store relay. Writes: node (lease, registration, rollout leadership). Effects: calls to the store, log lines.
 */
export function updateMembership(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "leaseRenewal", everyMs: renewIntervalMs }, tick.now);
    }
    handleReplies(world, tick);
    if (node.storeRestoredAt === tick.now) {
        removeLease(world, "The store was restored from an older copy.");
    }
    const hasReadStore = !node.isStoreUnread && node.lease.id === undefined
        && tick.events.list("publishedRead").length > 0;
    if (tick.due.has("leaseRenewal") || hasReadStore) {
        requestLease(world, tick);
    }
    if (!node.isStoreUnread) {
        checkLease(world, tick);
    }
}
