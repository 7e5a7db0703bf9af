/** Owner side of rate limiting: buckets owned by this VM, grants issued from them, known owners of other buckets. */
import {
    type AccountId,
    type FencingToken,
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
export interface IssuedGrant extends ReportedGrant {
    readonly id: GrantId;
    readonly holder: VmId;
}

export interface BucketRow {
    readonly account: AccountId;
    readonly fencingToken: FencingToken;
    readonly lease: LeaseId;
    readonly bucket: Bucket;
    /** Grant id under which requests of this VM reserve tokens directly from the bucket. */
    readonly ownGrantId: GrantId;
    /** Tokens reserved by running requests of this VM. */
    ownReserved: number;
    /** Tokens that the previous owner may have granted; they count as outstanding until `previousOwnerTokensUntil`. */
    previousOwnerTokens: number;
    readonly previousOwnerTokensUntil: Millis;
    readonly grants: Map<GrantId, IssuedGrant>;
}

/** Bucket ownership of one account, as known to this VM, with the acquisition in progress. */
export interface OwnershipRow {
    readonly account: AccountId;
    /** Member lease of the acquisition in progress. */
    acquiringLease: LeaseId | undefined;
    /** True from a request for ownership until the next acquisitions are sent. */
    isAcquisitionRequested: boolean;
    /** Other process that held the store key at the last acquisition; undefined when there was none. */
    owner: OwnerAddress | undefined;
    /** Time at which the last acquisition was sent. */
    acquisitionSentAt: Millis | undefined;
    /** Member lease to which the store key was attached when this process last owned the bucket. */
    lastOwnerLease: LeaseId | undefined;
}

export interface BucketsTable {
    get(account: AccountId): BucketRow | undefined;
    list(): readonly BucketRow[];
    add(row: BucketRow): void;
    remove(account: AccountId): void;
    getOwnership(account: AccountId): OwnershipRow;
    listRequestedAcquisitions(): readonly OwnershipRow[];
    /** Creates a grant id that is unique over all owners. */
    createGrantId(fencingToken: FencingToken): GrantId;
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
                    acquiringLease: undefined,
                    isAcquisitionRequested: false,
                    owner: undefined,
                    acquisitionSentAt: undefined,
                    lastOwnerLease: undefined,
                };
            ownerships.set(account, row);
            return row;
        },
        listRequestedAcquisitions: () => [...ownerships.values()].filter(row => row.isAcquisitionRequested),
        createGrantId: fencingToken => {
            // Never reset, because a process can own the same bucket twice under the same fencing token.
            count += 1;
            return toGrantId(`${fencingToken}.${count}`);
        },
    };
}
