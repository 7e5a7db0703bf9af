/** Rank with which engines admit a request. Shared by systems. */
import type { ForwardRequestRow } from "../tables/requests";

/** Resumed streams have the highest rank, because their callers are waiting in the middle of an answer. */
const resumedRank = 0;
/** Ranks of requests that are not resumed. Engines accept 0 (most urgent) to 9. */
const highestRank = 1;
const lowestRank = 9;
/** Requests are ordered by the account's priority, then by the route's, which has about this many levels. */
const routePriorityLevels = 3;

/** Computes the rank of a request: 0 is the most urgent, 9 the least. */
export function computeRank({ lastEventId, account, route }: ForwardRequestRow): number {
    if (lastEventId > 0) {
        return resumedRank;
    }
    return Math.min(lowestRank, highestRank + (account?.priority ?? 0) * routePriorityLevels + route.priority);
}
