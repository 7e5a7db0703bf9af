/** Ends requests whose deadline has passed, whose caller has disconnected, or whose key was withdrawn. */
import { logInfo } from "../../effects";
import type { RequestId } from "../../ids";
import type { ForwardTick } from "../events";
import type { ForwardWorld } from "../world";
import { isKeyWithdrawn, refuseForwardRequest } from "./requestEnd";

function expireOverdue(world: ForwardWorld, tick: ForwardTick): void {
    for (const id of tick.due.listKeys("requestDeadline")) {
        const row = world.tables.requests.get(id as RequestId);
        if (row) {
            refuseForwardRequest(world, tick, row, row.attempts.length === 0 ? "overloaded" : "deadline_exceeded");
        }
    }
}

/**
 * Refuses requests whose key was withdrawn before they were sent to any target. Others were accepted and sent while the
 * key was valid; they continue, also at another target.
 */
function expireWithdrawnKeys(world: ForwardWorld, tick: ForwardTick): void {
    for (const row of world.tables.requests.list("queued")) {
        if (row.attempts.length === 0 && isKeyWithdrawn(world, row)) {
            refuseForwardRequest(world, tick, row, "key_unknown");
        }
    }
}

/**
 * Reads: configuration. Writes: requests, targets, usage windows.
 * Effects: refusals, interruptions, cancelled attempts.
 */
export function expireRequests(world: ForwardWorld, tick: ForwardTick): void {
    expireOverdue(world, tick);
    for (const { request } of tick.events.list("answerDelivered")) {
        world.tables.requests.recordDelivery(request);
    }
    for (const { request } of tick.events.list("callerDisconnected")) {
        world.tables.requests.recordDelivery(request);
        const row = world.tables.requests.get(request);
        if (row) {
            logInfo(world.effects, "stream:", "Caller closed the connection.", { request });
            refuseForwardRequest(world, tick, row, "caller_gone");
        }
    }
    expireWithdrawnKeys(world, tick);
}
