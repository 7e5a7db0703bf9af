/**
 * Attempts whose targets send nothing. One is given up only when another target can take the request, since a target that
 * is paused or cut off for a moment may still finish the answer. Shared by systems.
 */
import { logWarning } from "../../effects";
import { addMillis } from "../../ids";
import { reserveRetry } from "../../policy/retryBudget";
import type { ForwardTick } from "../events";
import {
    findOpenAttempt,
    formatAttemptKey,
    type ForwardAttempt,
    type ForwardRequestRow,
    type MissingResource,
    parseAttemptKey,
} from "../tables/requests";
import type { ForwardWorld } from "../world";
import { hasOtherTarget } from "./eligibleTargets";
import { recordTransferDelay } from "./partStores";
import { canRepeat, closeAttempt, isRepeatAllowed, requeueRequest } from "./repeatRequests";
import { recordErrorAnswer, recordForwardFailure } from "./targetHealth";
import { findQuarantine } from "./updateQuarantine";

/** Interval at which another target is looked for while that of a request is silent. */
const silentCheckMs = 100;
/** Records that the target sends nothing in the attempt; one that answers other requests is only less preferred. */
export function recordSilence(world: ForwardWorld, tick: ForwardTick, attempt: ForwardAttempt): void {
    const target = world.tables.targets.get(attempt.target);
    attempt.silentSince = tick.now;
    if (target && target.lastResponseAt >= attempt.sentAt && attempt.evidence.answer === "none") {
        recordErrorAnswer(target);
    }
    else if (target) {
        recordForwardFailure(world, tick, target, "silent");
    }
}

/** What keeps the request from being sent to another target now; undefined when nothing does. */
function findMissingResource(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    { target }: ForwardAttempt,
): MissingResource | undefined {
    if (!isRepeatAllowed(tick, row) || findQuarantine(world, tick, row)) {
        return "permission";
    }
    if (!hasOtherTarget(world, tick, row, target)) {
        return "target";
    }
    return canRepeat(world, tick, row) ? undefined : "retry budget";
}

/**
 * Gives a silent attempt up once the request can be sent to another target. Until then the attempt goes on: its target
 * may be paused or cut off for a moment and still finish the answer.
 */
export function moveSilentAttempt(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
): void {
    const missing = findMissingResource(world, tick, row, attempt);
    if (missing) {
        waitForSilentTarget(world, tick, row, attempt, missing);
        return;
    }
    const budget = world.tables.retryBudgets.get(row.service);
    if (budget) {
        reserveRetry(budget);
    }
    attempt.silentSince = undefined;
    if (attempt.evidence.answer === "none") {
        closeAttempt(world, row, attempt, "silent");
        requeueRequest(world, row, "silent");
        return;
    }
    // The adapter knows which events the caller has.
    world.effects.append({ kind: "moveAttempt", request: row.id, attempt: attempt.number, fault: "silent" });
}

/** Logs once for each reason why a request stays at its silent target, and schedules the next look. */
function waitForSilentTarget(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
    missing: MissingResource,
): void {
    const at = addMillis(tick.now, silentCheckMs);
    world.timers.schedule({ name: "silentAttempt", at, key: formatAttemptKey(row.id, attempt.number) });
    if (row.waitsFor === missing) {
        return;
    }
    row.waitsFor = missing;
    world.effects.append({ kind: "addCount", name: "waits_total", value: 1, labels: { missing } });
    logWarning(world.effects, "stream:", "Target is silent; the request keeps waiting for it.", {
        request: row.id,
        target: attempt.target,
        missing,
        silentMs: Math.round(tick.now - (attempt.silentSince ?? tick.now)),
        lastEventId: row.lastEventId,
        budgetLeft: world.tables.retryBudgets.get(row.service)?.level,
        timeLeftMs: Math.round(row.deadline - tick.now),
    });
}

/** Looks again at attempts that were found silent, and finds those whose target has not answered in time. */
export function retrySilent(world: ForwardWorld, tick: ForwardTick): void {
    for (const key of tick.due.listKeys("silentAttempt")) {
        const { request, attempt: number } = parseAttemptKey(key);
        const row = world.tables.requests.get(request);
        const attempt = row && findOpenAttempt(row, number);
        if (row && attempt?.silentSince !== undefined) {
            moveSilentAttempt(world, tick, row, attempt);
        }
    }
    for (const key of tick.due.listKeys("attemptIdleTimeout")) {
        const { request, attempt: number } = parseAttemptKey(key);
        const row = world.tables.requests.get(request);
        const attempt = row && findOpenAttempt(row, number);
        if (!row || !attempt || attempt.evidence.answer !== "none") {
            continue;
        }
        // An engine that has answered other requests meanwhile is only busy, and a stream keeps waiting in its queue.
        const target = world.tables.targets.get(attempt.target);
        const isBusy = target !== undefined && target.lastResponseAt >= attempt.sentAt;
        recordTransferDelay(world, tick, attempt);
        if (row.route.kind !== "stream" || !isBusy) {
            recordSilence(world, tick, attempt);
            moveSilentAttempt(world, tick, row, attempt);
        }
    }
}
