/** Failures of targets that processes tell each other in large fleets. Shared by systems. */
import { logInfo } from "../../effects";
import { addMillis, type TargetId, toMillis } from "../../ids";
import type { ForwardTick } from "../events";
import type { PeerState } from "../peers";
import { estimateFailureShare, isUnreachable } from "../policy/failureEvidence";
import type { OutcomeRow } from "../tables/targetOutcomes";
import type { ForwardTargetRow } from "../tables/targets";
import type { ForwardWorld } from "../world";
import { computeExchangeIntervalMs } from "./accountUsage";
import { canEstimateLoad } from "./engineLoad";

/** Reasons of failures in which nothing came from the target. */
const silentReasons: ReadonlySet<string> = new Set(["silent", "connect"]);
/** Failures are told until they are this old, or twice the exchange interval where that is longer. */
const minReportAgeMs = 5000;

const computeMaxAgeMs = (world: ForwardWorld): number => Math.max(minReportAgeMs, 2 * computeExchangeIntervalMs(world));

/** A small fleet learns from its own requests fast enough. */
const canShareFailures = (world: ForwardWorld): boolean =>
    world.settings.routing.sharesFailures && canEstimateLoad(world);

/** Records a failed request for the reports to peers. */
export function recordFailedOutcome(world: ForwardWorld, tick: ForwardTick, target: TargetId, reason: string): void {
    if (canShareFailures(world)) {
        world.tables.targetOutcomes.recordFailure(target, silentReasons.has(reason), tick.now);
    }
}

/** Failures of this process's requests: target, failed, answered, and ages of the last failure and silence (-1: none). */
export function buildFailureReports(world: ForwardWorld, tick: ForwardTick): Pick<PeerState, "failures"> {
    const failures = [...world.tables.targetOutcomes.own].map(([target, { failed, answered, failedAt, silentAt }]) =>
        [
            target,
            failed,
            answered,
            Math.round(tick.now - failedAt),
            silentAt > 0 ? Math.round(tick.now - silentAt) : -1,
        ] as const
    );
    return failures.length > 0 ? { failures } : {};
}

/** Removes failures of this process and of its peers that are too old to say anything. */
export function removeOutdatedFailures(world: ForwardWorld, tick: ForwardTick): void {
    world.tables.targetOutcomes.removeOutdated(tick.now, computeMaxAgeMs(world));
}

/** Applies the failures that a peer reports. */
export function applyFailureReports(world: ForwardWorld, tick: ForwardTick, { vm, failures = [] }: PeerState): void {
    if (!canShareFailures(world)) {
        return;
    }
    const reports = new Map<TargetId, OutcomeRow>(
        failures.filter(([target]) => world.tables.targets.get(target) !== undefined).map((
            [target, failed, answered, failedAgeMs, silentAgeMs],
        ) => [target, {
            failed,
            answered,
            startedAt: addMillis(tick.now, -failedAgeMs),
            failedAt: addMillis(tick.now, -failedAgeMs),
            silentAt: silentAgeMs < 0 ? toMillis(0) : addMillis(tick.now, -silentAgeMs),
        }]),
    );
    world.tables.targetOutcomes.applyReports(vm, reports);
}

/** Fraction of requests that the target fails: by own requests, or by those of the fleet where that is more. */
export function computeFailureShare(world: ForwardWorld, target: ForwardTargetRow): number {
    if (!canShareFailures(world)) {
        return target.failureShare;
    }
    const reports = world.tables.targetOutcomes.listReports(target.registration.id);
    return Math.max(target.failureShare, estimateFailureShare(reports));
}

/** True when other processes found the target unreachable since it last answered this one. */
export function isReportedUnreachable(world: ForwardWorld, target: ForwardTargetRow): boolean {
    if (!canShareFailures(world)) {
        return false;
    }
    const { id } = target.registration;
    const isUnreachableNow = isUnreachable(world.tables.targetOutcomes.listReports(id), target.lastResponseAt);
    if (isUnreachableNow !== target.isReportedUnreachable) {
        target.isReportedUnreachable = isUnreachableNow;
        logInfo(
            world.effects,
            "target:",
            isUnreachableNow
                ? "Several processes cannot reach the target; it gets requests only when there is no other."
                : "The target is no longer reported as unreachable.",
            { target: id },
        );
    }
    return isUnreachableNow;
}
