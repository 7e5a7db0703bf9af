/** Ends requests whose deadline passed, whose caller went away, or whose target has fallen silent. */
import { logInfo } from "../../effects";
import type { RequestId } from "../../ids";
import type { ForwardTick } from "../events";
import type { ForwardWorld } from "../world";
import { isKeyWithdrawn, refuseForward } from "./requestEnd";

function expireOverdue(world: ForwardWorld, tick: ForwardTick): void {
    for (const id of tick.due.listKeys("requestDeadline")) {
        const row = world.tables.requests.get(id as RequestId);
        if (row) {
            refuseForward(world, tick, row, row.attempts.length === 0 ? "overloaded" : "deadline_exceeded");
        }
    }
}

/** A key that was withdrawn ends what waits; what runs was sent while the key was valid and goes on. */
function expireWithdrawn(world: ForwardWorld, tick: ForwardTick): void {
    for (const row of world.tables.requests.list("queued")) {
        if (isKeyWithdrawn(world, row)) {
            refuseForward(world, tick, row, "key_unknown");
        }
    }
}

/**
 * Reads: configuration. Writes: requests, targets, shares.
 * Effects: refusals, interruptions, cancelled attempts.
 */
export function expireRequests(world: ForwardWorld, tick: ForwardTick): void {
    expireOverdue(world, tick);
    for (const { request } of tick.events.list("answerDelivered")) {
        world.tables.requests.recordDelivery(request);
    }
    for (const { request } of tick.events.list("callerGone")) {
        world.tables.requests.recordDelivery(request);
        const row = world.tables.requests.get(request);
        if (row) {
            logInfo(world.effects, "stream:", "Caller closed the connection.", { request });
            refuseForward(world, tick, row, "caller_gone");
        }
    }
    expireWithdrawn(world, tick);
}
