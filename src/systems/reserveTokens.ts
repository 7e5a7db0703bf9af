/** Reserves tokens for admitted requests from grants, from the bucket if this VM owns it, and from the VM's floor. */
import { logInfo } from "../effects";
import { type AccountId, addMillis } from "../ids";
import { reserveFromBucket, settleBucket } from "../policy/bucket";
import { recordDemand } from "../policy/demand";
import { computeAvailable, type HolderRow } from "../tables/grants";
import { getStateAfterReservation, type RequestRow } from "../tables/requests";
import type { Tick, World } from "../world";
import { expireHeldGrants, handleOwnerAnswers, requestGrant, requestPrefetch, scheduleHolder } from "./holderGrants";
import { findOwnedBucket } from "./ownership";
import { refuseRequest } from "./requestEnd";
import { canUseFloors } from "./updateBuckets";

/** Maximum time a request waits for tokens before it is refused. */
const maxTokenWaitMs = 250;
const maxRetryAfterSeconds = 60;

/** Whole tokens by source: available to an account on this VM now, or to be reserved for a request. */
interface TokensBySource {
    readonly grants: number;
    readonly bucket: number;
    readonly floor: number;
}

function computeTokensBySource(world: World, tick: Tick, holder: HolderRow): TokensBySource {
    const floor = canUseFloors(world, tick.now) ? world.tables.floors.get(holder.account) : undefined;
    return {
        grants: computeAvailable(holder),
        bucket: Math.floor(findOwnedBucket(world, holder.account, tick.now)?.bucket.level ?? 0),
        floor: Math.floor(floor?.bucket.level ?? 0),
    };
}

/** Splits an amount over the sources; undefined if they do not suffice. Floors come last, to save them for outages. */
function chooseSplit({ grants, bucket, floor }: TokensBySource, tokens: number): TokensBySource | undefined {
    if (grants + bucket + floor < tokens) {
        return undefined;
    }
    if (grants + bucket < tokens && floor >= tokens) {
        return { grants: 0, bucket: 0, floor: tokens };
    }
    const fromGrants = Math.min(grants, tokens);
    const fromBucket = Math.min(bucket, tokens - fromGrants);
    return { grants: fromGrants, bucket: fromBucket, floor: tokens - fromGrants - fromBucket };
}

function reserveFromGrants(holder: HolderRow, row: RequestRow, tokens: number): void {
    let rest = tokens;
    for (const grant of holder.grants.values()) {
        const taken = Math.min(rest, grant.available);
        if (taken > 0) {
            rest -= taken;
            grant.available -= taken;
            grant.reserved += taken;
            grant.sequence += 1;
            grant.reservedUntil = row.deadline > grant.reservedUntil ? row.deadline : grant.reservedUntil;
            row.reservations.push({ source: { kind: "grant", grant: grant.id }, open: taken, spent: 0 });
        }
    }
}

function reserveFromSources(world: World, holder: HolderRow, row: RequestRow, split: TokensBySource): void {
    const bucket = world.tables.buckets.get(holder.account);
    const floor = world.tables.floors.get(holder.account);
    reserveFromGrants(holder, row, split.grants);
    if (split.bucket > 0 && bucket && reserveFromBucket(bucket.bucket, split.bucket)) {
        bucket.ownReserved += split.bucket;
        row.reservations.push({
            source: { kind: "bucket", ownGrantId: bucket.ownGrantId },
            open: split.bucket,
            spent: 0,
        });
    }
    if (split.floor > 0 && floor && reserveFromBucket(floor.bucket, split.floor)) {
        row.reservations.push({ source: { kind: "floor", serial: floor.serial }, open: split.floor, spent: 0 });
    }
}

