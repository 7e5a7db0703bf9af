/** Owner side of rates: buckets that this VM owns, the grants it gave from them, and what it knows of other owners. */
import {
    type AccountId,
    type FencingNumber,
    type GrantId,
    type LeaseId,
    type Millis,
    toGrantId,
    type VmId,
} from "../ids";
import type { OwnerAddress } from "../peers";
import type { Bucket } from "../policy/bucket";
import type { ReportedGrant } from "../policy/settlement";

/** A grant as its owner counts it. */
export interface GivenGrant extends ReportedGrant {
    readonly id: GrantId;
    readonly holder: VmId;
}

export interface BucketRow {
    readonly account: AccountId;
    readonly fencing: FencingNumber;
    readonly lease: LeaseId;
    readonly bucket: Bucket;
    /** Names the use that this VM makes of its own bucket in reservations of requests. */
    readonly ownUse: GrantId;
    /** Tokens reserved by running requests of this VM. */
    ownReserved: number;
    /** Tokens that count as outstanding until `heldUntil`, because the owner before may have granted them. */
    held: number;
    readonly heldUntil: Millis;
    readonly grants: Map<GrantId, GivenGrant>;
}

/** State of the attempts of this VM to own the bucket of an account. */
export interface OwnershipRow {
    readonly account: AccountId;
    /** Member lease of the acquisition under way. */
    acquiring: LeaseId | undefined;
    isWanted: boolean;
    /** Process that the store named as owner at `checkedAt`. */
    owner: OwnerAddress | undefined;
    checkedAt: Millis | undefined;
    /** Member lease that carried the store key when this process last owned the bucket. */
    heldLease: LeaseId | undefined;
}

export interface BucketsTable {
    get(account: AccountId): BucketRow | undefined;
    list(): readonly BucketRow[];
    add(row: BucketRow): void;
    remove(account: AccountId): void;
    getOwnership(account: AccountId): OwnershipRow;
    listWanted(): readonly OwnershipRow[];
    /** Creates an id that no other grant of any owner has. */
    createGrantId(fencing: FencingNumber): GrantId;
}

/** Creates an empty table. */
export function createBucketsTable(): BucketsTable {
    const rows = new Map<AccountId, BucketRow>();
    const ownerships = new Map<AccountId, OwnershipRow>();
    let count = 0;
    return {
        get: account => rows.get(account),
        list: () => [...rows.values()],
        add: row => {
            rows.set(row.account, row);
        },
        remove: account => {
            rows.delete(account);
        },
        getOwnership: account => {
            const row = ownerships.get(account)
                ?? {
                    account,
                    acquiring: undefined,
                    isWanted: false,
                    owner: undefined,
                    checkedAt: undefined,
                    heldLease: undefined,
                };
            ownerships.set(account, row);
            return row;
        },
        listWanted: () => [...ownerships.values()].filter(row => row.isWanted),
        createGrantId: fencing => {
            // The count is never reset: a process can own the same bucket under the same fencing number twice.
            count += 1;
            return toGrantId(`${fencing}.${count}`);
        },
    };
}
