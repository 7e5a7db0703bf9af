/**
 * Ends requests whose deadline passed, whose caller disconnected, whose API key was withdrawn or cannot be confirmed,
 * or that no target serves.
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

/** Refuses open requests whose key was withdrawn. Only new versions withdraw keys, so it checks once per version. */
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

/** Refuses waiting requests while their keys cannot be confirmed. Requests that were sent already continue. */
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

/** Time for a configuration change or a report to provide a target before the request is refused. */
const maxNoTargetWaitMs = 2000;

/** Lists the models and services that some target serves or is configured to serve. */
function listServedNames(world: World): Set<string> {
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

function formatServedName({ route }: RequestRow): string {
    return route.kind === "service" ? `service ${route.service}` : `model ${route.model}@${route.version}`;
}

/** Refuses queued requests for which no target exists, instead of holding them until their deadline. */
function expireUnservable(world: World, tick: Tick): void {
    const overdueRows = world.tables.requests.list("queued").filter(row =>
        row.queuedAt !== undefined && tick.now - row.queuedAt >= maxNoTargetWaitMs
    );
    if (overdueRows.length === 0) {
        return;
    }
    const servedNames = listServedNames(world);
    for (const row of overdueRows.filter(request => !servedNames.has(formatServedName(request)))) {
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
    for (const { request } of tick.events.list("callerDisconnected")) {
        world.tables.requests.recordDelivery(request);
        const row = world.tables.requests.get(request);
        if (row && row.state !== "done") {
            refuseRequest(world, row, "caller_gone");
        }
    }
    expireWithdrawn(world);
    expireUnconfirmed(world);
    // The report timer runs often enough for this check, which saves a timer for each request.
    if (tick.due.has("targetReports")) {
        expireUnservable(world, tick);
    }
}
