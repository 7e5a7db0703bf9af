/**
 * Keeps the limits that targets name on the requests that they take from the whole fleet. Each limit is divided among
 * processes in proportion to the requests that they serve. Shared by systems.
 */
import { logInfo } from "../../effects";
import { addMillis, type Millis, type TargetId, type VmId } from "../../ids";
import { listByRendezvous } from "../../policy/rendezvous";
import type { ForwardTick } from "../events";
import type { ServiceId } from "../ids";
import type { PeerState } from "../peers";
import { computeBucketWait, computeScarcity, createRequestBucket, updateRequestBucket } from "../policy/requestBucket";
import { addUsage, createUsageWindow, updateUsageWindow } from "../policy/usageWindow";
import type { ForwardAttempt } from "../tables/requests";
import type { ForwardTargetRow, RequestLimit } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** A limit is dropped when no process has had an answer of the target for this long; the next answer names it again. */
const maxLimitAgeMs = 15_000;
/** Rate assumed for lower limits, so that the target gets a request that shows whether it still names one. */
const minPerSecond = 0.2;
/** Time over which the requests of a process are counted for its share. */
const loadWindowMs = 4000;
/** Added to the requests of each process, so that one without requests can send its first. */
const minLoad = 1;
/**
 * Requests that all processes together may send at once, as seconds of the limit and a fixed number. They are tokens
 * that were not used before, which would otherwise be lost whenever requests come unevenly.
 */
const burstSeconds = 1.5;
const burstRequests = 2;
/** Interval at which shares are computed again. */
const shareIntervalMs = 200;

/** Counts a request for the share of this process in the limits of its service's targets. */
export function recordServiceLoad(world: ForwardWorld, tick: ForwardTick, service: ServiceId): void {
    const { serviceLoads } = world.tables;
    const window = serviceLoads.get(service) ?? createUsageWindow({ windowMs: loadWindowMs, now: tick.now });
    serviceLoads.set(service, window);
    updateUsageWindow(window, tick.now);
    addUsage(window, 1);
}

function computeOwnLoad(world: ForwardWorld, now: Millis, service: ServiceId): number {
    const window = world.tables.serviceLoads.get(service);
    if (!window) {
        return 0;
    }
    updateUsageWindow(window, now);
    return window.total;
}

/**
 * Processes that send to the target: all, or as many as the limit has requests a second. With more, the single requests
 * that each of them may send at any time would add up to more than the limit.
 */
function listSenders(world: ForwardWorld, target: TargetId, perSecond: number): readonly VmId[] {
    const { members } = world.tables;
    const vms = [...new Set([...members.listVms(), world.settings.vm])];
    const count = Math.max(1, Math.ceil(perSecond));
    return vms.length <= count ? vms : listByRendezvous(world.hasher, target, vms).slice(0, count);
}

/**
 * Part of this process in the requests that the given processes send to a service, 0 to 1. A process whose reports are
 * missing keeps the load that it last reported, since it goes on sending its share.
 */
export function computeTrafficShare(
    world: ForwardWorld,
    now: Millis,
    service: ServiceId,
    senders: readonly VmId[],
): number {
    const { vm: ownVm } = world.settings;
    const ownLoad = computeOwnLoad(world, now, service) + minLoad;
    const total = senders.reduce((sum, vm) => {
        const peer = world.tables.peers.rows.get(vm);
        const hasReported = peer !== undefined && peer.startedAt > 0;
        return sum + (vm === ownVm || !hasReported ? ownLoad : (peer.serviceLoads.get(service) ?? 0) + minLoad);
    }, 0);
    return ownLoad / total;
}

/** Share of this process in the limit, 0 to 1. */
function computeShare(world: ForwardWorld, now: Millis, target: ForwardTargetRow, perSecond: number): number {
    const { service, id } = target.registration;
    const senders = listSenders(world, id, perSecond);
    return senders.includes(world.settings.vm) ? computeTrafficShare(world, now, service, senders) : 0;
}

/** Brings the bucket of the limit up to date. */
function updateLimit(world: ForwardWorld, now: Millis, target: ForwardTargetRow, limit: RequestLimit): void {
    if (now - limit.shareComputedAt >= shareIntervalMs) {
        const share = computeShare(world, now, target, limit.perSecond);
        limit.sharePerSecond = share * Math.max(minPerSecond, limit.perSecond);
        limit.bucket.burst = Math.max(1, share * (limit.perSecond * burstSeconds + burstRequests));
        limit.shareComputedAt = now;
    }
    updateRequestBucket(limit.bucket, limit.sharePerSecond, now);
}

function applyLimit(
    tick: ForwardTick,
    target: ForwardTargetRow,
    perSecond: number | undefined,
    namedAt: Millis,
): void {
    const before = target.requestLimit;
    if (perSecond === undefined) {
        target.requestLimit = undefined;
        target.limitEndedAt = namedAt;
    }
    else if (before) {
        before.shareComputedAt = before.perSecond === perSecond ? before.shareComputedAt : 0 as Millis;
        before.perSecond = perSecond;
        before.namedAt = namedAt;
    }
    else {
        target.requestLimit = {
            perSecond,
            namedAt,
            sharePerSecond: 0,
            shareComputedAt: 0 as Millis,
            bucket: createRequestBucket(tick.now),
        };
    }
}

