/** Reserves tokens for admitted requests from the floor of this VM. */
import { logInfo } from "../effects";
import { type AccountId, addMillis } from "../ids";
import { applyBucketLimits, computeRefillWait, createBucket, reserveFromBucket, updateBucket } from "../policy/bucket";
import { getStateWithTokens, type RequestRow } from "../tables/requests";
import type { Tick, World } from "../world";
import { refuseRequest } from "./requestEnd";

/** Longest time a request waits for tokens before it is refused. */
const maxTokenWaitMs = 250;

function updateFloors(world: World, tick: Tick): void {
    const { configuration, floors } = world.tables;
    const { floorFraction, floorSlots } = world.settings.rates;
    const share = floorFraction / floorSlots;
    const { accounts } = configuration.document;
    for (const [id, account] of Object.entries(accounts) as [AccountId, (typeof accounts)[AccountId]][]) {
        const limits = { rate: account.rate * share, burst: account.burst * share };
        const bucket = floors.get(id);
        if (!bucket) {
            floors.add(id, createBucket({ ...limits, now: tick.now }));
        }
        else if (bucket.rate !== limits.rate || bucket.burst !== limits.burst) {
            applyBucketLimits(bucket, limits);
        }
    }
    for (const [id] of floors.list()) {
        if (!Object.hasOwn(accounts, id)) {
            floors.remove(id);
        }
    }
}

function reserveFromFloor(world: World, tick: Tick, account: AccountId, row: RequestRow): void {
    const bucket = world.tables.floors.get(account);
    const tokens = row.promptTokens + row.maxTokens;
    if (!bucket) {
        refuseRequest(world, row, "rate_limited", { retryAfterSeconds: 1 });
        return;
    }
    updateBucket(bucket, tick.now);
    if (reserveFromBucket(bucket, tokens)) {
        row.reservations.push({ source: { kind: "floor" }, open: tokens, spent: 0 });
        world.tables.requests.updateState(row, getStateWithTokens(row));
        row.queuedAt = tick.now;
        return;
    }
    const wait = computeRefillWait(bucket, tokens);
    if (wait === undefined) {
        refuseRequest(world, row, "too_large_for_burst");
        return;
    }
    if (tick.now - row.arrival.arrivedAt + wait > maxTokenWaitMs) {
        logInfo(world.effects, "rate:", "Account is over its rate.", { account, request: row.id, tokens });
        refuseRequest(world, row, "rate_limited", { retryAfterSeconds: Math.ceil(wait / 1000) });
        return;
    }
    world.timers.schedule({ name: "tokenWait", at: addMillis(tick.now, Math.max(1, wait)), key: row.id });
}

/**
 * Reads: configuration. Writes: floors, requests.
 * Effects: refusals, log lines.
 */
export function reserveTokens(world: World, tick: Tick): void {
    updateFloors(world, tick);
    for (const row of world.tables.requests.list("reserving")) {
        if (row.account === undefined) {
            world.tables.requests.updateState(row, getStateWithTokens(row));
            row.queuedAt = tick.now;
        }
        else {
            reserveFromFloor(world, tick, row.account, row);
        }
    }
}
