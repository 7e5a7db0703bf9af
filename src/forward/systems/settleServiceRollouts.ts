/**
 * Judges service versions on trial. Each process stops its own requests to a bad version; the process with the rollout
 * leadership writes the states.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis, type TargetId, type VmId } from "../../ids";
import { encodeServiceRollout, serviceRolloutPrefix } from "../codec/fleetRows";
import type { ForwardTick } from "../events";
import { computeBucketEndMs, findQuantileBucket } from "../policy/responseHistogram";
import {
    chooseNextState,
    computeDecisionMs,
    isFinalState,
    moveRollout,
    type RolloutFacts,
    type StoredServiceRollout,
} from "../policy/serviceRolloutRules";
import {
    addSideCounts,
    computeVersionVerdict,
    createSideCounts,
    findSickServer,
    mergeEvidence,
    mergeServerAnswers,
    type ServerAnswers,
    type VersionEvidence,
    type VersionVerdict,
} from "../policy/versionVerdict";
import { isForwardLeaseValid } from "../tables/node";
import type { ServiceRolloutRow } from "../tables/serviceRollouts";
import type { ForwardWorld } from "../world";
import { computePeerStaleMs } from "./accountUsage";
import { updateRolloutInForce } from "./followServiceRollouts";
import { computeTotalEvidence, countUnderWay, removeEndedAttempts } from "./serviceRolloutReports";
import { hasServers, listSides, scheduleRolloutCheck } from "./serviceVersions";

/** Interval between snapshots of the answers, and number of them that are kept. */
const snapshotMs = 1000;
const maxSnapshots = 8;
/** Remaining validity that the lease must have when a state is written. */
const leaseMarginMs = 150;
/** Time after a write within which it is not repeated; the answer or the watch shows its outcome by then. */
const writeRetryMs = 1000;
/** Time in which a process that reaches the store, but not this one, learns of a state. */
const stateKnownMs = 2000;
/** Duration assumed of requests on the old version before one has ended. */
const assumedDurationMs = 500;
const durationQuantile = 0.99;

function updateSnapshots(tick: ForwardTick, row: ServiceRolloutRow, servers: ServerAnswers): void {
    if (tick.now - row.snapshotAt >= snapshotMs) {
        row.snapshotAt = tick.now;
        row.snapshots.push(servers);
        row.snapshots.splice(0, row.snapshots.length - maxSnapshots);
    }
}

const listServers = (world: ForwardWorld, { service }: ServiceRolloutRow, rollout: StoredServiceRollout) =>
    listSides(world.tables.targets.listService(service), rollout);

/**
 * Computes the verdict by all answers. While a single server is to blame, its being slow or out of reach does not count;
 * other servers are then tried, if there are any.
 */
function computeVerdict(row: ServiceRolloutRow, evidence: VersionEvidence, hasAllTraffic: boolean): VersionVerdict {
    const computeWithout = (except?: TargetId): VersionVerdict =>
        computeVersionVerdict({
            routes: mergeEvidence(evidence, except),
            earlier: row.snapshots.map(servers => mergeServerAnswers(servers, except)),
            hasAllTraffic,
        });
    const verdict = computeWithout();
    row.sickServer = verdict.kind === "bad"
        ? findSickServer({ evidence, earlier: row.snapshots, hasAllTraffic })
        : undefined;
    return row.sickServer === undefined ? verdict : computeWithout(row.sickServer);
}

/** Judges the version by all answers that this process knows of. Without an old version there is nothing to go back to. */
function updateVerdict(world: ForwardWorld, tick: ForwardTick, row: ServiceRolloutRow): void {
    const { current } = row;
    const evidence = computeTotalEvidence(row);
    row.routes = mergeEvidence(evidence);
    const servers = current && listServers(world, row, current);
    if (!servers || isFinalState(current.state) || !hasServers(servers.old)) {
        row.verdict = { kind: "open", score: 0 };
        return;
    }
    const sickBefore = row.sickServer;
    row.verdict = computeVerdict(row, evidence, current.state === "shifting");
    updateSnapshots(tick, row, evidence.servers);
    const isOnlyServer = servers.new.filter(({ registration }) => !registration.isLeaving).length < 2;
    if (row.sickServer !== undefined && isOnlyServer) {
        row.verdict = { ...row.verdict, kind: "bad" };
    }
    if (row.sickServer !== undefined && row.sickServer !== sickBefore) {
        logWarning(world.effects, "version:", "A single server of a service version is slow or out of reach.", {
            service: row.service,
            server: row.sickServer,
            isOnlyServer,
        });
    }
    if (row.verdict.kind === "bad" && !row.isBad) {
        row.isBad = true;
        logWarning(world.effects, "version:", "A service version is bad; it gets no further requests.", {
            ...buildVerdictFields(row),
            state: current.state,
        });
    }
}