/** Charges the tokens that earlier requests used beyond their reservations. */
function settleOverspentTokens(world: World, tick: Tick, holder: HolderRow): void {
    const availableTokens = computeTokensBySource(world, tick, holder);
    const split = chooseSplit(
        availableTokens,
        Math.min(holder.overspentTokens, availableTokens.grants + availableTokens.bucket + availableTokens.floor),
    );
    if (!split) {
        return;
    }
    let rest = split.grants;
    for (const grant of holder.grants.values()) {
        const taken = Math.min(rest, grant.available);
        rest -= taken;
        grant.available -= taken;
        grant.spent += taken;
        grant.sequence += 1;
    }
    const buckets = [
        [world.tables.buckets.get(holder.account)?.bucket, split.bucket],
        [world.tables.floors.get(holder.account)?.bucket, split.floor],
    ] as const;
    for (const [bucket, tokens] of buckets) {
        if (bucket && tokens > 0 && reserveFromBucket(bucket, tokens)) {
            settleBucket(bucket, { spent: tokens });
        }
    }
    holder.overspentTokens -= split.grants + split.bucket + split.floor;
}

function admitToQueue(world: World, tick: Tick, row: RequestRow): void {
    world.tables.requests.updateState(row, getStateAfterReservation(row));
    row.queuedAt = tick.now;
}

const computeRequestTokens = (row: RequestRow): number => row.promptTokens + row.maxTokens;

/** Computes the largest reservation that is possible when all buckets are full. */
function computeMaxReservation(world: World, tick: Tick, account: AccountId): number {
    const { floorFraction, floorSlots } = world.settings.rates;
    const burst = world.tables.configuration.document.accounts[account]?.burst ?? 0;
    const floorShare = canUseFloors(world, tick.now) ? floorFraction / floorSlots : 0;
    return burst * (1 - floorFraction + floorShare);
}

/** Computes the time until the buckets of this VM alone have refilled to the needed tokens. */
function computeLocalWaitMs(world: World, tick: Tick, holder: HolderRow, tokens: number): number {
    const ownedBucket = findOwnedBucket(world, holder.account, tick.now);
    const floor = world.tables.floors.get(holder.account);
    const { grants, bucket, floor: floorTokens } = computeTokensBySource(world, tick, holder);
    const rate = (ownedBucket?.bucket.rate ?? 0) + (floor?.bucket.rate ?? 0);
    const maxLocalTokens = grants + (ownedBucket?.bucket.burst ?? 0) + (floor?.bucket.burst ?? 0);
    if (rate <= 0 || maxLocalTokens < tokens) {
        return Number.POSITIVE_INFINITY;
    }
    const previousOwnerWaitMs = ownedBucket && ownedBucket.previousOwnerTokens > 0
        ? Math.max(0, ownedBucket.previousOwnerTokensUntil - tick.now)
        : 0;
    return previousOwnerWaitMs + ((tokens - grants - bucket - floorTokens) / rate) * 1000;
}

function refuseRateLimited(world: World, tick: Tick, holder: HolderRow, row: RequestRow, localWaitMs: number): void {
    const ownerWaitMs = holder.emptyUntil > tick.now ? holder.emptyUntil - tick.now : Number.POSITIVE_INFINITY;
    const seconds = Math.ceil(Math.min(localWaitMs, ownerWaitMs) / 1000);
    logInfo(world.effects, "rate:", "Account exceeds its rate, or its bucket owner is unreachable.", {
        account: holder.account,
        request: row.id,
        tokens: computeRequestTokens(row),
    });
    refuseRequest(world, row, "rate_limited", {
        retryAfterSeconds: Number.isFinite(seconds) ? Math.min(maxRetryAfterSeconds, Math.max(1, seconds)) : 1,
    });
}

