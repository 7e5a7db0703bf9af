/** Life cycle of this process: start and graceful shutdown. */
import { logInfo, logWarning } from "../effects";
import { addMillis } from "../ids";
import type { Tick, World } from "../world";
import { releaseSlot } from "./acquireSlot";

/** Maximum time to wait for the store to confirm settled claims. The key of a claim left open is refused for good. */
const maxClaimWaitMs = 5000;
/** Added to the store timeout; after both the process exits even if the lease revocations were not answered. */
const revokeMarginMs = 200;

function startDrain(world: World, tick: Tick): void {
    const { node, members } = world.tables;
    const { drainNoticeMs } = world.settings.timeouts;
    if (node.state === "draining" || node.state === "stopped") {
        return;
    }
    node.state = "draining";
    node.drainingSince = tick.now;
    const ownMember = members.get(world.settings.vm);
    if (ownMember) {
        ownMember.state = "draining";
    }
    logInfo(world.effects, "drain:", "Shutdown began; running requests will finish.", {
        open: world.tables.requests.listOpen().length,
    });
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, drainNoticeMs), key: "notice" });
    // An immediate exchange lets peers stop listing this VM before the next regular one.
    world.timers.schedule({ name: "exchange", at: tick.now });
}

function endNoticePeriod(world: World, tick: Tick): void {
    world.tables.node.isAdmitting = false;
    logInfo(world.effects, "drain:", "Notice period ended; new requests are refused.", {});
    // Every request has reached its deadline by then; only callers that do not read may still lack their answers.
    const maxRequestMs = world.settings.timeouts.requestMs;
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, maxRequestMs), key: "limit" });
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, maxClaimWaitMs), key: "claims" });
}

/**
 * Releases the floor slot and the member lease, which the bucket ownership keys are attached to. The process exits
 * when the store and the bucket owners have answered, or after a timeout.
 */
function stopProcess(world: World, tick: Tick): void {
    const { node } = world.tables;
    node.state = "stopped";
    node.pendingRevocations = 0;
    world.effects.append({ kind: "closeListeners" });
    releaseSlot(world);
    if (node.memberLease.id !== undefined) {
        world.effects.append({
            kind: "callStore",
            purpose: { for: "lease", lease: "member", step: "revoke" },
            call: { kind: "revokeLease", lease: node.memberLease.id },
        });
        // Cleared at once, so that this process issues no more grants, no matter when the call takes effect.
        node.memberLease.id = undefined;
        node.pendingRevocations += 1;
    }
    logInfo(world.effects, "drain:", "All requests have ended; revoking leases.", {});
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
    const isAnswering = requests.listOpen().length > 0 || (requests.countUndelivered() > 0 && !isOverdue);
    // Operators' changes end within seconds; without an answer the operator would not know the outcome.
    if (isAnswering || changes.size > 0 || isSettlingClaims(world, tick)) {
        return;
    }
    if (requests.countUndelivered() > 0) {
        logWarning(world.effects, "drain:", "Some callers did not read their answers in time.", {
            answers: requests.countUndelivered(),
        });
    }
    stopProcess(world, tick);
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

/** Exits when the store has answered each release and the owners have answered the returned grants, or on timeout. */
function checkReleases(world: World, tick: Tick): void {
    const { node, grants } = world.tables;
    const isAnswered = node.pendingRevocations === 0 && !grants.list().some(holder => holder.isPending);
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
        if (purpose.step === "revoke" && node.pendingRevocations !== undefined) {
            node.pendingRevocations -= 1;
        }
    }
    if (node.state === "starting" && configuration.version > 0) {
        node.state = "live";
    }
    if (tick.events.list("drainRequested").length > 0) {
        startDrain(world, tick);
    }
    if (node.state === "draining" && node.isAdmitting && tick.due.listKeys("drain").includes("notice")) {
        endNoticePeriod(world, tick);
    }
    if (node.state === "draining" && !node.isAdmitting) {
        checkDrain(world, tick);
    }
    else if (node.state === "stopped") {
        checkReleases(world, tick);
    }
}
