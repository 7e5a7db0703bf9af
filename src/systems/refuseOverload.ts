/** Load shedding: refuses queued requests beyond the queue limits before they are sent. */
import { listItemsToShed } from "../policy/fairQueue";
import type { Tick, World } from "../world";
import { refuseRequest } from "./requestEnd";

const retryAfterSeconds = 2;

/**
 * Reads: requests. Writes: requests, floors.
 * Effects: refusals, log lines. Requests that were sent before are not shed, so that their work is not lost.
 */
export function refuseOverload(world: World, _tick: Tick): void {
    const { requests } = world.tables;
    const { queuedRequests, queuedTotal } = world.settings.limits;
    if (requests.count("queued") <= Math.min(queuedRequests, queuedTotal)) {
        return;
    }
    const waiting = requests.list("queued").filter(row => row.attempts.length === 0);
    for (const priority of new Set(waiting.map(row => row.priority))) {
        const rows = waiting.filter(row => row.priority === priority);
        const limits = { maxPerAccount: queuedRequests, maxTotal: queuedTotal };
        for (const row of listItemsToShed(rows, request => request.account ?? "", limits)) {
            refuseRequest(world, row, "overloaded", { retryAfterSeconds });
        }
    }
}
