/** Follows engines that end while they run requests, and records which prompt parts may have caused it. */
import { logWarning } from "../../effects";
import { addMillis, type Millis, type TargetId, toMillis } from "../../ids";
import type { ForwardTick } from "../events";
import { addSuspect, type CrashRow } from "../tables/crashes";
import { findOpenAttempt, type ForwardAttempt, type ForwardRequestRow, listSharedParts } from "../tables/requests";
import type { ForwardWorld } from "../world";
import { computeExchangeIntervalMs } from "./accountUsage";
import { recordRefusedConnection } from "./targetHealth";

/**
 * An engine that answered a request for this long before it ended did not end because of that request: a prompt that
 * crashes engines does so when its answer begins. Covers the time for the end of the connection to be noticed.
 */
const begunAnswerMs = 200;
/** A response that arrives later than this after a request was lost shows that the engine has not ended. */
const lateResponseMs = 50;
/** An unconfirmed row is dropped after this time: by then the registration of an engine that ended has expired. */
const maxUnconfirmedMs = 8000;

/** True when the answer began long enough ago to show that the prompt does not crash its engine. */
export const hasBegunSafely = ({ firstEventAt }: ForwardAttempt, now: Millis): boolean =>
    firstEventAt !== undefined && now - firstEventAt > begunAnswerMs;

/** Records the parts of a prompt as answered. */
export function recordAnsweredParts(world: ForwardWorld, row: ForwardRequestRow, answeredAt: Millis): void {
    for (const part of listSharedParts(row)) {
        world.tables.answeredParts.record(part, answeredAt);
    }
}

/** Records the parts of running requests whose answers have begun and did not crash their engines. */
export function recordBegunAnswers(world: ForwardWorld, tick: ForwardTick): void {
    for (const row of world.tables.requests.list("running")) {
        const attempt = findOpenAttempt(row, row.attempts.length);
        if (attempt?.firstEventAt !== undefined && hasBegunSafely(attempt, tick.now)) {
            recordAnsweredParts(world, row, attempt.firstEventAt);
        }
    }
}

/** Exchanges with a peer after which both know each other's reports of a crash and what clears its suspects. */
const settleExchanges = 2;
const settleMarginMs = 50;
/** In a large fleet crashes are judged before all processes have reported, so that fewer engines end meanwhile. */
const maxSettleMs = 1000;

/** Time after a crash in which the other processes report their lost requests. */
export const computeSettleMs = (world: ForwardWorld): number =>
    Math.min(maxSettleMs, settleExchanges * computeExchangeIntervalMs(world) + settleMarginMs);

/** Schedules the judgement of the crash for the time when all processes have reported. */
export function scheduleCrashEvaluation(world: ForwardWorld, tick: ForwardTick, { failedAt }: CrashRow): void {
    const settledAt = addMillis(failedAt, computeSettleMs(world));
    world.timers.schedule({ name: "crashEvaluation", at: toMillis(Math.max(tick.now, settledAt)) });
}

/** True when the end of the target would be unexpected and the request shares parts with others. */
function canBeSuspect(world: ForwardWorld, row: ForwardRequestRow, { target: id }: ForwardAttempt): boolean {
    const target = world.tables.targets.get(id);
    return target !== undefined && !target.registration.isLeaving && listSharedParts(row).length > 0;
}

/** Records that the connection of a request ended, which may be because its engine did. */
export function recordConnectionEnd(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
): void {
    if (!canBeSuspect(world, row, attempt)) {
        return;
    }
    const crash = world.tables.crashes.add(attempt.target, tick.now);
    if (attempt.firstEventAt !== undefined && hasBegunSafely(attempt, tick.now)) {
        recordAnsweredParts(world, row, attempt.firstEventAt);
        return;
    }
    listSharedParts(row).forEach((part, depth) => {
        addSuspect(crash, part, depth);
    });
    if (crash.isConfirmed) {
        scheduleCrashEvaluation(world, tick, crash);
    }
}

/** Records a request whose connection ended without a complete answer. */
export function recordLostAttempt(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
): void {
    if (!canBeSuspect(world, row, attempt)) {
        return;
    }
    logWarning(world.effects, "target:", "A request was lost with its connection to an engine.", {
        request: row.id,
        target: attempt.target,
        sharedParts: listSharedParts(row),
        answerMs: attempt.firstEventAt === undefined ? undefined : Math.round(tick.now - attempt.firstEventAt),
        isSuspect: !hasBegunSafely(attempt, tick.now),
    });
    recordConnectionEnd(world, tick, row, attempt);
}

/** Marks the engine's end as certain. */
export function confirmCrash(world: ForwardWorld, tick: ForwardTick, crash: CrashRow, evidence: string): void {
    if (crash.isConfirmed) {
        return;
    }
    crash.isConfirmed = true;
    scheduleCrashEvaluation(world, tick, crash);
    world.effects.append({ kind: "addCount", name: "engine_crashes_total", value: 1, labels: {} });
    logWarning(world.effects, "target:", "An engine has ended unexpectedly.", {
        target: crash.target,
        evidence,
        suspects: [...crash.suspects.keys()],
    });
}

/** Confirms the end of an engine of which requests were lost or connections refused, if any. */
export function confirmRecordedCrash(world: ForwardWorld, tick: ForwardTick, target: TargetId, evidence: string): void {
    const crash = world.tables.crashes.get(target);
    if (crash) {
        confirmCrash(world, tick, crash, evidence);
    }
}

/** A refused connection shows that the process at the address has ended, unless its end was planned. */
function recordEndedTarget(world: ForwardWorld, tick: ForwardTick, id: TargetId): void {
    const target = world.tables.targets.get(id);
    if (target) {
        recordRefusedConnection(world, tick, target);
    }
    const isEngine = (target?.registration.weights.size ?? 0) > 0;
    if (target && isEngine && !target.registration.isLeaving) {
        confirmCrash(world, tick, world.tables.crashes.add(id, tick.now), "its address refused a connection");
    }
}

/** Drops rows of engines that have answered again, and those that were never confirmed. */
function removeUnconfirmed(world: ForwardWorld, tick: ForwardTick): void {
    const { crashes, targets } = world.tables;
    for (const { target, failedAt, isConfirmed } of crashes.list()) {
        const lastResponseAt = targets.get(target)?.lastResponseAt ?? 0;
        const isOver = tick.now - failedAt > maxUnconfirmedMs || lastResponseAt - failedAt > lateResponseMs;
        if (!isConfirmed && isOver) {
            crashes.remove(target);
        }
    }
}

/**
 * Reads: requests. Writes: targets, crashes, answered parts.
 * Effects: counts, log lines.
 */
export function followCrashes(world: ForwardWorld, tick: ForwardTick): void {
    for (const { request, attempt, fault } of tick.events.list("attemptFailed")) {
        const row = world.tables.requests.get(request);
        const target = row?.attempts.find(({ number }) => number === attempt)?.target;
        if ((fault === "connection_refused" || fault === "target_ended") && target !== undefined) {
            recordEndedTarget(world, tick, target);
        }
    }
    for (const { target, isConnectionRefused } of tick.events.list("partsReadFailed")) {
        if (isConnectionRefused) {
            recordEndedTarget(world, tick, target);
        }
    }
    removeUnconfirmed(world, tick);
}