function logLimit(
    world: ForwardWorld,
    { registration: { id }, requestLimit }: ForwardTargetRow,
    before: number | undefined,
    source: string,
): void {
    if (requestLimit?.perSecond !== before) {
        logInfo(world.effects, "target:", "Target changed the limit on its requests.", {
            target: id,
            perSecond: requestLimit?.perSecond,
            before,
            source,
        });
    }
}

/** Records the limit that an answer of the target names; an answer without one ends an earlier limit. */
export function recordNamedLimit(
    world: ForwardWorld,
    tick: ForwardTick,
    target: ForwardTargetRow,
    attempt: ForwardAttempt,
    perSecond: number | undefined,
): void {
    const limit = target.requestLimit;
    const before = limit?.perSecond;
    // Answers can overtake each other: one to a request that was sent before the limit was named does not end it.
    if (perSecond === undefined && (!limit || attempt.sentAt < limit.namedAt)) {
        return;
    }
    applyLimit(tick, target, perSecond, tick.now);
    logLimit(world, target, before, "an answer");
}

/** Limits and loads for the state that this process reports to its peers. */
export function buildLimitReports(
    world: ForwardWorld,
    tick: ForwardTick,
): Pick<PeerState, "limits" | "endedLimits" | "requests"> {
    const limits = world.tables.targets.list().flatMap(({ registration, requestLimit }) =>
        requestLimit
            ? [[registration.id, requestLimit.perSecond, Math.round(tick.now - requestLimit.namedAt)] as const]
            : []
    );
    const endedLimits = world.tables.targets.list().flatMap(({ registration, requestLimit, limitEndedAt }) =>
        !requestLimit && limitEndedAt > 0 && tick.now - limitEndedAt < maxLimitAgeMs
            ? [[registration.id, Math.round(tick.now - limitEndedAt)] as const]
            : []
    );
    const requests = [...world.tables.serviceLoads.keys()].flatMap(service => {
        const load = computeOwnLoad(world, tick.now, service);
        return load > 0 ? [[service, load] as const] : [];
    });
    return {
        ...(limits.length > 0 ? { limits } : {}),
        ...(endedLimits.length > 0 ? { endedLimits } : {}),
        ...(requests.length > 0 ? { requests } : {}),
    };
}

/** Applies a limit that a peer reports, or its end, if it is newer than what this process knows. */
function applyLimitReport(
    world: ForwardWorld,
    tick: ForwardTick,
    id: TargetId,
    report: { readonly perSecond: number | undefined; readonly ageMs: number; readonly vm: VmId; },
): void {
    const { perSecond, ageMs, vm } = report;
    const target = world.tables.targets.get(id);
    const before = target?.requestLimit;
    const reportedAt = addMillis(tick.now, -ageMs);
    const isNewer = reportedAt > (before?.namedAt ?? target?.limitEndedAt ?? 0);
    if (!target || !isNewer || ageMs > maxLimitAgeMs || (perSecond === undefined && !before)) {
        return;
    }
    const perSecondBefore = before?.perSecond;
    applyLimit(tick, target, perSecond, reportedAt);
    logLimit(world, target, perSecondBefore, vm);
}

/** Applies the limits that a peer reports. */
export function applyLimitReports(
    world: ForwardWorld,
    tick: ForwardTick,
    { limits = [], endedLimits = [], vm }: PeerState,
): void {
    for (const [id, perSecond, ageMs] of limits) {
        applyLimitReport(world, tick, id, { perSecond, ageMs, vm });
    }
    for (const [id, ageMs] of endedLimits) {
        applyLimitReport(world, tick, id, { perSecond: undefined, ageMs, vm });
    }
}

/** The limit of the target with its bucket up to date; undefined when it has none or nobody has named it for long. */
function findLimit(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow): RequestLimit | undefined {
    const limit = target.requestLimit;
    if (!limit) {
        return undefined;
    }
    if (tick.now - limit.namedAt > maxLimitAgeMs) {
        applyLimit(tick, target, undefined, tick.now);
        logLimit(world, target, limit.perSecond, "no answer");
        return undefined;
    }
    updateLimit(world, tick.now, target, limit);
    return limit;
}

/** True when this process may send the target another request. */
export function hasRequestToken(world: ForwardWorld, tick: ForwardTick, target: ForwardTargetRow): boolean {
    const limit = findLimit(world, tick, target);
    return limit === undefined || limit.bucket.level >= 1;
}

/** How much the target's limit leaves to send: 0 for enough or no limit, near 1 for the last request. */
export const computeLimitScarcity = ({ requestLimit }: ForwardTargetRow): number =>
    requestLimit ? computeScarcity(requestLimit.bucket) : 0;

/** Counts a request that is sent to the target, whether first or repeated. */
export function reserveRequestToken(target: ForwardTargetRow): void {
    if (target.requestLimit) {
        target.requestLimit.bucket.level -= 1;
    }
}

/** The target whose limit allows this process another request first, with the milliseconds until then. */
export function findFirstToken(
    world: ForwardWorld,
    tick: ForwardTick,
    targets: readonly ForwardTargetRow[],
): { readonly limit: RequestLimit; readonly waitMs: number; } | undefined {
    let first: { readonly limit: RequestLimit; readonly waitMs: number; } | undefined;
    for (const target of targets) {
        const limit = findLimit(world, tick, target);
        const waitMs = limit ? computeBucketWait(limit.bucket, limit.sharePerSecond) : Infinity;
        if (limit && waitMs < (first?.waitMs ?? Infinity)) {
            first = { limit, waitMs };
        }
    }
    return first;
}
