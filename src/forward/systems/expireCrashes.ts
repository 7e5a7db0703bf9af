/** Reduces older crashes to the prompt parts that may still be found to have caused them. */
import { logInfo } from "../../effects";
import type { ForwardTick } from "../events";
import { isCleared } from "../policy/crashingPart";
import type { CrashRow } from "../tables/crashes";
import type { ForwardWorld } from "../world";

const checkIntervalMs = 5000;
/**
 * Crashes under one part may be minutes apart, but a sound part that is seldom used must not collect crashes for ever.
 */
const maxAgeMs = 3_600_000;
/**
 * Age from which on a crash is checked. Peers report younger ones and would add a removed one again. Together with the
 * interval it is shorter than the first quarantine, so that a crash counts for one quarantine only.
 */
const minAgeMs = 35_000;

/** Removes the parts that were cleared at the last check; until then, peers were told of their answers. */
function removeCleared(world: ForwardWorld, crash: CrashRow): void {
    const { answeredParts } = world.tables;
    for (const part of crash.clearedSuspects) {
        crash.suspects.delete(part);
    }
    crash.clearedSuspects = [...crash.suspects.keys()].filter(part =>
        isCleared(answeredParts.getAnsweredAt(part), crash.failedAt)
    );
}

type RemovalReason = "age" | "answered" | "quarantined";

function findRemovalReason(world: ForwardWorld, tick: ForwardTick, crash: CrashRow): RemovalReason | undefined {
    const suspects = [...crash.suspects.keys()];
    if (suspects.length === 0) {
        return "answered";
    }
    if (suspects.some(part => world.tables.quarantine.get(part) !== undefined)) {
        return "quarantined";
    }
    return tick.now - crash.failedAt > maxAgeMs ? "age" : undefined;
}

/**
 * Reads: answered parts, quarantine. Writes: crashes.
 * Effects: log lines.
 */
export function expireCrashes(world: ForwardWorld, tick: ForwardTick): void {
    const { crashes } = world.tables;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "crashExpiry", everyMs: checkIntervalMs }, tick.now);
    }
    if (!tick.due.has("crashExpiry")) {
        return;
    }
    for (const crash of crashes.list().filter(({ failedAt }) => tick.now - failedAt > minAgeMs)) {
        removeCleared(world, crash);
        const reason = findRemovalReason(world, tick, crash);
        if (reason !== undefined) {
            crashes.remove(crash.target);
            logInfo(world.effects, "target:", "The end of an engine no longer counts against prompt parts.", {
                target: crash.target,
                reason,
                ageMs: Math.round(tick.now - crash.failedAt),
                suspects: [...crash.suspects.keys()],
            });
        }
    }
}
