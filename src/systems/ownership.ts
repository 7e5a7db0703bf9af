/** Ownership of buckets: which member tries to own one, acquisition by a store transaction, end of ownership. */
import { logInfo, logWarning } from "../effects";
import { type AccountId, addMillis, type LeaseId, type Millis, toFencingToken } from "../ids";
import type { OwnerAddress } from "../peers";
import { createBucket } from "../policy/bucket";
import { listByRendezvous } from "../policy/rendezvous";
import { listAnswerReads, type StoreOutcome, type StoreRow } from "../store";
import type { BucketRow, OwnershipRow } from "../tables/buckets";
import { isLeaseValidOnStoreClock, maxClockSpeedRatio } from "../tables/node";
import type { Tick, World } from "../world";
import { listLiveMembers } from "./updateMembership";

export const ratePrefix = "rate/";

/** Minimum interval between acquisition attempts, which also read the owner, for one account. */
const minRecheckIntervalMs = 500;

/** Value of an owner's store key. Incarnation and lease distinguish processes with the same VM name. */
export interface OwnerRecord extends OwnerAddress {
    readonly incarnation: string;
    readonly lease: LeaseId;
}

/** Finds the bucket of the account if this VM may grant from it now. */
export function findOwnedBucket(world: World, account: AccountId, now: Millis): BucketRow | undefined {
    const { buckets, node } = world.tables;
    const row = buckets.get(account);
    const leaseMs = world.settings.membership.leaseSeconds * 1000;
    const isOwned = row !== undefined && row.lease === node.memberLease.id
        && isLeaseValidOnStoreClock(node.memberLease, now, leaseMs);
    return isOwned ? row : undefined;
}

/** Chooses the member that should own the bucket among the live members known to this VM. */
export function chooseOwner(world: World, account: AccountId, now: Millis): OwnerAddress | undefined {
    const { members } = world.tables;
    const liveVms = listLiveMembers(world, now).map(row => row.vm);
    const row = members.get(listByRendezvous(world.hasher, `${ratePrefix}${account}`, liveVms)[0] ?? world.settings.vm);
    return row && { vm: row.vm, address: row.peerAddress };
}

export const isOwnAddress = (world: World, owner: OwnerAddress): boolean =>
    owner.address === world.settings.listen.peers;

/** Marks the bucket for acquisition if this VM should own it; `grantTokens` sends the call. */
export function requestOwnership(world: World, account: AccountId, now: Millis): void {
    const ownership = world.tables.buckets.getOwnership(account);
    const owner = chooseOwner(world, account, now);
    // The store key exists as long as the lease, even after this process ended ownership locally during a store
    // outage. Other members then find the key taken, so only this process can resume ownership.
    const canHoldKey = ownership.lastOwnerLease !== undefined
        && ownership.lastOwnerLease === world.tables.node.memberLease.id;
    if (((owner && isOwnAddress(world, owner)) || canHoldKey) && world.tables.node.state !== "stopped") {
        ownership.isAcquisitionRequested = true;
    }
}

/** Sends the pending acquisitions. */
export function sendAcquisitions(world: World, tick: Tick): void {
    const { buckets, node } = world.tables;
    const { vm, membership, listen } = world.settings;
    const lease = node.memberLease.id;
    for (const row of buckets.listRequestedAcquisitions()) {
        row.isAcquisitionRequested = false;
        const isRecent = row.acquisitionSentAt !== undefined && tick.now - row.acquisitionSentAt < minRecheckIntervalMs;
        const hasSafeLease = lease !== undefined
            && isLeaseValidOnStoreClock(node.memberLease, tick.now, membership.leaseSeconds * 1000);
        if (
            !hasSafeLease || isRecent || row.acquiringLease !== undefined
            || findOwnedBucket(world, row.account, tick.now)
        ) {
            continue;
        }
        row.acquiringLease = lease;
        row.acquisitionSentAt = tick.now;
        const key = `${ratePrefix}${row.account}`;
        const record: OwnerRecord = { vm, address: listen.peers, incarnation: world.incarnation, lease };
        world.effects.append({
            kind: "callStore",
            purpose: { for: "owner", account: row.account, step: "acquire" },
            call: {
                kind: "transaction",
                compare: [{ key, createRevision: 0 }],
                success: [{ kind: "put", key, value: JSON.stringify(record), lease }],
                failure: [{ kind: "range", range: { key } }],
            },
        });
    }
}

