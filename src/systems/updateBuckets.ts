/** Updates the buckets of this VM: limits from the configuration, refill, expiry of issued grants. */
import type { Account } from "../config/document";
import { logInfo } from "../effects";
import type { AccountId, Millis } from "../ids";
import { applyBucketLimits, type Bucket, createBucket, settleBucket, updateBucket } from "../policy/bucket";
import type { BucketRow, IssuedGrant } from "../tables/buckets";
import { isLeaseValidOnStoreClock } from "../tables/node";
import type { Tick, World } from "../world";
import { endOwnership } from "./ownership";

interface Limits {
    readonly rate: number;
    readonly burst: number;
}

function updateLimits(bucket: Bucket, now: Millis, limits: Limits): void {
    updateBucket(bucket, now);
    if (bucket.rate !== limits.rate || bucket.burst !== limits.burst) {
        applyBucketLimits(bucket, limits);
    }
}

/** True while this process may use floors: it holds a slot, and its lease is valid even on a faster clock. */
export function canUseFloors(world: World, now: Millis): boolean {
    const { slot, slotLease } = world.tables.node;
    return slot !== undefined
        && isLeaseValidOnStoreClock(slotLease, now, world.settings.rates.floorLeaseSeconds * 1000);
}

function updateFloors(world: World, now: Millis, accounts: Readonly<Record<AccountId, Account>>): void {
    const { floors } = world.tables;
    const canUse = canUseFloors(world, now);
    for (const [id] of floors.list()) {
        if (!canUse || !Object.hasOwn(accounts, id)) {
            floors.remove(id);
        }
    }
    if (!canUse) {
        return;
    }
    const share = world.settings.rates.floorFraction / world.settings.rates.floorSlots;
    for (const [id, account] of Object.entries(accounts) as [AccountId, Account][]) {
        const limits = { rate: account.rate * share, burst: account.burst * share };
        const floor = floors.get(id);
        if (floor) {
            updateLimits(floor.bucket, now, limits);
        }
        else {
            floors.add(id, createBucket({ ...limits, now }));
        }
    }
}

/** Applies the expiry of a grant: tokens of running requests stay outstanding; all other tokens count as spent. */
function expireGrant(row: BucketRow, grant: IssuedGrant, now: Millis, retentionMs: number): void {
    if (now < grant.expiresAt) {
        return;
    }
    const stillReserved = now < grant.reservedUntil ? Math.min(grant.outstanding, grant.reserved) : 0;
    if (stillReserved < grant.outstanding) {
        settleBucket(row.bucket, { spent: grant.outstanding - stillReserved });
        grant.outstanding = stillReserved;
    }
    // An ended grant is kept for a while, or a late report on it would be taken for one on an earlier owner's grant.
    if (grant.outstanding === 0 && now >= Math.max(grant.expiresAt, grant.reservedUntil) + retentionMs) {
        row.grants.delete(grant.id);
    }
}

function updateBucketRow(world: World, row: BucketRow, now: Millis): void {
    const account = world.tables.configuration.document.accounts[row.account];
    if (!account) {
        endOwnership(world, row, now);
        return;
    }
    const share = 1 - world.settings.rates.floorFraction;
    updateLimits(row.bucket, now, { rate: account.rate * share, burst: account.burst * share });
    if (row.previousOwnerTokens > 0 && now >= row.previousOwnerTokensUntil) {
        settleBucket(row.bucket, { spent: row.previousOwnerTokens });
        row.previousOwnerTokens = 0;
        logInfo(world.effects, "rate:", "Grants of the previous owner have expired.", { account: row.account });
    }
    for (const grant of row.grants.values()) {
        expireGrant(row, grant, now, world.settings.rates.grantTtlMs);
    }
}

/**
 * Runs before every system that settles tokens, because a bucket must be refilled before its outstanding tokens
 * change. Otherwise tokens would accrue, for the time before the change, into room that the change has made.
 *
 * Reads: configuration, node. Writes: floors, buckets, grants.
 * Effects: log lines.
 */
export function updateBuckets(world: World, tick: Tick): void {
    const { buckets, configuration } = world.tables;
    updateFloors(world, tick.now, configuration.document.accounts);
    for (const row of buckets.list()) {
        updateBucketRow(world, row, tick.now);
    }
}