/** Lets a request wait if tokens can become available within `maxTokenWaitMs`; refuses it otherwise. */
function waitForTokens(world: World, tick: Tick, holder: HolderRow, row: RequestRow): boolean {
    const tokens = computeRequestTokens(row) + holder.overspentTokens;
    const waitDeadline = addMillis(row.arrival.arrivedAt, maxTokenWaitMs);
    const localWaitMs = computeLocalWaitMs(world, tick, holder, tokens);
    const canRefillInTime = tick.now + localWaitMs <= waitDeadline;
    const isOwner = findOwnedBucket(world, holder.account, tick.now) !== undefined;
    const canOwnerGrantInTime = !isOwner && holder.emptyUntil <= waitDeadline;
    if (tick.now >= waitDeadline || (!canRefillInTime && !canOwnerGrantInTime)) {
        refuseRateLimited(world, tick, holder, row, localWaitMs);
        return false;
    }
    const refillAt = canRefillInTime ? addMillis(tick.now, Math.max(1, Math.ceil(localWaitMs))) : waitDeadline;
    const requestAt = !isOwner && holder.requestNotBefore > tick.now ? holder.requestNotBefore : waitDeadline;
    scheduleHolder(
        world,
        tick,
        holder,
        [refillAt, requestAt, waitDeadline].reduce((earliest, at) => (at < earliest ? at : earliest)),
    );
    return true;
}

function reserveForRow(
    world: World,
    tick: Tick,
    holder: HolderRow,
    row: RequestRow,
): "reserved" | "waiting" | "refused" {
    const tokens = computeRequestTokens(row);
    const split = holder.overspentTokens > 0
        ? undefined
        : chooseSplit(computeTokensBySource(world, tick, holder), tokens);
    if (split) {
        reserveFromSources(world, holder, row, split);
        recordDemand(holder.demand, tokens, tick.now, world.settings.rates.grantTtlMs);
        admitToQueue(world, tick, row);
        return "reserved";
    }
    if (tokens > computeMaxReservation(world, tick, holder.account)) {
        refuseRequest(world, row, "too_large_for_burst");
        return "refused";
    }
    return waitForTokens(world, tick, holder, row) ? "waiting" : "refused";
}

/** Requests the tokens that the waiting requests of an account lack. */
function requestMissingTokens(world: World, tick: Tick, holder: HolderRow, waiting: readonly number[]): void {
    if (findOwnedBucket(world, holder.account, tick.now)) {
        return;
    }
    const { grants, floor } = computeTokensBySource(world, tick, holder);
    const minTokens = Math.min(...waiting) + holder.overspentTokens;
    const totalTokens = waiting.reduce((sum, tokens) => sum + tokens, holder.overspentTokens);
    const atLeast = Math.max(1, Math.ceil(minTokens - grants - floor));
    requestGrant(world, tick, holder, { needed: Math.max(atLeast, Math.ceil(totalTokens - grants)), atLeast });
}

function reserveForAccount(world: World, tick: Tick, account: AccountId, rows: readonly RequestRow[]): void {
    const holder = world.tables.grants.get(account);
    if (holder.overspentTokens > 0) {
        settleOverspentTokens(world, tick, holder);
    }
    const waiting = rows.filter(row => reserveForRow(world, tick, holder, row) === "waiting");
    if (waiting.length > 0) {
        requestMissingTokens(world, tick, holder, waiting.map(computeRequestTokens));
        return;
    }
    requestPrefetch(world, tick, holder);
}

function listByAccount(world: World, tick: Tick): Map<AccountId, RequestRow[]> {
    const byAccount = new Map<AccountId, RequestRow[]>();
    for (const row of world.tables.requests.list("reserving")) {
        if (row.account === undefined) {
            admitToQueue(world, tick, row);
            continue;
        }
        const rows = byAccount.get(row.account) ?? [];
        rows.push(row);
        byAccount.set(row.account, rows);
    }
    return byAccount;
}

function expireHolders(world: World, tick: Tick): void {
    const { configuration, grants } = world.tables;
    for (const holder of grants.list()) {
        expireHeldGrants(world, tick, holder);
        if (!Object.hasOwn(configuration.document.accounts, holder.account) && holder.grants.size === 0) {
            grants.remove(holder.account);
        }
    }
}

/**
 * Reads: configuration, members, node. Writes: grants, buckets, floors, requests.
 * Effects: requests and reports to bucket owners, refusals, log lines.
 */
export function reserveTokens(world: World, tick: Tick): void {
    handleOwnerAnswers(world, tick);
    expireHolders(world, tick);
    for (const [account, rows] of listByAccount(world, tick)) {
        reserveForAccount(world, tick, account, rows);
    }
}