function startOwnership(world: World, tick: Tick, ownership: OwnershipRow, lease: LeaseId, revision: number): void {
    const { buckets, configuration } = world.tables;
    const limits = configuration.document.accounts[ownership.account];
    if (!limits || buckets.get(ownership.account)) {
        return;
    }
    const { floorFraction, grantTtlMs } = world.settings.rates;
    const [rate, burst] = [limits.rate * (1 - floorFraction), limits.burst * (1 - floorFraction)];
    const fencingToken = toFencingToken(revision);
    buckets.add({
        account: ownership.account,
        fencingToken,
        lease,
        bucket: createBucket({ rate, burst, now: tick.now, outstanding: burst }),
        ownGrantId: buckets.createGrantId(fencingToken),
        ownReserved: 0,
        previousOwnerTokens: burst,
        previousOwnerTokensUntil: addMillis(tick.now, grantTtlMs * maxClockSpeedRatio),
        grants: new Map(),
    });
    ownership.owner = undefined;
    ownership.lastOwnerLease = lease;
    logInfo(world.effects, "rate:", "Bucket ownership acquired.", {
        account: ownership.account,
        fencing: fencingToken,
    });
}

function handleExistingKey(
    world: World,
    tick: Tick,
    ownership: OwnershipRow,
    lease: LeaseId,
    storedRow: StoreRow,
): void {
    const record = JSON.parse(storedRow.value) as OwnerRecord;
    // The answer to an earlier acquisition was lost, or this process ended its ownership only locally.
    if (record.incarnation === world.incarnation && record.lease === lease) {
        startOwnership(world, tick, ownership, lease, storedRow.modRevision);
        return;
    }
    ownership.owner = { vm: record.vm, address: record.address };
}

/** Handles the answer to an acquisition. */
export function handleAcquisition(world: World, tick: Tick, account: AccountId, outcome: StoreOutcome): void {
    const ownership = world.tables.buckets.getOwnership(account);
    const lease = ownership.acquiringLease;
    ownership.acquiringLease = undefined;
    if (outcome.result.err) {
        logWarning(world.effects, "rate:", "Bucket ownership could not be acquired.", {
            account,
            reason: outcome.result.val.message,
        });
        return;
    }
    // A key that was written with an earlier lease of this process expires with that lease.
    if (
        lease === undefined || lease !== world.tables.node.memberLease.id || outcome.result.val.kind !== "transaction"
    ) {
        return;
    }
    const answer = outcome.result.val;
    const existingRow = listAnswerReads(answer)[0];
    if (answer.succeeded) {
        startOwnership(world, tick, ownership, lease, answer.revision);
    }
    else if (existingRow) {
        handleExistingKey(world, tick, ownership, lease, existingRow);
    }
}

/** Ends ownership locally. Tokens of running requests are then tracked as a grant and reported to the next owner. */
export function endOwnership(world: World, row: BucketRow, now: Millis): void {
    const { buckets, grants, requests } = world.tables;
    buckets.remove(row.account);
    if (row.ownReserved > 0) {
        const deadlines = requests.list("running").concat(requests.list("queued"), requests.list("claiming"))
            .filter(request => request.account === row.account)
            .map(request => request.deadline);
        grants.get(row.account).grants.set(row.ownGrantId, {
            id: row.ownGrantId,
            available: 0,
            reserved: row.ownReserved,
            spent: 0,
            returned: 0,
            reservedUntil: deadlines.reduce((latest, at) => (at > latest ? at : latest), now),
            returnAt: now,
            expiresAt: now,
            sequence: 1,
            acknowledgedSequence: 0,
        });
    }
    logInfo(world.effects, "rate:", "Bucket ownership ended.", {
        account: row.account,
        fencing: row.fencingToken,
    });
}
