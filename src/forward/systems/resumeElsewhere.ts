/** Moves streams away from engines that wait for their runs to end before they load weights. */
import { logInfo } from "../../effects";
import { type TargetId, toTargetId } from "../../ids";
import { reserveRetry } from "../../policy/retryBudget";
import type { ForwardTick } from "../events";
import { findOpenAttempt, type ForwardAttempt, type ForwardRequestRow } from "../tables/requests";
import { isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { isKeyWithdrawn } from "./requestEnd";

/** Part of the retry budget's burst that moves leave for requests that fail. */
const moveReserve = 0.2;

/** Retries that a move reserves: one to be sent on, and one in case that the next engine refuses the stream. */
const movedRetries = 2;

/** True when another engine can go on with the stream now. */
function hasOther(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, from: TargetId): boolean {
    return world.tables.targets.listService(row.service).some(target =>
        target.registration.id !== from
        && tick.now >= target.loadingUntil
        && isWorking(target, tick.now)
    );
}

/** A stream that has begun and may be resumed; each move uses up one of its targets and the retry budget. */
function canMove(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow, from: TargetId): boolean {
    const budget = world.tables.retryBudgets.get(row.service);
    return row.route.isResumable
        && row.hasFirstEvent
        && row.attempts.length < row.route.maxTargets
        // A request whose key was withdrawn is sent to nobody any more; its stream ends where it runs.
        && !isKeyWithdrawn(world, row)
        && (budget === undefined || budget.level >= Math.max(movedRetries, budget.burst * moveReserve))
        && hasOther(world, tick, row, from);
}

function startMove(world: ForwardWorld, row: ForwardRequestRow, { number, target }: ForwardAttempt): void {
    const budget = world.tables.retryBudgets.get(row.service);
    if (budget) {
        for (let count = 0; count < movedRetries; count += 1) {
            reserveRetry(budget);
        }
        row.hasSpareRetry = true;
    }
    world.effects.append({ kind: "moveAttempt", request: row.id, attempt: number });
    logInfo(world.effects, "stream:", "Stream leaves an engine that loads weights.", {
        request: row.id,
        target,
        attempt: number,
        budgetLeft: budget?.level,
    });
}

/**
 * Reads: configuration, targets, requests. Writes: retry budgets; the attempts end by the events that follow.
 * Effects: attempts that end, log lines.
 */
export function resumeElsewhere(world: ForwardWorld, tick: ForwardTick): void {
    // A leaving process gets no new requests, which would refill its retry budget.
    if (world.tables.node.state === "leaving") {
        return;
    }
    for (const key of tick.due.listKeys("streamMove")) {
        const target = world.tables.targets.get(toTargetId(key));
        if (!target || tick.now >= target.loadingUntil) {
            continue;
        }
        for (const id of target.work.keys()) {
            const row = world.tables.requests.get(id);
            const attempt = row && findOpenAttempt(row, row.attempts.length);
            if (row && attempt && canMove(world, tick, row, target.registration.id)) {
                startMove(world, row, attempt);
            }
        }
    }
}
