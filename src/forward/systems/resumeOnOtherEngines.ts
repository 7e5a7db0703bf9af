/** Moves streams off engines that wait for their running requests to end before they load new weights. */
import { logInfo } from "../../effects";
import { type TargetId, toTargetId } from "../../ids";
import { reserveRetry } from "../../policy/retryBudget";
import type { ForwardTick } from "../events";
import { findOpenAttempt, type ForwardAttempt, type ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";
import { hasOtherTarget } from "./eligibleTargets";
import { isKeyWithdrawn } from "./requestEnd";

/** Fraction of the retry budget's burst that is kept for failed requests and not used by moves. */
const moveReserveFraction = 0.2;

/** Retries that a move reserves: one for the new attempt, and one in case the next engine refuses the stream. */
const retriesPerMove = 2;

/** True when the stream has begun and may be resumed. Moves count against `maxTargets` and the retry budget. */
function canMove(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, from: TargetId): boolean {
    const budget = world.tables.retryBudgets.get(row.service);
    return row.route.isResumable
        && row.hasFirstEvent
        && row.attempts.length < row.route.maxTargets
        // A request whose key was withdrawn gets no new attempts; its stream ends on the engine that runs it.
        && !isKeyWithdrawn(world, row)
        && (budget === undefined || budget.level >= Math.max(retriesPerMove, budget.burst * moveReserveFraction))
        && hasOtherTarget(world, tick, row, from);
}

function startMove(world: ForwardWorld, row: ForwardRequestRow, { number, target }: ForwardAttempt): void {
    const budget = world.tables.retryBudgets.get(row.service);
    if (budget) {
        for (let count = 0; count < retriesPerMove; count += 1) {
            reserveRetry(budget);
        }
        row.hasExtraRetryReserved = true;
    }
    world.effects.append({ kind: "moveAttempt", request: row.id, attempt: number, fault: "moved" });
    logInfo(world.effects, "stream:", "Stream is moved off an engine that is about to load weights.", {
        request: row.id,
        target,
        attempt: number,
        budgetLeft: budget?.level,
    });
}

/**
 * Reads: configuration, targets, requests. Writes: requests (reserved retries), retry budgets; the attempts end with
 * the events that follow.
 * Effects: attempts that end, log lines.
 */
export function resumeOnOtherEngines(world: ForwardWorld, tick: ForwardTick): void {
    // A leaving process moves no streams: it gets no new requests, which would refill its retry budget.
    if (world.tables.node.state === "leaving") {
        return;
    }
    for (const key of tick.due.listKeys("streamMove")) {
        const target = world.tables.targets.get(toTargetId(key));
        if (!target || tick.now >= target.unavailableUntil) {
            continue;
        }
        for (const id of target.inFlight.keys()) {
            const row = world.tables.requests.get(id);
            const attempt = row && findOpenAttempt(row, row.attempts.length);
            if (row && attempt && canMove(world, tick, row, target.registration.id)) {
                startMove(world, row, attempt);
            }
        }
    }
}
