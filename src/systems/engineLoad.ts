/**
 * Load of an engine as this process estimates it: its own work in flight, known exactly and at once, and the work
 * of other routers, which only the lagged reports show.
 */
import type { Millis } from "../ids";
import type { TargetRow } from "../tables/targets";
import type { TargetReport } from "../targets";

/** Samples of own work kept for comparison with reports: reports are read every 250 ms and may lag by seconds. */
const keptSamples = 8;

interface OwnLoad {
    /** Prompt tokens sent whose first token has not been seen. */
    readonly tokens: number;
    /** The part of them that belongs to the request that was sent first. */
    readonly headTokens: number;
    readonly requests: number;
}

function computeOwnLoad(target: TargetRow): OwnLoad {
    let tokens = 0;
    let headTokens = 0;
    for (const { prefillTokens } of target.inFlight.values()) {
        headTokens = tokens === 0 ? prefillTokens : headTokens;
        tokens += prefillTokens;
    }
    return { tokens, headTokens, requests: target.inFlight.size };
}

/** Records the own work at the time at which a report is asked for. */
export function recordOwnLoad(target: TargetRow, now: Millis): void {
    target.ownSamples.push({ at: now, requests: target.inFlight.size });
    target.ownSamples.splice(0, target.ownSamples.length - keptSamples);
}

/**
 * Derives the work of other routers from a report: the requests beyond the most that this process had in flight
 * lately, with their share of the waiting tokens. The report may describe any moment of that time. Tokens are not
 * compared directly: engines count a prefix once for each waiting request that shares it, and the difference would
 * look like work of others.
 */
export function updateOtherLoad(target: TargetRow, report: TargetReport): void {
    const ownRequests = Math.max(0, ...target.ownSamples.map(sample => sample.requests));
    const requests = report.runningRequests + report.waitingRequests;
    target.otherRequests = Math.max(0, requests - ownRequests);
    target.otherTokens = requests === 0 ? 0 : report.waitingTokens * (target.otherRequests / requests);
}

/** Prompt tokens and requests that stand before a request sent now. */
export function estimateLoad(
    target: TargetRow,
    { now, prefillTokensPerSecond }: { readonly now: Millis; readonly prefillTokensPerSecond: number; },
): { readonly tokens: number; readonly requests: number; } {
    const own = computeOwnLoad(target);
    // An engine computes one prompt after another, so the head has been computed since the last first token.
    const computed = ((now - target.prefillSince) / 1000) * prefillTokensPerSecond;
    const remaining = own.tokens - Math.min(own.headTokens, Math.max(0, computed));
    return { tokens: remaining + target.otherTokens, requests: own.requests + target.otherRequests };
}
