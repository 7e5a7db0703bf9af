/** Owner side of rate limiting: buckets owned by this VM, grants issued from them, known owners of other buckets. */
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

/** Grant issued from an owned bucket, as the owner accounts for it. */
export interface GivenGrant extends ReportedGrant {
    readonly id: GrantId;
    readonly holder: VmId;
}

export interface BucketRow {
    readonly account: AccountId;
    readonly fencing: FencingNumber;
    readonly lease: LeaseId;
    readonly bucket: Bucket;
    /** Grant id under which requests of this VM reserve tokens directly from the bucket. */
    readonly ownUse: GrantId;
    /** Tokens reserved by running requests of this VM. */
    ownReserved: number;
    /** Tokens that the previous owner may have granted; they count as outstanding until `heldUntil`. */
    held: number;
    readonly heldUntil: Millis;
    readonly grants: Map<GrantId, GivenGrant>;
}

/** Bucket ownership of one account, as known to this VM, with the acquisition in progress. */
export interface OwnershipRow {
    readonly account: AccountId;
    /** Member lease of the acquisition in progress. */
    acquiring: LeaseId | undefined;
    /** True from a request for ownership until the next acquisitions are sent. */
    isWanted: boolean;
    /** Owner according to the store when another process held the key at the last acquisition. */
    owner: OwnerAddress | undefined;
    /** Time at which the last acquisition was sent. */
    checkedAt: Millis | undefined;
    /** Member lease to which the store key was attached when this process last owned the bucket. */
    heldLease: LeaseId | undefined;
}

export interface BucketsTable {
    get(account: AccountId): BucketRow | undefined;
    list(): readonly BucketRow[];
    add(row: BucketRow): void;
    remove(account: AccountId): void;
    getOwnership(account: AccountId): OwnershipRow;
    listWanted(): readonly OwnershipRow[];
    /** Creates a grant id that is unique over all owners. */
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
            // Never reset, because a process can own the same bucket twice under the same fencing number.
            count += 1;
            return toGrantId(`${fencing}.${count}`);
        },
    };
}