/** Inputs of a decision, for the log. */
function buildVerdictFields({ service, current, routes, verdict, canarySent, sent }: ServiceRolloutRow) {
    const sum = { old: createSideCounts(), new: createSideCounts() };
    for (const evidence of routes.values()) {
        addSideCounts(sum.old, evidence.old);
        addSideCounts(sum.new, evidence.new);
    }
    return {
        service,
        to: current?.to,
        verdict: verdict.kind,
        test: verdict.test,
        route: verdict.route,
        score: Math.round(verdict.score * 100) / 100,
        newAnswers: sum.new.answers,
        newFailures: sum.new.failures,
        oldAnswers: sum.old.answers,
        oldFailures: sum.old.failures,
        routes: routes.size,
        sent,
        canarySent,
    };
}

/** Longest time limit of a request of the service. */
function computeMaxRequestMs(world: ForwardWorld, { service }: ServiceRolloutRow): number {
    const routes = world.tables.configuration.document?.routes ?? [];
    return Math.max(
        0,
        ...routes.filter(route => route.services.some(entry => entry.service === service)).map(route =>
            route.timeoutMs
        ),
    );
}

/**
 * True when the process has no request on another version and sends none there: it says so in the state in which all
 * requests go to the new version, or it cannot be reached and its last request has ended by its time limit. A member that
 * cannot be reached may have sent until it learned of the state; a process that is no member had ended before, or has
 * lost the store.
 */
function isProcessDone(world: ForwardWorld, tick: ForwardTick, row: ServiceRolloutRow, vm: VmId): boolean {
    const peer = world.tables.peers.rows.get(vm);
    const report = row.reports.get(`${vm} ${peer?.startedAt ?? 0}`);
    if (report?.state === "shifting" && report.underWay === 0) {
        return true;
    }
    const heardAt = peer && peer.startedAt > 0 ? peer.stateReceivedAt : row.orderSeenAt;
    if (tick.now - heardAt <= computePeerStaleMs(world) && world.tables.members.get(vm)) {
        return false;
    }
    const sentUntil = world.tables.members.get(vm)
        ? Math.max(heardAt, addMillis(row.stateSeenAt, stateKnownMs))
        : heardAt;
    return tick.now - sentUntil > computeMaxRequestMs(world, row);
}

function isOldVersionUnused(world: ForwardWorld, tick: ForwardTick, row: ServiceRolloutRow): boolean {
    const { members, peers } = world.tables;
    const others = new Set([...members.listVms(), ...peers.rows.keys()]);
    others.delete(world.settings.vm);
    return countUnderWay(world, row) === 0 && [...others].every(vm => isProcessDone(world, tick, row, vm));
}

/** Time since the order; a process that found it at its start takes the time of the first observation. */
function computeOrderAgeMs(tick: ForwardTick, { current, orderSeenAt, wasOrderedBefore }: ServiceRolloutRow): number {
    const ageMs = tick.now - orderSeenAt;
    return wasOrderedBefore && current ? Math.max(ageMs, tick.wallNow - current.observedAt) : ageMs;
}

function isDecisionDue(
    tick: ForwardTick,
    row: ServiceRolloutRow,
    { periodMs }: StoredServiceRollout,
): boolean {
    const bucket = findQuantileBucket(row.oldDurations, durationQuantile);
    const decisionMs = computeDecisionMs({
        periodMs,
        responseMs: bucket === undefined ? assumedDurationMs : computeBucketEndMs(bucket),
    });
    return computeOrderAgeMs(tick, row) >= decisionMs;
}

function listFacts(
    world: ForwardWorld,
    tick: ForwardTick,
    row: ServiceRolloutRow,
    current: StoredServiceRollout,
): RolloutFacts {
    const servers = listServers(world, row, current);
    return {
        verdict: row.isBad ? "bad" : row.verdict.kind,
        hasNewServers: hasServers(servers.new),
        hasOldServers: hasServers(servers.old),
        isDecisionDue: isDecisionDue(tick, row, current),
        isOldVersionUnused: current.state === "shifting" && isOldVersionUnused(world, tick, row),
    };
}

