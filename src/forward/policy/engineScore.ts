/** Routing score of an engine: expected time to the first event, plus the cost of cache misses to other requests. */
export interface EngineScoreInput {
    /** Time until the engine begins to compute a prompt that is sent now. */
    readonly queueMs: number;
    /** Requests in flight on the engine, of this process and as reported by its peers. */
    readonly runningRequests: number;
    /** Prompt tokens that the engine would have to compute. */
    readonly missedTokens: number;
    /** Prompt tokens that the engine would fetch from another engine or the part store. */
    readonly fetchedTokens: number;
    readonly isRemote: boolean;
    /** Rank of the engine for the prompt by rendezvous hash; 0 is the first. */
    readonly rank: number;
    /** Weight of ranks after the second, 0 to 1; higher the less fresh the reported loads of peers are. */
    readonly rankWeight: number;
    /** Penalty for outdated weights. */
    readonly outdatedMs: number;
    /** Moving average of the failure rate, 0 to 1. */
    readonly failureShare: number;
    /** How much a limit that the engine names leaves to send: 0 for enough or no limit, 1 for nothing. */
    readonly limitScarcity: number;
}

/** Prefill rate assumed for every engine; only ratios between engines matter. */
export const promptTokensPerMs = 50;
/**
 * Cost of a fetched token relative to a computed one. The transfer itself is short, but the copy evicts another part
 * from the engine's memory.
 */
const fetchCostFactor = 0.4;
/** Each request that is decoding slows each step of the others by about this much. */
const runningCostMs = 1.5;
/** Added for another data centre: round trip and bytes between data centres. */
const remoteCostMs = 4;
/** Added for engines other than the first by rendezvous hash, so that processes choose the same engine on a tie. */
const rankCostMs = 25;
/**
 * Added for each rank after the second in a large fleet. While few engines have new weights, or the first one is full,
 * all processes would otherwise choose the same idle engine for all prompts until their loads have been exchanged.
 */
const rankStepCostMs = 6;
/** Added for an engine on which every request fails. */
const failureCostMs = 3000;

/**
 * Added for the last request that a limit leaves. A limit counts requests of any size, so it is left to the requests
 * that would take longer elsewhere.
 */
const scarceRequestCostMs = 200;

export interface QueueState {
    /** Prompt tokens that the engine has not computed yet, of this process and as reported by its peers. */
    readonly queuedTokens: number;
    /** Age of the oldest request of this process that the engine has not answered; 0 when there is none. */
    readonly oldestMs: number;
    /** Prompt tokens of the oldest unanswered request that the engine has to compute. */
    readonly oldestTokens: number;
}

/** Time from sending a request to its first event on an idle engine, without the time for the prompt. */
const idleEngineMs = 80;

/**
 * Estimates the time until an engine begins to compute a prompt that is sent now: the larger of an estimate from the
 * queued tokens, scaled for processes without a recent report, and one from the age of the oldest unanswered request.
 */
export function estimateQueueMs({ queuedTokens, oldestMs, oldestTokens }: QueueState, loadScale: number): number {
    const queuedPromptMs = queuedTokens * loadScale / promptTokensPerMs;
    return Math.max(queuedPromptMs, oldestMs - oldestTokens / promptTokensPerMs - idleEngineMs);
}

/** Estimates the time in which an engine computes prompt tokens. */
export const estimatePromptMs = (tokens: number): number => tokens / promptTokensPerMs;

/** Estimates the time from the begin of a prompt on an engine to its first event. */
export const estimateFirstEventMs = (missedTokens: number): number => idleEngineMs + estimatePromptMs(missedTokens);

/** Computes the score of an engine in milliseconds; lower is better. */
export function computeEngineScore(input: EngineScoreInput, loadScale: number): number {
    const promptMs = (input.missedTokens + input.fetchedTokens * fetchCostFactor) / promptTokensPerMs;
    return input.queueMs
        + promptMs
        + input.runningRequests * loadScale * runningCostMs
        + (input.isRemote ? remoteCostMs : 0)
        + (input.rank === 0 ? 0 : rankCostMs + (input.rank - 1) * rankStepCostMs * input.rankWeight)
        + input.outdatedMs
        + input.failureShare * failureCostMs
        + input.limitScarcity * scarceRequestCostMs;
}
