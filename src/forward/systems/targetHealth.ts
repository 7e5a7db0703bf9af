/** Circuit breakers of targets. They use the results of requests only, since health checks can be wrong either way. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis } from "../../ids";
import type { ForwardTick } from "../events";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** An engine that was ordered to load weights gets no requests for this long, unless it reports them earlier. */
const expectedLoadingMs = 900;

/** An overloaded target gets no requests for this long. */
export const overloadBackOffMs = 60;

export function expectLoading(row: ForwardTargetRow, now: Millis): void {
    row.unavailableUntil = addMillis(now, expectedLoadingMs);
}

/** First back-off; it doubles with each consecutive failure. */
const initialBackOffMs = 300;
const maxBackOffMs = 2000;
/** Weight of the newest request in the moving average of failures. */
const failureWeight = 0.15;

/** Records a failure and opens the circuit breaker. */
export function recordForwardFailure(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardTargetRow,
    reason: string,
): void {
    row.failures += 1;
    row.failureShare += (1 - row.failureShare) * failureWeight;
    const backOffMs = Math.min(maxBackOffMs, initialBackOffMs * 2 ** (row.failures - 1));
    row.backOffUntil = addMillis(tick.now, backOffMs);
    logWarning(world.effects, "target:", "Target failed; it gets no requests until the back-off ends.", {
        target: row.registration.id,
        reason,
        failures: row.failures,
        backOffMs,
    });
}

/** Allows the trial request at once: a target that has updated its registration is working and reaches the store. */
export function endBackOff(row: ForwardTargetRow, now: Millis): void {
    if (row.backOffUntil > now) {
        row.backOffUntil = now;
    }
}

/** Records a failed answer of a target that otherwise works: it is less preferred, but its circuit stays closed. */
export function recordErrorAnswer(row: ForwardTargetRow): void {
    row.failureShare += (1 - row.failureShare) * failureWeight;
}

/** Records an answer that shows that the target works. */
export function recordForwardSuccess(world: ForwardWorld, row: ForwardTargetRow): void {
    if (row.backOffUntil > 0) {
        logInfo(world.effects, "target:", "Target works again.", { target: row.registration.id });
    }
    row.failures = 0;
    row.failureShare *= 1 - failureWeight;
    row.backOffUntil = 0 as Millis;
    row.trialRequest = undefined;
}