/** True while this process has the rollout leadership and a lease that stays valid for the write. */
function canDecide(world: ForwardWorld, tick: ForwardTick): boolean {
    const { rolloutLeadership, lease } = world.tables.node;
    return rolloutLeadership.state === "held"
        && isForwardLeaseValid(lease, addMillis(tick.now, leaseMarginMs), tick.wallNow + leaseMarginMs);
}

const isStored = ({ stored }: ServiceRolloutRow, { orderRevision, state }: StoredServiceRollout): boolean =>
    stored?.orderRevision === orderRevision && stored.state === state;

/** Writes the next state if it differs from the one that the store holds. */
function moveToNextState(world: ForwardWorld, tick: ForwardTick, row: ServiceRolloutRow): void {
    const { current, service } = row;
    if (!current || tick.now < row.writeNotBefore) {
        return;
    }
    const facts = listFacts(world, tick, row, current);
    // An order is recorded before its first change of state, so that the next decider knows when it was seen.
    const state = isStored(row, current) ? chooseNextState(current.state, facts) : current.state;
    const next = state === current.state ? current : moveRollout(current, state);
    if (isStored(row, next)) {
        return;
    }
    row.pendingWrite = next;
    row.writeNotBefore = addMillis(tick.now, writeRetryMs);
    world.effects.append({
        kind: "recordServiceRollout",
        service,
        key: `${serviceRolloutPrefix}${service}`,
        value: encodeServiceRollout(next),
        expectedRevision: row.storedRevision,
        state: next.state,
        to: next.to,
    });
    world.effects.append({
        kind: "addCount",
        name: "service_rollout_states_total",
        value: 1,
        labels: { service, state: next.state },
    });
    logInfo(world.effects, "version:", "State of a service rollout is written.", {
        ...buildVerdictFields(row),
        before: current.state,
        after: next.state,
        hasOldServers: facts.hasOldServers,
        hasNewServers: facts.hasNewServers,
        orderAgeMs: Math.round(computeOrderAgeMs(tick, row)),
        periodMs: next.periodMs,
    });
}

/** Applies what the store has accepted; after a failure, the watch delivers the row that stands there. */
function applyReplies(world: ForwardWorld, tick: ForwardTick): void {
    for (const { purpose, outcome: { result } } of tick.events.list("storeReplied")) {
        const row = purpose.for === "serviceRollout" && world.tables.serviceRollouts.rows.get(purpose.service);
        if (!row) {
            continue;
        }
        const { pendingWrite } = row;
        row.pendingWrite = undefined;
        const { storeEra } = world.tables.node;
        const isWritten = result.ok && result.val.kind === "transaction" && result.val.succeeded
            && (result.val.era ?? storeEra) === storeEra;
        if (isWritten && pendingWrite && result.val.revision > row.storedRevision) {
            row.stored = pendingWrite;
            row.storedRevision = result.val.revision;
            row.writeNotBefore = 0 as Millis;
            updateRolloutInForce(world, tick, row);
        }
        else if (!isWritten) {
            logWarning(world.effects, "version:", "State of a service rollout was not written.", {
                service: row.service,
                message: result.err ? result.val.message : "another process has changed it",
            });
        }
    }
}

/**
 * Reads: node, members, peers, requests, targets, configuration. Writes: service rollouts. Effects: states in the store,
 * counts, log lines.
 */
export function settleServiceRollouts(world: ForwardWorld, tick: ForwardTick): void {
    const { rows, attempts } = world.tables.serviceRollouts;
    if (rows.size === 0 && attempts.size === 0) {
        return;
    }
    applyReplies(world, tick);
    if (!tick.due.has("serviceRollout")) {
        return;
    }
    world.tables.serviceRollouts.isCheckScheduled = false;
    removeEndedAttempts(world);
    let isOpen = attempts.size > 0;
    for (const row of rows.values()) {
        updateVerdict(world, tick, row);
        if (canDecide(world, tick)) {
            moveToNextState(world, tick, row);
        }
        isOpen ||= row.current !== undefined && (!isFinalState(row.current.state) || !isStored(row, row.current));
    }
    if (isOpen) {
        scheduleRolloutCheck(world, tick);
    }
}
