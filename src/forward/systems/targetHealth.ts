/** Circuits of targets: evidence from requests alone, since a health answer may be wrong either way. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis } from "../../ids";
import type { ForwardTick } from "../events";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** An engine that has taken an order gets nothing for this long, unless it shows the new weights earlier. */
const loadingMs = 900;

/** A full target gets nothing more for this long. */
export const fullBackOffMs = 60;

export function expectLoading(row: ForwardTargetRow, now: Millis): void {
    row.loadingUntil = addMillis(now, loadingMs);
}

/** First back-off; doubled with each further failure. */
const firstBackOffMs = 300;
const longestBackOffMs = 2000;
/** Weight of the newest request in the moving share of failures. */
const failureWeight = 0.15;

/** Records a failure and opens the circuit. */
export function recordForwardFailure(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardTargetRow,
    reason: string,
): void {
    row.failures += 1;
    row.failureShare += (1 - row.failureShare) * failureWeight;
    const backOffMs = Math.min(longestBackOffMs, firstBackOffMs * 2 ** (row.failures - 1));
    row.backOffUntil = addMillis(tick.now, backOffMs);
    logWarning(world.effects, "target:", "Target is backed off.", {
        target: row.registration.id,
        reason,
        failures: row.failures,
        backOffMs,
    });
}

/** Lets a trial pass at once. A target that has registered something new works and reaches the store. */
export function endBackOff(row: ForwardTargetRow, now: Millis): void {
    if (row.backOffUntil > now) {
        row.backOffUntil = now;
    }
}

/** Records a failed answer of a target that works otherwise; it only loses preference. */
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
    row.trial = undefined;
}
