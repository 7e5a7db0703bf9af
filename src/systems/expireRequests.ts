/** Ends requests whose deadline passed, whose caller went away or whose key was withdrawn or cannot be confirmed. */
import type { RequestId } from "../ids";
import { canTrustKeys } from "../policy/freshness";
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

/**
 * Reads: configuration. Writes: requests, targets, floors.
 * Effects: refusals, interruptions, cancelled attempts.
 */
export function expireRequests(world: World, tick: Tick): void {
    expireOverdue(world, tick);
    for (const { request } of tick.events.list("callerGone")) {
        const row = world.tables.requests.get(request);
        if (row && row.state !== "done") {
            refuseRequest(world, row, "caller_gone");
        }
    }
    expireWithdrawn(world);
    expireUnconfirmed(world);
}
