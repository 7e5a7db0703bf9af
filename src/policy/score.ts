/** Routing score: expected time to first token of a request on an engine. */
import type { TargetId } from "../ids";
import type { CandidateScore } from "../operators";

export interface EngineLoad {
    readonly target: TargetId;
    /** Prompt tokens that the engine has to compute before a request sent now. */
    readonly tokensAhead: number;
    /** Requests running or waiting beyond the engine's slots. */
    readonly excessRequests: number;
    /** Tokens of the prompt that the engine is expected to have cached. */
    readonly hitTokens: number;
    readonly isRemote: boolean;
    /** Milliseconds added for an engine whose last report is old. */
    readonly stalePenaltyMs: number;
}

export interface ScoreOptions {
    readonly promptTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Milliseconds that one request holds a slot, on average. */
    readonly slotMs: number;
    readonly affinityWeight: number;
    /** Added for an engine in another data centre. Data centres are under two milliseconds apart. */
    readonly remotePenaltyMs?: number;
}

/** Computes the score of one engine; lower is better. */
export function computeScore(load: EngineLoad, options: ScoreOptions): CandidateScore {
    const { promptTokens, prefillTokensPerSecond, slotMs, affinityWeight, remotePenaltyMs = 2 } = options;
    const missedTokens = Math.max(0, promptTokens - load.hitTokens);
    const computePrefillMs = (tokens: number): number => (tokens / prefillTokensPerSecond) * 1000;
    // Slots are freed while prompts are computed, so the longer of the two waits counts, not their sum.
    const waitMs = Math.max(computePrefillMs(load.tokensAhead), load.excessRequests * slotMs);
    const scoreMs = waitMs
        + affinityWeight * computePrefillMs(missedTokens)
        + (load.isRemote ? remotePenaltyMs : 0)
        + load.stalePenaltyMs;
    return { target: load.target, scoreMs, waitMs, missedTokens, hitTokens: load.hitTokens };
}
