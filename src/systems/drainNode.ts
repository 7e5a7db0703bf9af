/** Life cycle of this process: start, graceful shutdown. */
import { logInfo, logWarning } from "../effects";
import { addMillis } from "../ids";
import type { NodeLease } from "../tables/node";
import type { Tick, World } from "../world";

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

function revokeLease(world: World, lease: "member" | "slot", row: NodeLease): void {
    if (row.id === undefined) {
        return;
    }
    world.effects.append({
        kind: "callStore",
        purpose: { for: "lease", lease, step: "revoke" },
        call: { kind: "revokeLease", lease: row.id },
    });
    row.isPending = true;
}

/** Revokes the leases. The process exits when the store has answered, or soon after without an answer. */
function stopNode(world: World, tick: Tick): void {
    const { node } = world.tables;
    node.state = "stopped";
    world.effects.append({ kind: "closeListeners" });
    node.memberLease.isPending = false;
    node.slotLease.isPending = false;
    revokeLease(world, "member", node.memberLease);
    revokeLease(world, "slot", node.slotLease);
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
    const { node, requests, changes } = world.tables;
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
    // Nothing to wait for without a lease.
    if (!node.memberLease.isPending && !node.slotLease.isPending) {
        endProcess(world);
    }
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

function handleRevocations(world: World, tick: Tick): void {
    const { node } = world.tables;
    const answered = tick.events.listStoreReplies("lease").filter(({ purpose }) => purpose.step === "revoke");
    for (const { purpose } of answered) {
        (purpose.lease === "member" ? node.memberLease : node.slotLease).isPending = false;
    }
    const areRevoked = answered.length > 0 && !node.memberLease.isPending && !node.slotLease.isPending;
    if (areRevoked || tick.due.listKeys("drain").includes("exit")) {
        endProcess(world);
    }
}

/**
 * Reads: requests, claims, changes, configuration. Writes: node, members (own state).
 * Effects: closing of listeners, lease revocation, exit, log lines.
 */
export function drainNode(world: World, tick: Tick): void {
    const { node, configuration } = world.tables;
    node.startedAt ??= tick.now;
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
        handleRevocations(world, tick);
    }
}
