/** Follows engines that end while they run requests, and records which prompt parts may have caused it. */
import { logWarning } from "../../effects";
import type { Millis, TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import { addSuspect, type CrashRow } from "../tables/crashes";
import type { ForwardAttempt, ForwardRequestRow } from "../tables/requests";
import type { ForwardWorld } from "../world";

/**
 * An engine that answered a request for this long before it ended did not end because of that request: a prompt that
 * crashes engines does so when its answer begins. Covers the time for the end of the connection to be noticed.
 */
const begunAnswerMs = 200;
/** A response that arrives later than this after a request was lost shows that the engine has not ended. */
const lateResponseMs = 50;
/** An unconfirmed row is dropped after this time: the next calls to an engine that ended are refused sooner. */
const maxUnconfirmedMs = 3000;

/** True when the answer began long enough ago to show that the prompt does not crash its engine. */
export const hasBegunSafely = ({ firstEventAt }: ForwardAttempt, now: Millis): boolean =>
    firstEventAt !== undefined && now - firstEventAt > begunAnswerMs;

/** Ids of the parts that the prompt may share with others: all but the last. */
const listSharedParts = ({ arrival }: ForwardRequestRow) => arrival.parts.slice(0, -1).map(({ id }) => id);

/**
 * Records a request whose connection ended without a complete answer. Requests to targets that are leaving or gone are
 * expected to be cut.
 */
export function recordLostAttempt(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    attempt: ForwardAttempt,
): void {
    const target = world.tables.targets.get(attempt.target);
    const parts = listSharedParts(row);
    if (!target || target.registration.isLeaving || parts.length === 0) {
        return;
    }
    const hasBegun = hasBegunSafely(attempt, tick.now);
    logWarning(world.effects, "target:", "A request was lost with its connection to an engine.", {
        request: row.id,
        target: attempt.target,
        sharedParts: parts,
        answerMs: attempt.firstEventAt === undefined ? undefined : Math.round(tick.now - attempt.firstEventAt),
        isSuspect: !hasBegun,
    });
    const crash = world.tables.crashes.add(attempt.target, tick.now);
    if (!hasBegun) {
        parts.forEach((part, depth) => {
            addSuspect(crash, part, depth);
        });
    }
}

/** Marks the engine's end as certain. */
export function confirmCrash(world: ForwardWorld, crash: CrashRow, evidence: string): void {
    if (crash.isConfirmed) {
        return;
    }
    crash.isConfirmed = true;
    world.effects.append({ kind: "addCount", name: "engine_crashes_total", value: 1, labels: {} });
    logWarning(world.effects, "target:", "An engine has ended unexpectedly.", {
        target: crash.target,
        evidence,
        suspects: [...crash.suspects.keys()],
    });
}

/** A refused connection shows that the process at the address has ended, unless its end was planned. */
function recordRefusedConnection(world: ForwardWorld, tick: ForwardTick, id: TargetId): void {
    const target = world.tables.targets.get(id);
    const isEngine = (target?.registration.weights.size ?? 0) > 0;
    if (target && isEngine && !target.registration.isLeaving) {
        confirmCrash(world, world.tables.crashes.add(id, tick.now), "its address refused a connection");
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
 * Reads: targets. Writes: crashes.
 * Effects: counts, log lines.
 */
export function followCrashes(world: ForwardWorld, tick: ForwardTick): void {
    const { crashes } = world.tables;
    for (const { request, attempt, fault } of tick.events.list("attemptFailed")) {
        const row = world.tables.requests.get(request);
        const target = row?.attempts.find(({ number }) => number === attempt)?.target;
        if (fault === "connection_refused" && target !== undefined) {
            recordRefusedConnection(world, tick, target);
        }
    }
    for (const { target, isConnectionRefused } of tick.events.list("partsReadFailed")) {
        if (isConnectionRefused) {
            recordRefusedConnection(world, tick, target);
        }
    }
    removeUnconfirmed(world, tick);
    crashes.removeOld(tick.now);
}
