/** Fair queue: deficit round robin over accounts by tokens, and the choice of what is shed. */

/** Tokens that an account gains with each turn, at least. */
const minQuantum = 64;
/** Turns that the largest waiting request needs, at most. More turns mean shorter waits behind other accounts. */
const maxTurns = 64;

export interface FairQueue {
    /** Accounts with waiting items, in the order of their turns. */
    readonly ring: string[];
    /** Tokens that each account may still send in its turn. */
    readonly deficits: Map<string, number>;
}

/** Creates an empty queue. */
export const createFairQueue = (): FairQueue => ({ ring: [], deficits: new Map() });

/**
 * Result of sending one item: it was sent; it alone cannot be sent now; nothing of its account can; nothing at
 * all can.
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

/** Accounts without waiting items lose their turn and deficit; new ones join at the end. */
function updateRing({ ring, deficits }: FairQueue, accounts: ReadonlyMap<string, unknown>): void {
    const kept = ring.filter(account => accounts.has(account));
    const known = new Set(kept);
    const added = [...accounts.keys()].filter(account => !known.has(account));
    ring.splice(0, ring.length, ...kept, ...added);
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
    /** Turns of each account in this call that added to its deficit. */
    readonly gains: Map<string, number>;
    /** Accounts with items that cannot be sent now. */
    readonly held: Set<string>;
}

/** Sends items of one account until its deficit is used up. */
function runTurn<Item>(
    { deficits }: FairQueue,
    { account, items, quantum, gains, held }: Turn<Item>,
    { getTokens, send }: FairQueueOptions<Item>,
): "turn_ended" | "account_waits" | "all_wait" {
    let deficit = deficits.get(account) ?? 0;
    if (deficit < getTokens(items[0] as Item)) {
        deficit += quantum;
        gains.set(account, (gains.get(account) ?? 0) + 1);
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
            held.add(account);
        }
        deficit -= outcome === "sent" ? getTokens(item) : 0;
    }
}

/** Gives accounts that had to wait the turns that others had meanwhile, up to the largest waiting request. */
function addMissedTurns(
    { deficits }: FairQueue,
    waiting: ReadonlySet<string>,
    gains: ReadonlyMap<string, number>,
    quantum: number,
): void {
    const most = Math.max(0, ...gains.values());
    for (const account of waiting) {
        const deficit = deficits.get(account) ?? 0;
        const missed = (most - (gains.get(account) ?? 0)) * quantum;
        deficits.set(account, Math.max(deficit, Math.min(deficit + missed, maxTurns * quantum)));
    }
}

/**
 * Sends waiting items in the order of deficit round robin until nothing more can be sent. An account that must
 * wait keeps its turn. The queue's state carries over to the next call, so that fairness holds over time although
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
    const heads = [...byAccount.values()].map(list => options.getTokens(list[0] as Item));
    const quantum = heads.reduce((most, tokens) => Math.max(most, Math.ceil(tokens / maxTurns)), minQuantum);
    const waiting = new Set<string>();
    const gains = new Map<string, number>();
    const held = new Set<string>();
    for (;;) {
        const index = ring.findIndex(account => !waiting.has(account));
        const account = ring[index];
        if (account === undefined) {
            break;
        }
        const list = byAccount.get(account) ?? [];
        const result = runTurn(queue, { account, items: list, quantum, gains, held }, options);
        if (result === "all_wait") {
            break;
        }
        // An account whose items are all held keeps its turn, too, or it would lose its share to the others.
        if (result === "account_waits" || (list.length === 0 && held.has(account))) {
            waiting.add(account);
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
    addMissedTurns(queue, waiting, gains, quantum);
}

export interface ShedLimits {
    /** Items of one account. */
    readonly perAccount: number;
    /** Items of all accounts together. */
    readonly total: number;
}

/** Lists the items beyond the limits: the newest of the account that has the most waiting, again and again. */
export function listShed<Item>(
    items: readonly Item[],
    getAccount: (item: Item) => string,
    { perAccount, total }: ShedLimits,
): Item[] {
    const lists = [...listByAccount(items, getAccount).values()];
    const shed = lists.flatMap(list => list.splice(perAccount));
    let excess = items.length - shed.length - total;
    while (excess > 0) {
        const longest = lists.reduce((left, right) => (right.length > left.length ? right : left));
        shed.push(longest.pop() as Item);
        excess -= 1;
    }
    return shed;
}
