/**
 * Versions that a request may go to while its service is moved from one version to another, or has been. Shared by
 * systems.
 */
import { addMillis } from "../../ids";
import { listByRendezvous } from "../../policy/rendezvous";
import type { ForwardTick } from "../events";
import type { ServerVersion } from "../ids";
import { canSendCanary, countCanaryServers } from "../policy/canaryShare";
import { isOldVersion, type ServiceRolloutState, type StoredServiceRollout } from "../policy/serviceRolloutRules";
import { formatAttemptKey, type ForwardRequestRow } from "../tables/requests";
import type { ServiceRolloutRow } from "../tables/serviceRollouts";
import { type ForwardTargetRow, isWorking } from "../tables/targets";
import type { ForwardWorld } from "../world";

/** Longest interval at which evidence is judged and states are decided. */
const maxCheckMs = 250;
/** The same as a fraction of the time in which requests to a bad version must end. */
const checkFraction = 0.05;

/** Has the rollouts checked after the interval. */
export function scheduleRolloutCheck(world: ForwardWorld, tick: ForwardTick): void {
    const { serviceRollouts } = world.tables;
    if (!serviceRollouts.isCheckScheduled) {
        serviceRollouts.isCheckScheduled = true;
        const checkMs = Math.min(maxCheckMs, world.settings.bounds.rollbackMs * checkFraction);
        world.timers.schedule({ name: "serviceRollout", at: addMillis(tick.now, checkMs) });
    }
}

type Targets = readonly ForwardTargetRow[];

/** Time for which a request to the new version is kept for routes with few of them. */
const routeWaitMs = 500;

/** True when the route has at most as many answers of the new version as the mean of the service's routes. */
function isRouteBehind({ routes }: ServiceRolloutRow, { route }: ForwardRequestRow): boolean {
    const answers = [...routes.values()].map(evidence => evidence.new.answers);
    const mean = answers.reduce((sum, count) => sum + count, 0) / Math.max(1, answers.length);
    return (routes.get(route.id)?.new.answers ?? 0) <= mean;
}

/** True when the request may be one of the few that go to the version on trial. Repeated requests never are. */
function isCanary(tick: ForwardTick, rollout: ServiceRolloutRow, row: ForwardRequestRow): boolean {
    const { canaryReadySince } = rollout;
    return canaryReadySince !== undefined && row.attempts.length === 0 && !row.isRelaying
        && (isRouteBehind(rollout, row) || tick.now - canaryReadySince >= routeWaitMs);
}

/**
 * The servers on trial: as few as get the load of an old server each, since a fault that shows only under load would
 * show on none of many. All processes choose the same ones.
 */
function listCanaryServers(
    world: ForwardWorld,
    tick: ForwardTick,
    { service, current, sickServer }: ServiceRolloutRow,
    newTargets: Targets,
    oldCount: number,
): Targets {
    const working = newTargets.filter(target => isWorking(target, tick.now) && target.refusedAt === undefined);
    const count = countCanaryServers(oldCount, world.settings.bounds.canaryShare ?? 0);
    const ids = working.map(({ registration }) => registration.id).filter(id => id !== sickServer);
    const chosen = new Set(
        listByRendezvous(world.hasher, `${service} ${current?.orderRevision ?? 0}`, ids).slice(0, count),
    );
    return working.filter(({ registration }) => chosen.has(registration.id));
}

interface SidesOfService {
    readonly old: Targets;
    readonly new: Targets;
}

/** True when one of the targets is registered and does not leave. */
export const hasServers = (targets: Targets): boolean => targets.some(({ registration }) => !registration.isLeaving);

type SideChooser = (
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    rollout: ServiceRolloutRow,
    sides: SidesOfService,
) => readonly Targets[];

const sideChoosers: Readonly<Record<ServiceRolloutState, SideChooser>> = {
    observing: (world, tick, row, rollout, sides) => {
        if (!hasServers(sides.old) && !rollout.isBad) {
            return [sides.old, sides.new];
        }
        return !rollout.isBad && isCanary(tick, rollout, row)
            ? [listCanaryServers(world, tick, rollout, sides.new, sides.old.length), sides.old]
            : [sides.old];
    },
    // Nothing goes to the old version here: this process reports so, and its servers may stop at any time.
    shifting: (_world, _tick, _row, { isBad }, sides) => [isBad ? sides.old : sides.new],
    // Other servers are a way out only when none of the version is left; another version may have been started already.
    completed: (_world, _tick, _row, _rollout, sides) => (hasServers(sides.new) ? [sides.new] : [sides.old]),
    rolledBack: (_world, _tick, _row, _rollout, sides) => [sides.old],
};

/** Splits targets into those of the ordered version and those of other versions that may get requests. */
export function listSides(targets: Targets, rollout: StoredServiceRollout): SidesOfService {
    const isOld = (version: ServerVersion): boolean =>
        rollout.state === "completed" ? version !== rollout.to : isOldVersion(rollout, version);
    return {
        old: targets.filter(({ registration }) => isOld(registration.version)),
        new: targets.filter(({ registration }) => registration.version === rollout.to),
    };
}

/**
 * Lists the targets of the request's service that its versions allow: those of the first list that can take the request
 * are used. Without a rollout, all are in one list.
 */
export function listVersionChoices(world: ForwardWorld, tick: ForwardTick, row: ForwardRequestRow): readonly Targets[] {
    const targets = world.tables.targets.listService(row.service);
    const rollout = world.tables.serviceRollouts.rows.get(row.service);
    if (!rollout?.current || world.settings.bounds.canaryShare === undefined) {
        return [targets];
    }
    const { current } = rollout;
    return sideChoosers[current.state](world, tick, row, rollout, listSides(targets, current));
}

/**
 * True when the response time of the request can be compared between versions. The caches of new engines are cold, so
 * only those requests are compared of whose prompts an engine has to compute at least a half.
 */
function isTimeComparable(row: ForwardRequestRow, target: ForwardTargetRow): boolean {
    const missedTokens = target.inFlight.get(row.id)?.missedTokens ?? 0;
    return row.arrival.parts.length === 0 || missedTokens >= row.arrival.promptTokens / 2;
}

/** Counts a request that is sent to the target, and keeps the version for its answer. */
export function recordVersionedSend(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ForwardRequestRow,
    target: ForwardTargetRow,
): void {
    const { version } = target.registration;
    const { canaryShare } = world.settings.bounds;
    if (canaryShare === undefined) {
        return;
    }
    const { attempts, rows } = world.tables.serviceRollouts;
    const rollout = rows.get(row.service);
    attempts.set(formatAttemptKey(row.id, row.attempts.length), {
        service: row.service,
        route: row.route.id,
        target: target.registration.id,
        version,
        sentAt: tick.now,
        orderRevision: rollout?.current?.orderRevision,
        hasComparableTime: isTimeComparable(row, target),
        isCounted: false,
    });
    scheduleRolloutCheck(world, tick);
    if (rollout?.current?.state !== "observing") {
        return;
    }
    rollout.sent += 1;
    if (version === rollout.current.to) {
        rollout.canarySent += 1;
        const labels = { service: row.service };
        world.effects.append({ kind: "addCount", name: "canary_requests_total", value: 1, labels });
    }
    const readySince = version === rollout.current.to ? tick.now : rollout.canaryReadySince ?? tick.now;
    rollout.canaryReadySince = canSendCanary(rollout, canaryShare) ? readySince : undefined;
}
