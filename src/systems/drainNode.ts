/** Life cycle of this process: start, graceful shutdown. */
import { logInfo } from "../effects";
import { addMillis } from "../ids";
import type { Tick, World } from "../world";
import { releaseSlot } from "./claimSlot";

const drainCheckMs = 100;
/** The process waits this long for the store to confirm that leases are released. */
const releaseWaitMs = 1000;

function startDrain(world: World, tick: Tick): void {
    const { node, members } = world.tables;
    if (node.state === "draining") {
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
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, world.settings.timeouts.drainNoticeMs) });
}

/** Gives back the floor slot and the member lease, which carries the bucket ownerships. */
function releaseLeases(world: World): void {
    const { node } = world.tables;
    node.pendingReleases = 0;
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
}

function checkDrain(world: World, tick: Tick): void {
    const { node, requests, grants } = world.tables;
    if (node.isListening) {
        node.isListening = false;
        world.effects.append({ kind: "closeListeners" });
    }
    if (requests.listOpen().length > 0) {
        world.timers.schedule({ name: "drain", at: addMillis(tick.now, drainCheckMs) });
        return;
    }
    if (node.pendingReleases === undefined) {
        releaseLeases(world);
        node.releasedAt = tick.now;
    }
    const isAnswered = node.pendingReleases === 0 && !grants.list().some(holder => holder.isPending);
    if (!isAnswered && tick.now < addMillis(node.releasedAt ?? tick.now, releaseWaitMs)) {
        world.timers.schedule({ name: "drain", at: addMillis(tick.now, drainCheckMs) });
        return;
    }
    node.state = "stopped";
    logInfo(world.effects, "drain:", "All requests have ended.", {});
    world.effects.append({ kind: "exitProcess", code: 0 });
}

/**
 * Reads: requests, grants, configuration. Writes: node, members (own state).
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
    if (tick.due.has("drain") && node.state === "draining") {
        checkDrain(world, tick);
    }
}
