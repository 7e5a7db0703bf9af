/** Life cycle of this process: ready, leaving, stopped. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis } from "../../ids";
import type { RouteKind } from "../document";
import type { ForwardTick } from "../events";
import type { ForwardWorld } from "../world";
import { refuseForwardRequest } from "./requestEnd";

/**
 * Fraction of the grace period during which a leaving process still admits requests, since callers may use its address
 * from an earlier directory answer.
 */
const admitFraction = 0.35;
/** Fraction of the grace period after which the process exits even if answers are still open. */
const exitFraction = 0.93;
/** Delay before the exit, for the revocation of the lease to reach the store. */
const exitDelayMs = 120;

function updateReadiness(world: ForwardWorld): void {
    const { node, configuration } = world.tables;
    const isReady = node.state === "live" && configuration.document !== undefined;
    if (isReady !== node.isReady) {
        node.isReady = isReady;
        const isClosing = node.state !== "live";
        world.effects.append({ kind: "updateReadiness", isReady, isClosing });
        logInfo(world.effects, "drain:", isReady ? "The process is ready." : "The process is not ready.", {
            version: configuration.version,
        });
    }
}

function startDrain(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    if (node.state === "leaving" || node.state === "stopped") {
        return;
    }
    node.state = "leaving";
    node.leavingSince = tick.now;
    node.isRegistered = false;
    logInfo(world.effects, "drain:", "Shutdown began; running requests will finish.", {
        open: world.tables.requests.size,
    });
    const { graceMs } = world.settings.bounds;
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, graceMs * admitFraction) });
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, graceMs * exitFraction), key: "limit" });
}

/**
 * Ends the requests that still run. The exit would close their connections, which says nothing about their outcome, and
 * which callers take for the end of a response that has no framing.
 */
function endOpenRequests(world: ForwardWorld, tick: ForwardTick): void {
    const { requests } = world.tables;
    for (const row of [...requests.list("queued"), ...requests.list("running")]) {
        refuseForwardRequest(world, tick, row, "draining");
    }
}

function stopNode(world: ForwardWorld, tick: ForwardTick): void {
    const { node, requests } = world.tables;
    if (requests.undelivered > 0) {
        logWarning(
            world.effects,
            "drain:",
            "Answers are still open at the end of the grace period; they are ended early.",
            {
                answers: requests.undelivered,
            },
        );
    }
    endOpenRequests(world, tick);
    node.state = "stopped";
    world.effects.append({ kind: "closeListeners" });
    if (node.lease.id !== undefined) {
        world.effects.append({
            kind: "callStore",
            purpose: { for: "lease", step: "end" },
            call: { kind: "revokeLease", lease: node.lease.id },
        });
    }
    world.timers.schedule({ name: "drain", at: addMillis(tick.now, exitDelayMs), key: "exit" });
}

function checkDrain(world: ForwardWorld, tick: ForwardTick): void {
    const { node, requests } = world.tables;
    const keys = tick.due.listKeys("drain");
    if (node.state === "stopped") {
        if (keys.includes("exit")) {
            logInfo(world.effects, "drain:", "The process exits.", {});
            world.effects.append({ kind: "exitProcess", code: 0 });
        }
        return;
    }
    const elapsed = tick.now - (node.leavingSince ?? tick.now);
    const hasNoOpenRequests = requests.size === 0 && requests.undelivered === 0;
    const { graceMs } = world.settings.bounds;
    if (keys.includes("limit") || (hasNoOpenRequests && elapsed >= graceMs * admitFraction)) {
        stopNode(world, tick);
    }
}

/**
 * Reads: configuration. Writes: node, requests, targets, usage windows.
 * Effects: readiness, refusals, interruptions, closing of listeners, calls to the store, exit, log lines.
 */
export function drainNode(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    if (node.state === "starting") {
        node.state = "live";
        logInfo(world.effects, "drain:", "The process has started.", { vm: world.settings.vm });
    }
    for (const { outcome } of tick.events.list("reloadRequested")) {
        logInfo(world.effects, "drain:", "The settings were read again.", { outcome });
    }
    if (tick.events.list("drainRequested").length > 0) {
        startDrain(world, tick);
    }
    updateReadiness(world);
    if (node.state === "leaving" || node.state === "stopped") {
        checkDrain(world, tick);
    }
}

/**
 * True if a request with this deadline ends before the process exits, which interrupts what still runs then. Streams are
 * not held to their deadlines, which most end long before: the time from the last admission to the exit is enough.
 */
export function canFinish(world: ForwardWorld, kind: RouteKind, deadline: Millis): boolean {
    const { leavingSince } = world.tables.node;
    const exitAt = addMillis(leavingSince ?? deadline, world.settings.bounds.graceMs * exitFraction);
    return kind === "stream" || leavingSince === undefined || deadline <= exitAt;
}

/** True while new requests are admitted. */
export function isAdmitting(world: ForwardWorld, tick: ForwardTick): boolean {
    const { node } = world.tables;
    const elapsed = tick.now - (node.leavingSince ?? tick.now);
    return node.state !== "stopped" && elapsed < world.settings.bounds.graceMs * admitFraction;
}
