/** What processes tell each other about rollouts of service versions. Shared by systems. */
import { logWarning } from "../../effects";
import { type RouteId, toVmId } from "../../ids";
import type { ForwardTick } from "../events";
import type { AnswersReport, PeerState, ServiceRolloutReport } from "../peers";
import { addResponses, listBuckets } from "../policy/responseHistogram";
import { isFinalState } from "../policy/serviceRolloutRules";
import {
    addSideCounts,
    createRouteEvidence,
    createSideCounts,
    type RouteEvidence,
    type SideCounts,
} from "../policy/versionVerdict";
import type { ForwardMemberRow } from "../tables/members";
import { findOpenAttempt, parseAttemptKey } from "../tables/requests";
import type { ServiceRolloutRow } from "../tables/serviceRollouts";
import type { ForwardWorld } from "../world";

/** Most runs of peers whose reports are kept for one order. */
const maxReports = 1024;

/** Removes attempts that have ended. */
export function removeEndedAttempts(world: ForwardWorld): void {
    const { attempts } = world.tables.serviceRollouts;
    for (const key of attempts.keys()) {
        const { request, attempt } = parseAttemptKey(key);
        const row = world.tables.requests.get(request);
        if (!row || !findOpenAttempt(row, attempt)) {
            attempts.delete(key);
        }
    }
}

/** Requests of this process under way on other versions of the service than the ordered one. */
export function countUnderWay(world: ForwardWorld, { service, current }: ServiceRolloutRow): number {
    let count = 0;
    for (const [key, attempt] of world.tables.serviceRollouts.attempts) {
        if (attempt.service === service && attempt.version !== current?.to) {
            const { request, attempt: number } = parseAttemptKey(key);
            const row = world.tables.requests.get(request);
            count += row && findOpenAttempt(row, number) ? 1 : 0;
        }
    }
    return count;
}

const toReport = ({ answers, failures, responses }: SideCounts): AnswersReport => [
    answers,
    failures,
    listBuckets(responses),
];

function toSideCounts([answers, failures, buckets]: AnswersReport): SideCounts {
    const counts = createSideCounts();
    counts.answers = answers;
    counts.failures = failures;
    addResponses(counts.responses, buckets);
    return counts;
}

/** Builds the reports for the state that this process sends to its peers. */
export function buildServiceRolloutReports(world: ForwardWorld): Pick<PeerState, "serviceRollouts"> {
    const serviceRollouts = [...world.tables.serviceRollouts.rows.values()].flatMap((row): ServiceRolloutReport[] => {
        const { service, current, evidence, isBad } = row;
        if (!current || isFinalState(current.state)) {
            return [];
        }
        const routes = [...evidence].map(([route, counts]) =>
            [route, toReport(counts.old), toReport(counts.new)] as const
        );
        return [[service, current.orderRevision, current.state, countUnderWay(world, row), isBad, routes]];
    });
    return serviceRollouts.length > 0 ? { serviceRollouts } : {};
}

/** Applies the reports of a peer; those about another order than the one in force are ignored. */
export function applyServiceRolloutReports(
    world: ForwardWorld,
    tick: ForwardTick,
    { vm, startedAt, serviceRollouts = [] }: PeerState,
): void {
    for (const [service, orderRevision, state, underWay, isBad, routes] of serviceRollouts) {
        const row = world.tables.serviceRollouts.rows.get(service);
        const key = `${vm} ${startedAt}`;
        if (
            row?.current?.orderRevision !== orderRevision || (row.reports.size >= maxReports && !row.reports.has(key))
        ) {
            continue;
        }
        row.reports.set(key, {
            vm,
            startedAt,
            receivedAt: tick.now,
            state,
            underWay,
            routes: new Map(
                routes.map(([route, old, added]) => [route, { old: toSideCounts(old), new: toSideCounts(added) }]),
            ),
        });
        if (isBad && !row.isBad && !isFinalState(row.current.state)) {
            row.isBad = true;
            logWarning(world.effects, "version:", "A peer finds a service version bad; it gets no further requests.", {
                service,
                to: row.current.to,
                peer: vm,
            });
        }
    }
}

/** Interval at which a process repeats to the decider that it has nothing under way on an old version. */
const doneReportMs = 1000;

/**
 * The decider, when it waits to hear that this process has no request on an old version any more. It is called at once,
 * whichever name sorts first, since old servers and the period wait for the slowest report. A call each second reaches it
 * also when one is lost.
 */
export function findWaitingDecider(world: ForwardWorld, tick: ForwardTick): ForwardMemberRow | undefined {
    const { node, members, serviceRollouts } = world.tables;
    const { holder } = node.rolloutLeadership;
    const decider = holder === undefined || holder === world.settings.vm ? undefined : members.get(toVmId(holder));
    if (!decider) {
        return undefined;
    }
    let isDue = false;
    for (const row of serviceRollouts.rows.values()) {
        const isDone = row.current?.state === "shifting" && countUnderWay(world, row) === 0;
        if (isDone && tick.now - row.doneReportedAt >= doneReportMs) {
            row.doneReportedAt = tick.now;
            isDue = true;
        }
    }
    return isDue ? decider : undefined;
}

function addEvidence(
    total: Map<RouteId, RouteEvidence>,
    routes: ReadonlyMap<RouteId, RouteEvidence>,
): void {
    for (const [route, counts] of routes) {
        const sum = total.get(route) ?? createRouteEvidence();
        total.set(route, sum);
        addSideCounts(sum.old, counts.old);
        addSideCounts(sum.new, counts.new);
    }
}

/** Sums the answers of this process and the last report of each run of each peer. */
export function computeTotalEvidence({ evidence, reports }: ServiceRolloutRow): ReadonlyMap<RouteId, RouteEvidence> {
    const total = new Map<RouteId, RouteEvidence>();
    addEvidence(total, evidence);
    for (const { routes } of reports.values()) {
        addEvidence(total, routes);
    }
    return total;
}
