/** Keeps the lease of this process and its row among the members; takes and gives up the duty of orders. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type LeaseId, type Millis } from "../../ids";
import type { StoreAnswer, StoreCall, StoreOutcome } from "../../store";
import { encodeMember, memberPrefix, weightsDutyKey } from "../codec/fleetRows";
import type { ForwardStorePurpose, ForwardTick } from "../events";
import { isForwardLeaseValid } from "../tables/node";
import type { ForwardWorld } from "../world";

/** Length of the lease: a killed process leaves the directory, and its duty, this much later. */
const leaseMs = 2000;
/** The lease is renewed four times in its length, so that two lost answers do not end it. */
const renewEveryMs = 500;
/**
 * Pause between two deliveries of the store, for each process: the calls of a fleet grow slower than the fleet. The
 * longest leaves a process that watches a silent connection time to see a configuration within its bound of 3 s.
 */
const pauseMsForEach = 30;
const shortestPauseMs = 300;
const longestPauseMs = 1000;
/** Added to the guard time for orders of the holder before that are on their way. */
const guardMarginMs = 300;

/** Time for which an order of one holder keeps other holders from the same engine. */
export const computeDutyGuardMs = (world: ForwardWorld): number => world.settings.bounds.dutyGuardMs + guardMarginMs;

type Purpose<For extends ForwardStorePurpose["for"]> = Extract<ForwardStorePurpose, { readonly for: For; }>;

function requestStore(world: ForwardWorld, purpose: ForwardStorePurpose, call: StoreCall): void {
    world.effects.append({ kind: "callStore", purpose, call });
}

function requestLease(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    const { lease } = node;
    if (lease.isPending || node.isUnread || node.state === "stopped") {
        return;
    }
    lease.isPending = true;
    lease.wallAskedAt = tick.wallNow;
    if (lease.id === undefined) {
        requestStore(world, { for: "lease", step: "grant" }, { kind: "grantLease", ttlSeconds: leaseMs / 1000 });
        return;
    }
    requestStore(world, { for: "lease", step: "renew" }, { kind: "renewLease", lease: lease.id });
}

function removeLease(world: ForwardWorld): void {
    const { node } = world.tables;
    node.lease.id = undefined;
    node.isRegistered = false;
    releaseDuty(world, "The lease ended.");
}

function releaseDuty(world: ForwardWorld, reason: string): void {
    const { duty } = world.tables.node;
    if (duty.state === "held") {
        logInfo(world.effects, "place:", "Duty of orders is given up.", { fencing: duty.fencing, reason });
    }
    duty.state = "none";
    world.tables.rollouts.rows.clear();
}

function applyLease(world: ForwardWorld, answer: StoreAnswer, sentAt: Millis): void {
    const { lease } = world.tables.node;
    if (answer.kind !== "lease") {
        return;
    }
    if (answer.ttlSeconds === 0) {
        logWarning(world.effects, "member:", "The lease has ended in the store.", { lease: lease.id });
        removeLease(world);
        return;
    }
    const ttlMs = answer.ttlSeconds * 1000;
    lease.id = answer.lease;
    lease.validUntil = addMillis(sentAt, ttlMs);
    lease.wallValidUntil = lease.wallAskedAt + ttlMs;
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
 * Any live process may take the duty when nobody holds it. A leaving holder keeps it until the process ends, because
 * all others may be leaving, too.
 */
function claimDuty(world: ForwardWorld, lease: LeaseId): void {
    const { node } = world.tables;
    if (node.duty.state !== "none" || node.duty.holder !== undefined || node.state !== "live") {
        return;
    }
    node.duty.state = "acquiring";
    requestStore(world, { for: "duty" }, {
        kind: "transaction",
        compare: [{ key: weightsDutyKey, createRevision: 0 }],
        success: [{ kind: "put", key: weightsDutyKey, value: world.settings.vm, lease }],
    });
}

const handlers: {
    readonly [For in ForwardStorePurpose["for"]]: (
        world: ForwardWorld,
        tick: ForwardTick,
        purpose: Purpose<For>,
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
            logWarning(world.effects, "member:", "The lease was not renewed.", { step, message: result.val.message });
        }
    },
    // The system that places weights reads these replies.
    order: () => undefined,
    member: (world, _tick, _purpose, { result }) => {
        if (result.err || (result.val.kind === "transaction" && !result.val.succeeded)) {
            world.tables.node.isRegistered = false;
        }
    },
    duty: (world, tick, _purpose, { result }) => {
        const { node } = world.tables;
        const { duty, lease } = node;
        if (result.err || result.val.kind !== "transaction" || !result.val.succeeded) {
            duty.state = "none";
            return;
        }
        if (!isForwardLeaseValid(lease, tick.now, tick.wallNow)) {
            duty.state = "none";
            return;
        }
        duty.state = "held";
        duty.fencing = result.val.revision;
        // Orders that were recorded before this process read the store are not known to it.
        duty.actsFrom = addMillis(node.firstReadAt, computeDutyGuardMs(world));
        world.timers.schedule({ name: "rollout", at: tick.now });
        logInfo(world.effects, "place:", "Duty of orders is taken.", { fencing: duty.fencing });
    },
};

function handleReplies(world: ForwardWorld, tick: ForwardTick): void {
    for (const { purpose, outcome } of tick.events.list("storeReplied")) {
        (handlers[purpose.for] as (typeof handlers)["lease"])(world, tick, purpose as Purpose<"lease">, outcome);
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
    claimDuty(world, node.lease.id);
}

function updatePace(world: ForwardWorld): void {
    const { members, node } = world.tables;
    const pauseMs = Math.min(longestPauseMs, Math.max(shortestPauseMs, pauseMsForEach * members.countLive()));
    if (pauseMs !== node.storePauseMs) {
        node.storePauseMs = pauseMs;
        world.effects.append({ kind: "paceStore", pauseMs });
    }
}

/**
 * Reads: members. Writes: node (lease, registration, duty). Effects: calls to the store, log lines.
 */
export function updateMembership(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "leaseRenewal", everyMs: renewEveryMs }, tick.now);
    }
    handleReplies(world, tick);
    const isFirstRead = !node.isUnread && node.lease.id === undefined && tick.events.list("publishedRead").length > 0;
    if (tick.due.has("leaseRenewal") || isFirstRead) {
        requestLease(world, tick);
        updatePace(world);
    }
    if (!node.isUnread) {
        checkLease(world, tick);
    }
}
