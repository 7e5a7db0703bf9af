/** Floor buckets: the share of each account's rate that this VM may use without a grant from the bucket owner. */
import type { AccountId } from "../ids";
import type { Bucket } from "../policy/bucket";

export interface FloorRow {
    readonly bucket: Bucket;
    /** Distinguishes floors of the same account over time: a reservation is settled only with its own floor. */
    readonly serial: number;
}

export interface FloorsTable {
    get(account: AccountId): FloorRow | undefined;
    list(): readonly (readonly [AccountId, FloorRow])[];
    add(account: AccountId, bucket: Bucket): void;
    remove(account: AccountId): void;
}

/** Creates an empty table. */
export function createFloorsTable(): FloorsTable {
    const rows = new Map<AccountId, FloorRow>();
    let serial = 0;
    return {
        get: account => rows.get(account),
        list: () => [...rows.entries()],
        add: (account, bucket) => {
            serial += 1;
            rows.set(account, { bucket, serial });
        },
        remove: account => {
            rows.delete(account);
        },
    };
}
