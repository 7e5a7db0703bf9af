/**
 * Estimates the load of an engine: this process's own requests in flight, which are known exactly, and those of other
 * routers, which are known only from delayed reports.
 */
import type { Millis } from "../ids";
import type { TargetRow } from "../tables/targets";
import type { TargetReport } from "../targets";

/** Samples of own requests kept for comparison with reports, which are read every 250 ms and may lag by seconds. */
const maxOwnSamples = 8;

interface OwnLoad {
    /** Prompt tokens of own requests that have not received their first token. */
    readonly tokens: number;
    /** Share of `tokens` that belongs to the oldest such request. */
    readonly oldestRequestTokens: number;
    readonly requests: number;
}

function computeOwnLoad(target: TargetRow): OwnLoad {
    let tokens = 0;
    let oldestRequestTokens = 0;
    for (const { prefillTokens } of target.inFlight.values()) {
        oldestRequestTokens = tokens === 0 ? prefillTokens : oldestRequestTokens;
        tokens += prefillTokens;
    }
    return { tokens, oldestRequestTokens, requests: target.inFlight.size };
}

/** Records the number of own requests at the time at which a report is requested. */
export function recordOwnLoad(target: TargetRow, now: Millis): void {
    target.ownRequestSamples.push({ at: now, requests: target.inFlight.size });
    target.ownRequestSamples.splice(0, target.ownRequestSamples.length - maxOwnSamples);
}

/**
 * Derives the load of other routers from a report: the requests in excess of the largest recent number of own requests
 * in flight, with their share of the waiting tokens. The maximum is used because the report may describe any moment of
 * the sampled time. Tokens are not compared directly: engines count a prefix once for each waiting request that shares
 * it, so the difference would look like load of other routers.
 */
export function updateOtherLoad(target: TargetRow, report: TargetReport): void {
    const ownRequests = Math.max(0, ...target.ownRequestSamples.map(sample => sample.requests));
    const requests = report.runningRequests + report.waitingRequests;
    target.otherRouterRequests = Math.max(0, requests - ownRequests);
    target.otherRouterTokens = requests === 0 ? 0 : report.waitingTokens * (target.otherRouterRequests / requests);
}

/** Estimates the prompt tokens and requests that are ahead of a request sent now. */
export function estimateLoad(
    target: TargetRow,
    { now, prefillTokensPerSecond }: { readonly now: Millis; readonly prefillTokensPerSecond: number; },
): { readonly tokens: number; readonly requests: number; } {
    const ownLoad = computeOwnLoad(target);
    // An engine prefills one prompt after another, so the oldest one has been in prefill since the last first token.
    const prefilledTokens = ((now - target.prefillStartedAt) / 1000) * prefillTokensPerSecond;
    const remainingTokens = ownLoad.tokens - Math.min(ownLoad.oldestRequestTokens, Math.max(0, prefilledTokens));
    return {
        tokens: remainingTokens + target.otherRouterTokens,
        requests: ownLoad.requests + target.otherRouterRequests,
    };
}
