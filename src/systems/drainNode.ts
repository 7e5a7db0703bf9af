/** Life cycle of this process: start, graceful shutdown. */
import { logInfo } from "../effects";
import { addMillis } from "../ids";
import type { Tick, World } from "../world";

const drainCheckMs = 100;

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

function checkDrain(world: World, tick: Tick): void {
    const { node, requests, changes } = world.tables;
    if (node.isListening) {
        node.isListening = false;
        world.effects.append({ kind: "closeListeners" });
    }
    // Changes of operators end within seconds, and an operator who gets no answer cannot know the outcome.
    if (requests.listOpen().length > 0 || changes.size > 0) {
        world.timers.schedule({ name: "drain", at: addMillis(tick.now, drainCheckMs) });
        return;
    }
    node.state = "stopped";
    if (node.memberLease.id !== undefined) {
        world.effects.append({
            kind: "callStore",
            purpose: { for: "lease", lease: "member", step: "revoke" },
            call: { kind: "revokeLease", lease: node.memberLease.id },
        });
    }
    logInfo(world.effects, "drain:", "All requests have ended.", {});
    world.effects.append({ kind: "exitProcess", code: 0 });
}

/**
 * Reads: requests, changes, configuration. Writes: node, members (own state).
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
    if (tick.due.has("drain") && node.state === "draining") {
        checkDrain(world, tick);
    }
}
