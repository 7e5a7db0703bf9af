/**
 * Ends requests whose deadline passed, whose caller went away, whose key was withdrawn or cannot be confirmed, or
 * that no target serves.
 */
import type { RequestId } from "../ids";
import { canTrustKeys } from "../policy/freshness";
import type { RequestRow } from "../tables/requests";
import type { Tick, World } from "../world";
import { refuseRequest } from "./requestEnd";

function expireOverdue(world: World, tick: Tick): void {
    for (const id of tick.due.listKeys("requestDeadline")) {
        const row = world.tables.requests.get(id as RequestId);
        if (row && row.state !== "done") {
            refuseRequest(world, row, "deadline_exceeded");
        }
    }
}

/** A key can only be withdrawn by a new version, so that open requests are checked once for each version. */
function expireWithdrawn(world: World): void {
    const { configuration, requests } = world.tables;
    if (requests.keysCheckedVersion === configuration.version) {
        return;
    }
    requests.keysCheckedVersion = configuration.version;
    for (const row of requests.listOpen()) {
        const { keyHash } = row.arrival;
        if (row.account === undefined || keyHash === undefined) {
            continue;
        }
        if (configuration.document.keys[keyHash]?.account !== row.account) {
            refuseRequest(world, row, "key_withdrawn");
        }
    }
}

/** Refuses requests that wait while their keys cannot be confirmed. Running ones have been sent and go on. */
function expireUnconfirmed(world: World): void {
    const { configuration, requests } = world.tables;
    if (canTrustKeys(configuration.freshness)) {
        return;
    }
    for (const row of [...requests.list("reserving"), ...requests.list("queued")]) {
        if (row.account !== undefined) {
            refuseRequest(world, row, "configuration_stale", { retryAfterSeconds: 1 });
        }
    }
}

/** Time in which a changed configuration or a report can still name a target. */
const noTargetWaitMs = 2000;

/** Names of the models and services that some target serves, or should serve by the configuration. */
function listServed(world: World): Set<string> {
    const served = new Set<string>();
    for (const { configuration, report, isLeaving } of world.tables.targets.list()) {
        if (isLeaving) {
            continue;
        }
        if (configuration.kind === "service") {
            served.add(`service ${configuration.service}`);
            continue;
        }
        served.add(`model ${configuration.model}@${configuration.version}`);
        if (report) {
            served.add(`model ${report.model}@${report.version}`);
        }
    }
    return served;
}

function formatNeed({ route }: RequestRow): string {
    return route.kind === "service" ? `service ${route.service}` : `model ${route.model}@${route.version}`;
}

/** Refuses queued requests for which no target exists, instead of keeping them until their deadline. */
function expireUnservable(world: World, tick: Tick): void {
    const overdue = world.tables.requests.list("queued").filter(row =>
        row.queuedAt !== undefined && tick.now - row.queuedAt >= noTargetWaitMs
    );
    if (overdue.length === 0) {
        return;
    }
    const served = listServed(world);
    for (const row of overdue.filter(entry => !served.has(formatNeed(entry)))) {
        refuseRequest(world, row, "no_target", { retryAfterSeconds: 5 });
    }
}

/**
 * Reads: configuration, targets. Writes: requests, targets, floors.
 * Effects: refusals, interruptions, cancelled attempts.
 */
export function expireRequests(world: World, tick: Tick): void {
    expireOverdue(world, tick);
    for (const { request } of tick.events.list("answerDelivered")) {
        world.tables.requests.recordDelivery(request);
    }
    for (const { request } of tick.events.list("callerGone")) {
        world.tables.requests.recordDelivery(request);
        const row = world.tables.requests.get(request);
        if (row && row.state !== "done") {
            refuseRequest(world, row, "caller_gone");
        }
    }
    expireWithdrawn(world);
    expireUnconfirmed(world);
    // The timer of the reports runs often enough; the check needs no timer for each request.
    if (tick.due.has("targetReports")) {
        expireUnservable(world, tick);
    }
}
