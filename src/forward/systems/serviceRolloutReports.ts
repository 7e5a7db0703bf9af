/** What processes tell each other about rollouts of service versions. Shared by systems. */
import { logWarning } from "../../effects";
import { type RouteId, type TargetId, toVmId } from "../../ids";
import type { ForwardTick } from "../events";
import type { PeerState, RouteAnswersReport, ServiceRolloutReport } from "../peers";
import { addResponses, listBuckets } from "../policy/responseHistogram";
import { isFinalState } from "../policy/serviceRolloutRules";
import { addSideCounts, createSideCounts, type SideCounts, type VersionEvidence } from "../policy/versionVerdict";
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

const listRouteAnswers = (routes: ReadonlyMap<RouteId, SideCounts>): RouteAnswersReport[] =>
    [...routes].map(([route, { answers, failures, lost, responses }]) =>
        [route, answers, failures, lost, listBuckets(responses)] as const
    );

function toRouteAnswers(reports: readonly RouteAnswersReport[]): Map<RouteId, SideCounts> {
    return new Map(reports.map(([route, answers, failures, lost, buckets]) => {
        const counts: SideCounts = { answers, failures, lost, responses: [] };
        addResponses(counts.responses, buckets);
        return [route, counts];
    }));
}

/** Builds the reports for the state that this process sends to its peers. */
export function buildServiceRolloutReports(world: ForwardWorld): Pick<PeerState, "serviceRollouts"> {
    const serviceRollouts = [...world.tables.serviceRollouts.rows.values()].flatMap((row): ServiceRolloutReport[] => {
        const { service, current, evidence, isBad } = row;
        if (!current || isFinalState(current.state)) {
            return [];
        }
        const servers = [...evidence.servers].map(([server, routes]) => [server, listRouteAnswers(routes)] as const);
        const { orderRevision, state } = current;
        const underWay = countUnderWay(world, row);
        return [[service, orderRevision, state, underWay, isBad, listRouteAnswers(evidence.old), servers]];
    });
    return serviceRollouts.length > 0 ? { serviceRollouts } : {};
}

/** Applies the reports of a peer; those about another order than the one in force are ignored. */
export function applyServiceRolloutReports(
    world: ForwardWorld,
    tick: ForwardTick,
    { vm, startedAt, serviceRollouts = [] }: PeerState,
): void {
    for (const [service, orderRevision, state, underWay, isBad, old, servers] of serviceRollouts) {
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
            evidence: {
                old: toRouteAnswers(old),
                servers: new Map(servers.map(([server, routes]) => [server, toRouteAnswers(routes)])),
            },
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

function addRouteAnswers(total: Map<RouteId, SideCounts>, added: ReadonlyMap<RouteId, SideCounts>): void {
    for (const [route, counts] of added) {
        const sum = total.get(route) ?? createSideCounts();
        total.set(route, sum);
        addSideCounts(sum, counts);
    }
}

/** Sums the answers of this process and the last report of each run of each peer. */
export function computeTotalEvidence({ evidence, reports }: ServiceRolloutRow): VersionEvidence {
    const old = new Map<RouteId, SideCounts>();
    const servers = new Map<TargetId, Map<RouteId, SideCounts>>();
    for (const known of [evidence, ...[...reports.values()].map(report => report.evidence)]) {
        addRouteAnswers(old, known.old);
        for (const [server, routes] of known.servers) {
            const sum = servers.get(server) ?? new Map<RouteId, SideCounts>();
            servers.set(server, sum);
            addRouteAnswers(sum, routes);
        }
    }
    return { old, servers };
}
