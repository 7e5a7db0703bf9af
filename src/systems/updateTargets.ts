/** Tracks the state of targets: load reports, incarnations, cache events, circuit breakers, leaving targets. */
import { logInfo } from "../effects";
import { addMillis, type Millis } from "../ids";
import { isEngine, type TargetRow } from "../tables/targets";
import type { CacheEvent, TargetReport } from "../targets";
import type { Tick, World } from "../world";
import { recordOwnLoad, updateOtherLoad } from "./engineLoad";

/** Interval of reports while requests run or placement waits for reports; `idleReportIntervalMs` applies otherwise. */
const reportIntervalMs = 250;
/** Upper bound of the delay until an idle process detects that a target is leaving. */
const idleReportIntervalMs = 3000;
const minBackOffMs = 500;
const maxBackOffMs = 10_000;

export interface TargetFailureOptions {
    readonly failedBy?: "request" | "report";
    /** Consecutive failures that do not open a closed circuit. */
    readonly maxToleratedFailures?: number;
}

/**
 * Opens the circuit of a target, which excludes it from routing; the back-off doubles with each consecutive failure.
 * After the back-off one request is sent as a trial. Further failures during the back-off, of requests that were sent
 * before the circuit opened, are ignored.
 */
export function recordTargetFailure(
    world: World,
    tick: Tick,
    target: TargetRow,
    { failedBy = "request", maxToleratedFailures = 0 }: TargetFailureOptions = {},
): void {
    if (tick.now < target.backOffUntil) {
        return;
    }
    target.trialRequest = undefined;
    target.failures += 1;
    target.failedBy = failedBy;
    if (target.failures <= maxToleratedFailures && target.backOffUntil === 0) {
        return;
    }
    const waitMs = Math.min(maxBackOffMs, minBackOffMs * 2 ** (target.failures - 1));
    target.backOffUntil = addMillis(tick.now, waitMs * (0.75 + 0.5 * world.random()));
    world.timers.schedule({ name: "requestRetry", at: target.backOffUntil, key: target.id });
    logInfo(world.effects, "target:", "Target failed; its circuit is open.", {
        target: target.id,
        failures: target.failures,
    });
}

export function recordTargetSuccess(target: TargetRow): void {
    target.failures = 0;
    target.failedBy = undefined;
    target.backOffUntil = 0 as Millis;
    target.trialRequest = undefined;
}

function updateIncarnation(world: World, tick: Tick, target: TargetRow, report: TargetReport): void {
    if (target.incarnation === report.incarnation) {
        return;
    }
    logInfo(world.effects, "target:", "Target started with a new incarnation.", {
        target: target.id,
        incarnation: report.incarnation,
    });
    target.incarnation = report.incarnation;
    recordTargetSuccess(target);
    target.cacheValidFrom = tick.now;
    target.lastCacheEventSeq = 0;
    if (target.isFollowingCache) {
        target.isFollowingCache = false;
        world.effects.append({ kind: "stopCacheEvents", target: target.id });
    }
}

function handleReport(world: World, tick: Tick, target: TargetRow, report: TargetReport): void {
    updateIncarnation(world, tick, target, report);
    world.tables.targets.applyReport(target, report, tick.now);
    updateOtherLoad(target, report);
    // A report does not prove that the target answers requests: after a failed request only a trial closes the circuit.
    if (target.failedBy === "report") {
        recordTargetSuccess(target);
    }
}

/** Applies one cache event of the current incarnation. */
function applyCacheEvent(world: World, tick: Tick, target: TargetRow, event: CacheEvent): void {
    const { prefixes } = world.tables;
    const { incarnation } = target;
    if (event.kind === "cleared" || incarnation === undefined) {
        target.cacheValidFrom = tick.now;
        return;
    }
    for (const block of event.blocks) {
        if (event.kind === "stored") {
            prefixes.add(block, { target: target.id, incarnation, seenAt: tick.now });
        }
        else {
            prefixes.remove(block, target.id);
        }
    }
}

function handleCacheEvents(world: World, tick: Tick): void {
    for (const batch of tick.events.list("cacheEventsReceived")) {
        const target = world.tables.targets.get(batch.target);
        if (!target || target.incarnation !== batch.incarnation) {
            continue;
        }
        for (const event of batch.events) {
            if (event.seq > target.lastCacheEventSeq) {
                target.lastCacheEventSeq = event.seq;
                applyCacheEvent(world, tick, target, event);
            }
        }
    }
    for (const event of tick.events.list("cacheEventsClosed")) {
        const target = world.tables.targets.get(event.target);
        if (target) {
            target.isFollowingCache = false;
        }
    }
}

function followCacheEvents(world: World, target: TargetRow): void {
    if (!target.isFollowingCache && target.incarnation !== undefined && isEngine(target)) {
        target.isFollowingCache = true;
        world.effects.append({
            kind: "followCacheEvents",
            target: target.id,
            address: target.configuration.address,
            incarnation: target.incarnation,
            after: target.lastCacheEventSeq,
        });
    }
}

function handleVmList(world: World, tick: Tick): void {
    const { targets } = world.tables;
    const list = tick.events.list("vmListRead").at(-1);
    if (!list) {
        return;
    }
    const leavingBefore = new Set(targets.list().filter(target => target.isLeaving));
    targets.applyVmList(list.vms);
    for (const target of targets.list()) {
        if (target.isLeaving && !leavingBefore.has(target)) {
            logInfo(world.effects, "target:", "VM list reports the target's VM as leaving; it gets no new requests.", {
                target: target.id,
            });
        }
    }
}

/** True for a new target and when the report interval, longer on an idle process, has passed. */
function isReportDue(target: TargetRow, tick: Tick, isBusy: boolean): boolean {
    if (target.reportRequestedAt === undefined) {
        return true;
    }
    return tick.due.has("targetReports")
        && (isBusy || tick.now - target.reportRequestedAt >= idleReportIntervalMs - reportIntervalMs);
}

function readTargets(world: World, tick: Tick): void {
    const { orders, requests, targets } = world.tables;
    const isBusy = requests.count("running") > 0 || requests.count("queued") > 0 || orders.role.needsReports;
    for (const target of targets.list()) {
        if (isEngine(target) && isReportDue(target, tick, isBusy)) {
            target.reportRequestedAt = tick.now;
            recordOwnLoad(target, tick.now);
            world.effects.append({ kind: "readTarget", target: target.id, address: target.configuration.address });
            followCacheEvents(world, target);
        }
    }
}

/**
 * Reads: requests, orders. Writes: targets, prefixes.
 * Effects: target reads, cache event streams, log lines.
 */
export function updateTargets(world: World, tick: Tick): void {
    const { targets } = world.tables;
    if (tick.number === 1) {
        world.timers.subscribe({ name: "targetReports", everyMs: reportIntervalMs }, tick.now);
    }
    for (const event of tick.events.list("targetReported")) {
        const target = targets.get(event.target);
        if (target) {
            handleReport(world, tick, target, event.report);
        }
    }
    for (const event of tick.events.list("targetUnreachable")) {
        const target = targets.get(event.target);
        if (target) {
            target.reportedAt = tick.now;
            target.report = undefined;
            target.otherRouterTokens = 0;
            target.otherRouterRequests = 0;
            recordTargetFailure(world, tick, target, { failedBy: target.failedBy ?? "report" });
        }
    }
    handleVmList(world, tick);
    handleCacheEvents(world, tick);
    readTargets(world, tick);
}
