/** Holder side of rates: grants that this VM may use, and what it knows of the owner, for each client account. */
import type { AccountId, FencingNumber, GrantId, Millis } from "../ids";
import type { GrantReport, OwnerAddress } from "../peers";
import type { Demand } from "../policy/demand";

/** A grant as its holder counts it: `available + reserved + spent + returned` stays equal to what was granted. */
export interface GrantRow {
    readonly id: GrantId;
    available: number;
    reserved: number;
    spent: number;
    returned: number;
    /** Latest deadline of the requests that reserved tokens. */
    reservedUntil: Millis;
    /** Tokens are given back from here on, early enough for the owner to hear of it before the grant expires. */
    readonly returnAt: Millis;
    readonly expiresAt: Millis;
    /** Counts up with each change; `reported` is the last one that an owner confirmed. */
    sequence: number;
    reported: number;
}

/** What this VM holds and knows for one account. */
export interface HolderRow {
    readonly account: AccountId;
    readonly grants: Map<GrantId, GrantRow>;
    owner: OwnerAddress | undefined;
    /** Highest fencing number of an owner that answered. */
    fencing: FencingNumber | undefined;
    /** True while a call to the owner is under way. */
    isPending: boolean;
    /** No tokens are asked for before this time. */
    askAfter: Millis;
    /** No tokens are asked for in advance before this time. */
    advanceAfter: Millis;
    reportAfter: Millis;
    /** Time at which the owner expected to have tokens, when it had none. */
    emptyUntil: Millis;
    readonly demand: Demand;
    /** Tokens used beyond reservations; charged to the next tokens of the account on this VM. */
    debt: number;
    /** Time of the timer that is set for this row. */
    wakeAt: Millis | undefined;
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
                fencing: undefined,
                isPending: false,
                askAfter: 0 as Millis,
                advanceAfter: 0 as Millis,
                reportAfter: 0 as Millis,
                emptyUntil: 0 as Millis,
                demand: { tokens: 0, at: 0 as Millis },
                debt: 0,
                wakeAt: undefined,
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

/** Tokens of the account that can be reserved from grants now. */
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
