/** Fair queue: deficit round robin over accounts, measured in tokens, and the choice of items for load shedding. */

/** Lower bound of the quantum, the number of tokens added to an account's deficit in each turn. */
const minQuantumTokens = 64;
/**
 * Upper bound of the turns that the largest waiting request needs. More turns mean smaller quanta and shorter waits
 * behind other accounts.
 */
const maxTurns = 64;

export interface FairQueue {
    /** Accounts with waiting items, in round-robin order. */
    readonly ring: string[];
    /** Deficit counters: tokens that each account may still send in its turn. */
    readonly deficits: Map<string, number>;
}

/** Creates an empty queue. */
export const createFairQueue = (): FairQueue => ({ ring: [], deficits: new Map() });

/**
 * Result of sending one item: it was sent, or it has to wait, or all items of its account have to wait, or all items of
 * all accounts.
 */
export type SendOutcome = "sent" | "item_waits" | "account_waits" | "all_wait";

export interface FairQueueOptions<Item> {
    readonly getAccount: (item: Item) => string;
    readonly getTokens: (item: Item) => number;
    readonly send: (item: Item) => SendOutcome;
}

function listByAccount<Item>(items: readonly Item[], getAccount: (item: Item) => string): Map<string, Item[]> {
    const byAccount = new Map<string, Item[]>();
    for (const item of items) {
        const account = getAccount(item);
        const list = byAccount.get(account);
        if (list) {
            list.push(item);
        }
        else {
            byAccount.set(account, [item]);
        }
    }
    return byAccount;
}

/** Removes accounts without waiting items, with their deficits, and appends new accounts. */
function updateRing({ ring, deficits }: FairQueue, accounts: ReadonlyMap<string, unknown>): void {
    const keptAccounts = ring.filter(account => accounts.has(account));
    const keptAccountSet = new Set(keptAccounts);
    const newAccounts = [...accounts.keys()].filter(account => !keptAccountSet.has(account));
    ring.splice(0, ring.length, ...keptAccounts, ...newAccounts);
    for (const account of deficits.keys()) {
        if (!accounts.has(account)) {
            deficits.delete(account);
        }
    }
}

interface Turn<Item> {
    readonly account: string;
    readonly items: Item[];
    readonly quantum: number;
    /** Number of quanta that each account received in this call. */
    readonly turnCounts: Map<string, number>;
    /** Accounts with items that cannot be sent now. */
    readonly accountsWithBlockedItems: Set<string>;
}

/** Sends items of one account until its deficit is used up. */
function runTurn<Item>(
    { deficits }: FairQueue,
    { account, items, quantum, turnCounts, accountsWithBlockedItems }: Turn<Item>,
    { getTokens, send }: FairQueueOptions<Item>,
): "turn_ended" | "account_waits" | "all_wait" {
    let deficit = deficits.get(account) ?? 0;
    if (deficit < getTokens(items[0] as Item)) {
        deficit += quantum;
        turnCounts.set(account, (turnCounts.get(account) ?? 0) + 1);
    }
    for (;;) {
        deficits.set(account, deficit);
        const item = items[0];
        if (item === undefined || getTokens(item) > deficit) {
            return "turn_ended";
        }
        const outcome = send(item);
        if (outcome === "account_waits" || outcome === "all_wait") {
            return outcome;
        }
        items.shift();
        if (outcome === "item_waits") {
            accountsWithBlockedItems.add(account);
        }
        deficit -= outcome === "sent" ? getTokens(item) : 0;
    }
}

/** Adds to waiting accounts the quanta that other accounts received meanwhile, up to the largest waiting request. */
function addMissedTurns(
    { deficits }: FairQueue,
    waitingAccounts: ReadonlySet<string>,
    turnCounts: ReadonlyMap<string, number>,
    quantum: number,
): void {
    const maxTurnCount = Math.max(0, ...turnCounts.values());
    for (const account of waitingAccounts) {
        const deficit = deficits.get(account) ?? 0;
        const missedTokens = (maxTurnCount - (turnCounts.get(account) ?? 0)) * quantum;
        deficits.set(account, Math.max(deficit, Math.min(deficit + missedTokens, maxTurns * quantum)));
    }
}

/**
 * Sends waiting items in the order of deficit round robin until nothing more can be sent. An account whose items are
 * blocked keeps its turn. The queue's state persists between calls, so that the shares stay fair over time although
 * each call may send only one item.
 *
 * @example
 * runFairQueue(createFairQueue(), ["a1", "b1"], {
 *     getAccount: item => item[0] ?? "",
 *     getTokens: () => 1,
 *     send: () => "sent",
 * });
 */
export function runFairQueue<Item>(queue: FairQueue, items: readonly Item[], options: FairQueueOptions<Item>): void {
    const byAccount = listByAccount(items, options.getAccount);
    updateRing(queue, byAccount);
    const { ring, deficits } = queue;
    const firstItemTokens = [...byAccount.values()].map(list => options.getTokens(list[0] as Item));
    const quantum = firstItemTokens.reduce(
        (max, tokens) => Math.max(max, Math.ceil(tokens / maxTurns)),
        minQuantumTokens,
    );
    const waitingAccounts = new Set<string>();
    const turnCounts = new Map<string, number>();
    const accountsWithBlockedItems = new Set<string>();
    for (;;) {
        const index = ring.findIndex(account => !waitingAccounts.has(account));
        const account = ring[index];
        if (account === undefined) {
            break;
        }
        const list = byAccount.get(account) ?? [];
        const result = runTurn(queue, { account, items: list, quantum, turnCounts, accountsWithBlockedItems }, options);
        if (result === "all_wait") {
            break;
        }
        // An account whose items are all blocked keeps its turn too, or it would lose its share to other accounts.
        if (result === "account_waits" || (list.length === 0 && accountsWithBlockedItems.has(account))) {
            waitingAccounts.add(account);
            continue;
        }
        ring.splice(index, 1);
        if (list.length > 0) {
            ring.push(account);
        }
        else {
            deficits.delete(account);
        }
    }
    addMissedTurns(queue, waitingAccounts, turnCounts, quantum);
}

export interface ShedLimits {
    /** Waiting items of one account. */
    readonly maxPerAccount: number;
    /** Waiting items of all accounts together. */
    readonly maxTotal: number;
}

/**
 * Lists the items to drop: those beyond the limit of each account, then, until the total fits, the newest item of the
 * account with the most waiting items.
 */
export function listItemsToShed<Item>(
    items: readonly Item[],
    getAccount: (item: Item) => string,
    { maxPerAccount, maxTotal }: ShedLimits,
): Item[] {
    const lists = [...listByAccount(items, getAccount).values()];
    const shed = lists.flatMap(list => list.splice(maxPerAccount));
    let excess = items.length - shed.length - maxTotal;
    while (excess > 0) {
        const longest = lists.reduce((left, right) => (right.length > left.length ? right : left));
        shed.push(longest.pop() as Item);
        excess -= 1;
    }
    return shed;
}
