/** Limits that targets name on the requests that they take. Shared by systems. */
import { logInfo } from "../../effects";
import type { ForwardTick } from "../events";
import type { ForwardAttempt } from "../tables/requests";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** Records the limit that an answer of the target names; an answer without one ends an earlier limit. */
export function recordNamedLimit(
    world: ForwardWorld,
    tick: ForwardTick,
    target: ForwardTargetRow,
    attempt: ForwardAttempt,
    perSecond: number | undefined,
): void {
    const before = target.requestLimit;
    // Answers can overtake each other: one to a request that was sent before the limit was named does not end it.
    if (perSecond === undefined && (!before || attempt.sentAt < before.namedAt)) {
        return;
    }
    target.requestLimit = perSecond === undefined ? undefined : { perSecond, namedAt: tick.now };
    if (before?.perSecond !== perSecond) {
        logInfo(world.effects, "target:", "Target changed the limit on its requests.", {
            target: target.registration.id,
            perSecond,
            before: before?.perSecond,
        });
    }
}
