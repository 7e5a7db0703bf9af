/** Counts answers and failures of service versions on trial, and of the old versions beside them. */
import type { RequestId, RouteId } from "../../ids";
import type { AttemptFault } from "../calls";
import type { ForwardEventOf, ForwardTick } from "../events";
import { recordResponse } from "../policy/responseHistogram";
import { isOldVersion } from "../policy/serviceRolloutRules";
import { createSideCounts, type SideCounts } from "../policy/versionVerdict";
import {
    findOpenAttempt,
    formatAttemptKey,
    type ForwardAttempt,
    type ForwardRequestRow,
    parseAttemptKey,
} from "../tables/requests";
import type { ServiceRolloutRow, VersionedAttempt } from "../tables/serviceRollouts";
import type { ForwardWorld } from "../world";

/** Faults of the target's version. Connections that were not made say nothing about answers. */
const versionFaults: Readonly<Partial<Record<AttemptFault, AttemptEnd>>> = {
    closed: "lost",
    cut_short: "lost",
    target_ended: "lost",
    end_unconfirmed: "lost",
    too_long: "failed",
    malformed: "failed",
    mismatched: "failed",
    unsigned: "failed",
};
/** Statuses with which a target refuses a request as not run. */
const refusalStatuses: ReadonlySet<number> = new Set([421, 429]);
/** An attempt that began later than this fraction of the request's time is not at fault when that time ends. */
const minDeadlineFraction = 0.5;

/** How an attempt ended: an answer, a failed answer, no answer, or an end that says nothing about the target. */
type AttemptEnd = "answered" | "failed" | "lost" | "none";

/** An open attempt with its version. */
interface OpenAttempt {
    readonly row: ForwardRequestRow;
    readonly attempt: ForwardAttempt;
    readonly versioned: VersionedAttempt;
}

function findVersioned(world: ForwardWorld, request: RequestId, number: number): OpenAttempt | undefined {
    const row = world.tables.requests.get(request);
    const attempt = row && findOpenAttempt(row, number);
    const versioned = world.tables.serviceRollouts.attempts.get(formatAttemptKey(request, number));
    return row && attempt && versioned ? { row, attempt, versioned } : undefined;
}

/** Counts of the attempt's side; undefined for an attempt of an earlier order or of neither side. */
function findSide(
    rollout: ServiceRolloutRow,
    { route, target, version, orderRevision }: VersionedAttempt,
): SideCounts | undefined {
    const { current, evidence } = rollout;
    if (!current || orderRevision !== current.orderRevision) {
        return undefined;
    }
    const isNew = version === current.to;
    if (!isNew && !isOldVersion(current, version)) {
        return undefined;
    }
    const counts = isNew ? evidence.servers.get(target) ?? new Map<RouteId, SideCounts>() : evidence.old;
    if (isNew) {
        evidence.servers.set(target, counts);
    }
    const side = counts.get(route) ?? createSideCounts();
    counts.set(route, side);
    return side;
}

function recordEnd(
    world: ForwardWorld,
    tick: ForwardTick,
    { attempt, versioned }: OpenAttempt,
    end: AttemptEnd,
): void {
    const rollout = world.tables.serviceRollouts.rows.get(versioned.service);
    if (!rollout || versioned.isCounted) {
        return;
    }
    versioned.isCounted = true;
    const side = end === "none" ? undefined : findSide(rollout, versioned);
    if (!side) {
        return;
    }
    side.answers += 1;
    if (end !== "answered") {
        side.failures += 1;
        side.lost += end === "lost" ? 1 : 0;
        return;
    }
    if (versioned.hasComparableTime) {
        recordResponse(side.responses, (attempt.firstEventAt ?? tick.now) - versioned.sentAt);
    }
    if (versioned.version !== rollout.current?.to) {
        recordResponse(rollout.oldDurations, tick.now - versioned.sentAt);
    }
}

/** How an answer counts; undefined for one that goes on as a stream. */
function computeAnswerEnd(
    { row }: OpenAttempt,
    { status, headerFields, isOpenStream }: ForwardEventOf<"attemptAnswered">,
): AttemptEnd | undefined {
    const { attemptId, isNotRun, isMisdirected, isSigned } = headerFields;
    if (isNotRun || isMisdirected || refusalStatuses.has(status)) {
        return "none";
    }
    const isOfOther = attemptId !== undefined && attemptId !== row.arrival.attemptId;
    if (status >= 500 || isOfOther || (status < 300 && !isSigned)) {
        return "failed";
    }
    return isOpenStream ? undefined : "answered";
}

type EndingKind = "attemptAnswered" | "attemptSilent" | "attemptFinished" | "attemptFailed";

const endHandlers: {
    readonly [Kind in EndingKind]: (open: OpenAttempt, event: ForwardEventOf<Kind>) => AttemptEnd | undefined;
} = {
    attemptAnswered: computeAnswerEnd,
    attemptSilent: () => "lost",
    attemptFinished: () => "answered",
    attemptFailed: (_open, { fault }) => versionFaults[fault] ?? "none",
};

function handleEvents<Kind extends EndingKind>(world: ForwardWorld, tick: ForwardTick, kind: Kind): void {
    for (const event of tick.events.list(kind) as readonly ForwardEventOf<EndingKind>[]) {
        const open = findVersioned(world, event.request, event.attempt);
        const end = open && (endHandlers[kind] as (typeof endHandlers)["attemptSilent"])(open, event as never);
        if (open && end) {
            recordEnd(world, tick, open, end);
        }
    }
}

/** Counts targets that have sent nothing within the idle time-out of an attempt, unless they are only busy. */
function recordIdleAttempts(world: ForwardWorld, tick: ForwardTick): void {
    for (const key of tick.due.listKeys("attemptIdleTimeout")) {
        const { request, attempt: number } = parseAttemptKey(key);
        const open = findVersioned(world, request, number);
        const target = open && world.tables.targets.get(open.attempt.target);
        const isBusy = open !== undefined && open.row.route.kind === "stream" && target !== undefined
            && target.lastResponseAt >= open.attempt.sentAt;
        if (open?.attempt.evidence.answer === "none" && !isBusy) {
            recordEnd(world, tick, open, "lost");
        }
    }
}

/** Counts targets that have not answered when the time of a request ends. */
function recordOverdueAttempts(world: ForwardWorld, tick: ForwardTick): void {
    for (const id of tick.due.listKeys("requestDeadline") as readonly RequestId[]) {
        const row = world.tables.requests.get(id);
        const open = row && findVersioned(world, id, row.attempts.length);
        const wholeMs = row ? row.deadline - row.arrival.arrivedAt : 0;
        if (open && tick.now - open.attempt.sentAt >= wholeMs * minDeadlineFraction) {
            recordEnd(world, tick, open, "lost");
        }
    }
}

/**
 * Reads: requests, targets. Writes: service rollouts (evidence). Runs before the systems that end attempts. Effects: none.
 */
export function recordServiceAnswers(world: ForwardWorld, tick: ForwardTick): void {
    if (world.tables.serviceRollouts.attempts.size === 0) {
        return;
    }
    handleEvents(world, tick, "attemptAnswered");
    handleEvents(world, tick, "attemptFinished");
    handleEvents(world, tick, "attemptSilent");
    handleEvents(world, tick, "attemptFailed");
    recordIdleAttempts(world, tick);
    recordOverdueAttempts(world, tick);
}
