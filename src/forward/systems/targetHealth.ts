/** Circuit breakers of targets. They use the results of requests only, since health checks can be wrong either way. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis } from "../../ids";
import type { ForwardTick } from "../events";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { recordFailedOutcome } from "./failureReports";

/** An engine that was ordered to load weights gets no requests for this long, unless it reports them earlier. */
const expectedLoadingMs = 900;

/** An overloaded target gets no requests for this long. */
export const overloadBackOffMs = 60;

/** Expects the target to load weights; by default for the time that a load takes on an idle engine. */
export function expectLoading(row: ForwardTargetRow, now: Millis, loadingMs: number = expectedLoadingMs): void {
    row.unavailableUntil = addMillis(now, Math.max(expectedLoadingMs, loadingMs));
}

/** Longest time for which a target may ask for no requests; a longer one is taken for a fault of the target. */
const maxDeferralMs = 60_000;

/** Sends the target nothing for the time that it asked for. */
export function recordDeferral(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardTargetRow,
    retryAfterMs: number,
): void {
    row.deferredUntil = addMillis(tick.now, Math.min(maxDeferralMs, retryAfterMs));
    logInfo(world.effects, "target:", "Target asked for no requests for some time.", {
        target: row.registration.id,
        retryAfterMs,
    });
}

/**
 * Milliseconds until the first of the targets wants requests again. 0 when one takes them now, or when there is none
 * that stays.
 */
export function computeDeferralMs(targets: readonly ForwardTargetRow[], now: Millis): number {
    const staying = targets.filter(({ registration, removedAt }) => !registration.isLeaving && removedAt === undefined);
    const waits = staying.map(({ deferredUntil }) => deferredUntil - now);
    return waits.length === 0 ? 0 : Math.max(0, Math.min(...waits));
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
    recordFailedOutcome(world, tick, row.registration.id, reason);
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

/** Records that the target's address refused a connection: no process listens there. */
export function recordRefusedConnection(world: ForwardWorld, tick: ForwardTick, row: ForwardTargetRow): void {
    if (row.refusedAt === undefined) {
        logWarning(world.effects, "target:", "Target has ended; it gets no requests while another one takes them.", {
            target: row.registration.id,
        });
    }
    row.refusedAt = tick.now;
}

/** Records that the target runs: it answered something, or updated its registration. */
export function recordSignOfLife(world: ForwardWorld, row: ForwardTargetRow): void {
    if (row.refusedAt !== undefined) {
        logInfo(world.effects, "target:", "Target runs again.", { target: row.registration.id });
        row.refusedAt = undefined;
    }
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
    recordSignOfLife(world, row);
    world.tables.targetOutcomes.recordAnswer(row.registration.id);
    row.failures = 0;
    row.failureShare *= 1 - failureWeight;
    row.backOffUntil = 0 as Millis;
    row.trialRequest = undefined;
}
