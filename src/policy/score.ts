/** Routing score: estimates the time to first token of a request on an engine. */
import type { TargetId } from "../ids";
import type { CandidateScore } from "../operators";

export interface EngineLoad {
    readonly target: TargetId;
    /** Prompt tokens that the engine has to prefill before a request that is sent now. */
    readonly pendingPrefillTokens: number;
    /** Running and waiting requests in excess of the engine's slots. */
    readonly excessRequests: number;
    /** Prompt tokens that the engine is expected to have in its cache. */
    readonly hitTokens: number;
    readonly isRemote: boolean;
    /** Milliseconds added when the engine's last report is stale. */
    readonly stalePenaltyMs: number;
}

export interface ScoreOptions {
    readonly promptTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Average milliseconds for which a request occupies a slot, divided by the number of slots. */
    readonly slotMs: number;
    readonly affinityWeight: number;
    /** Added for an engine in another data centre; the latency between data centres is below 2 ms. */
    readonly remotePenaltyMs?: number;
}

/** Computes the score of one engine; lower is better. */
export function computeScore(load: EngineLoad, options: ScoreOptions): CandidateScore {
    const { promptTokens, prefillTokensPerSecond, slotMs, affinityWeight, remotePenaltyMs = 2 } = options;
    const missedTokens = Math.max(0, promptTokens - load.hitTokens);
    const computePrefillMs = (tokens: number): number => (tokens / prefillTokensPerSecond) * 1000;
    // Slots become free while prompts are prefilled, so the longer of the two waits counts, not their sum.
    const waitMs = Math.max(computePrefillMs(load.pendingPrefillTokens), load.excessRequests * slotMs);
    const scoreMs = waitMs
        + affinityWeight * computePrefillMs(missedTokens)
        + (load.isRemote ? remotePenaltyMs : 0)
        + load.stalePenaltyMs;
    return { target: load.target, scoreMs, waitMs, missedTokens, hitTokens: load.hitTokens };
}
