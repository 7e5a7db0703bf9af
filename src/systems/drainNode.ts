/** Life cycle of this process: start, graceful shutdown. */
import { logInfo, logWarning } from "../effects";
import { addMillis } from "../ids";
import type { Tick, World } from "../world";
import { releaseSlot } from "./claimSlot";

/** Time given to the store to confirm the ends of claims. A claim that is left open is never run again. */
const maxClaimWaitMs = 5000;
/** Added to the store's timeout before the process exits without an answer to the revocation of its leases. */
const revokeMarginMs = 200;

function startDrain(world: World, tick: Tick): void {
    const { node, members } = world.tables;
    const { drainNoticeMs } = world.settings.timeouts;
    if (node.state === "draining" || node.state === "stopped") {
        return;
    }
    node.state = "draining";
    node.drainingSince = tick.now;
    const own = members.get(world.settings.vm);
    if (own) {
        own.state = "draining";
    }
    logInfo(world.effects, "drain:", "Shutdown began; running requests will finish.", {
        open: world.tables.requests.listOpen().length,
    });
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, drainNoticeMs), key: "notice" });
    // Peers stop listing this VM without waiting for the next regular exchange.
    world.timers.schedule({ name: "exchange", at: tick.now });
}

function endNotice(world: World, tick: Tick): void {
    world.tables.node.isAdmitting = false;
    logInfo(world.effects, "drain:", "New requests are refused.", {});
    // Every request has reached its deadline by then; only a caller that does not read can still hold its answer.
    const limitMs = world.settings.timeouts.requestMs;
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, limitMs), key: "limit" });
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, maxClaimWaitMs), key: "claims" });
}

/**
 * Gives back the floor slot and the member lease, which carries the bucket ownerships. The process exits when the
 * store and the bucket owners have answered, or soon after without an answer.
 */
function stopNode(world: World, tick: Tick): void {
    const { node } = world.tables;
    node.state = "stopped";
    node.pendingReleases = 0;
    world.effects.append({ kind: "closeListeners" });
    releaseSlot(world);
    if (node.memberLease.id !== undefined) {
        world.effects.append({
            kind: "callStore",
            purpose: { for: "lease", lease: "member", step: "revoke" },
            call: { kind: "revokeLease", lease: node.memberLease.id },
        });
        // Without the lease this process grants nothing any more, whenever the call takes effect.
        node.memberLease.id = undefined;
        node.pendingReleases += 1;
    }
    logInfo(world.effects, "drain:", "All answers are delivered; leases are revoked.", {});
    const at = addMillis(tick.now, world.settings.store.timeoutMs + revokeMarginMs);
    world.timers.schedule({ name: "drain", at, key: "exit" });
}

function isSettlingClaims(world: World, tick: Tick): boolean {
    const { node, claims } = world.tables;
    const noticeEnd = addMillis(node.drainingSince ?? tick.now, world.settings.timeouts.drainNoticeMs);
    return claims.size > 0 && tick.now < addMillis(noticeEnd, maxClaimWaitMs);
}

function checkDrain(world: World, tick: Tick): void {
    const { requests, changes } = world.tables;
    const isOverdue = tick.due.listKeys("drain").includes("limit");
    const isAnswering = requests.listOpen().length > 0 || (requests.getUndelivered() > 0 && !isOverdue);
    // Changes of operators end within seconds, and an operator who gets no answer cannot know the outcome.
    if (isAnswering || changes.size > 0 || isSettlingClaims(world, tick)) {
        return;
    }
    if (requests.getUndelivered() > 0) {
        logWarning(world.effects, "drain:", "Some callers did not read their answers in time.", {
            answers: requests.getUndelivered(),
        });
    }
    stopNode(world, tick);
    checkReleases(world, tick);
}

function endProcess(world: World): void {
    const { node } = world.tables;
    if (node.hasExited) {
        return;
    }
    node.hasExited = true;
    logInfo(world.effects, "drain:", "The process exits.", {});
    world.effects.append({ kind: "exitProcess", code: 0 });
}

/** Exits when the store has answered each release and the owners have the grants back, or after the time limit. */
function checkReleases(world: World, tick: Tick): void {
    const { node, grants } = world.tables;
    const isAnswered = node.pendingReleases === 0 && !grants.list().some(holder => holder.isPending);
    if (isAnswered || tick.due.listKeys("drain").includes("exit")) {
        endProcess(world);
    }
}

/**
 * Reads: requests, claims, changes, grants, configuration. Writes: node, members (own state).
 * Effects: closing of listeners, lease revocation, exit, log lines.
 */
export function drainNode(world: World, tick: Tick): void {
    const { node, configuration } = world.tables;
    node.startedAt ??= tick.now;
    for (const { purpose } of tick.events.listStoreReplies("lease")) {
        if (purpose.step === "revoke" && node.pendingReleases !== undefined) {
            node.pendingReleases -= 1;
        }
    }
    if (node.state === "starting" && configuration.version > 0) {
        node.state = "live";
    }
    if (tick.events.list("drainAsked").length > 0) {
        startDrain(world, tick);
    }
    if (node.state === "draining" && node.isAdmitting && tick.due.listKeys("drain").includes("notice")) {
        endNotice(world, tick);
    }
    if (node.state === "draining" && !node.isAdmitting) {
        checkDrain(world, tick);
    }
    else if (node.state === "stopped") {
        checkReleases(world, tick);
    }
}
