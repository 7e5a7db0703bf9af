/** Holder side of rate limiting: the grants that this VM may use and the known bucket owner of each client account. */
import type { AccountId, FencingToken, GrantId, Millis } from "../ids";
import type { GrantReport, OwnerAddress } from "../peers";
import type { Demand } from "../policy/demand";

/** Grant as the holder accounts for it: `available + reserved + spent + returned` equals the granted tokens. */
export interface GrantRow {
    readonly id: GrantId;
    available: number;
    reserved: number;
    spent: number;
    returned: number;
    /** Latest deadline of the requests that reserved tokens. */
    reservedUntil: Millis;
    /** Unused tokens are returned from this time on, so that the report reaches the owner before the grant expires. */
    readonly returnAt: Millis;
    readonly expiresAt: Millis;
    /** Incremented with each change of the counts. */
    sequence: number;
    /** Highest sequence number that an owner has acknowledged. */
    acknowledgedSequence: number;
}

/** Grants and owner of one account. */
export interface HolderRow {
    readonly account: AccountId;
    readonly grants: Map<GrantId, GrantRow>;
    owner: OwnerAddress | undefined;
    /** Highest fencing token in the answers of owners. */
    fencingToken: FencingToken | undefined;
    /** True while a call to the owner is pending. */
    isPending: boolean;
    /** Earliest time of the next request for tokens. */
    requestNotBefore: Millis;
    /** Earliest time of the next prefetch of tokens. */
    prefetchNotBefore: Millis;
    /** Earliest time of the next regular report to the owner. */
    reportNotBefore: Millis;
    /** Time at which the owner expects to have tokens again, from its last `empty` answer. */
    emptyUntil: Millis;
    readonly demand: Demand;
    /** Tokens used beyond reservations; charged to the next tokens that the account gets on this VM. */
    overspentTokens: number;
    /** Time of the next timer of this row. */
    timerAt: Millis | undefined;
}

export interface GrantsTable {
    get(account: AccountId): HolderRow;
    find(account: AccountId): HolderRow | undefined;
    list(): readonly HolderRow[];
    remove(account: AccountId): void;
}

/** Creates an empty table. */
export function createGrantsTable(): GrantsTable {
    const rows = new Map<AccountId, HolderRow>();
    return {
        get: account => {
            const row = rows.get(account) ?? {
                account,
                grants: new Map(),
                owner: undefined,
                fencingToken: undefined,
                isPending: false,
                requestNotBefore: 0 as Millis,
                prefetchNotBefore: 0 as Millis,
                reportNotBefore: 0 as Millis,
                emptyUntil: 0 as Millis,
                demand: { tokens: 0, updatedAt: 0 as Millis },
                overspentTokens: 0,
                timerAt: undefined,
            };
            rows.set(account, row);
            return row;
        },
        find: account => rows.get(account),
        list: () => [...rows.values()],
        remove: account => {
            rows.delete(account);
        },
    };
}

/** Computes the tokens that can be reserved from the grants of the account. */
export function computeAvailable(holder: HolderRow): number {
    let tokens = 0;
    for (const grant of holder.grants.values()) {
        tokens += grant.available;
    }
    return tokens;
}

export function buildReport(grant: GrantRow, now: Millis): GrantReport {
    const { id, sequence, spent, returned, reserved, reservedUntil } = grant;
    return { grant: id, sequence, spent, returned, reserved, reservedForMs: Math.max(0, reservedUntil - now) };
}
