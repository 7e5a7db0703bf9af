/** Floor buckets: the part of each account's rate that this VM may use without asking anybody. */
import type { AccountId } from "../ids";
import type { Bucket } from "../policy/bucket";

export interface FloorsTable {
    get(account: AccountId): Bucket | undefined;
    list(): readonly (readonly [AccountId, Bucket])[];
    add(account: AccountId, bucket: Bucket): void;
    remove(account: AccountId): void;
}

/** Creates an empty table. */
export function createFloorsTable(): FloorsTable {
    const rows = new Map<AccountId, Bucket>();
    return {
        get: account => rows.get(account),
        list: () => [...rows.entries()],
        add: (account, bucket) => {
            rows.set(account, bucket);
        },
        remove: account => {
            rows.delete(account);
        },
    };
}
