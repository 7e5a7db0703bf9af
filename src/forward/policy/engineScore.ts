/** Routing score of an engine: expected time to the first event, with what a miss costs the others. */
export interface EngineChoice {
    /** Time until the engine begins to compute a prompt that is sent now. */
    readonly queueMs: number;
    /** Requests of this process, and as its peers told, that run there. */
    readonly runningRequests: number;
    /** Prompt tokens that the engine would have to compute. */
    readonly missedTokens: number;
    /** Prompt tokens that the engine would fetch from another one. */
    readonly fetchedTokens: number;
    readonly isRemote: boolean;
    /** Rank of the engine for the prompt by rendezvous hash; 0 is the first. */
    readonly rank: number;
    /** How much ranks after the second count, 0 to 1: more, the less processes know of each other's requests. */
    readonly rankWeight: number;
    /** Milliseconds added for weights that a newer version has replaced. */
    readonly outdatedMs: number;
    /** Moving share of failed requests, 0 to 1. */
    readonly failureShare: number;
}

/** Prompt tokens that an engine computes in a millisecond; only ratios between engines matter. */
const promptTokensPerMs = 50;
/**
 * A fetched token counts as this part of a computed one. The transfer itself is short, but the copy pushes another
 * part out of the engine's memory.
 */
const fetchCost = 0.4;
/** A decoding request slows each step of the others by about this much. */
const runningCostMs = 1.5;
/** Added for another data centre: round trip and bytes between data centres. */
const remoteMs = 4;
/** Added for engines other than the first by rendezvous hash, so that independent processes agree on ties. */
const rankMs = 25;
/**
 * Added for each further rank in a large fleet. While few engines have new weights, or the first one is full, all
 * processes would otherwise choose the same idle engine for all prompts before they hear of each other's requests.
 */
const rankStepMs = 6;
/** Added for an engine on which every request fails. */
const failureMs = 3000;

export interface QueueFacts {
    /** Prompt tokens of this process, and as its peers told, that the engine has not computed yet. */
    readonly queuedTokens: number;
    /** Age of the oldest request of this process that the engine has not answered; 0 when there is none. */
    readonly oldestMs: number;
    /** Prompt tokens of that request. */
    readonly oldestTokens: number;
}

/** Time from sending a request to its first event on an idle engine, without its prompt. */
const baseMs = 80;

/**
 * Estimates the time until an engine begins to compute a prompt that is sent now: from this process's own requests,
 * scaled to the fleet, or from how long the oldest of them has waited, if that says more.
 */
export function estimateQueueMs({ queuedTokens, oldestMs, oldestTokens }: QueueFacts, fleetFactor: number): number {
    const ownMs = queuedTokens * fleetFactor / promptTokensPerMs;
    return Math.max(ownMs, oldestMs - oldestTokens / promptTokensPerMs - baseMs);
}

/** Computes the score of one engine in milliseconds; lower is better. */
export function computeEngineScore(choice: EngineChoice, fleetFactor: number): number {
    const ownMs = (choice.missedTokens + choice.fetchedTokens * fetchCost) / promptTokensPerMs;
    return choice.queueMs
        + ownMs
        + choice.runningRequests * fleetFactor * runningCostMs
        + (choice.isRemote ? remoteMs : 0)
        + (choice.rank === 0 ? 0 : rankMs + (choice.rank - 1) * rankStepMs * choice.rankWeight)
        + choice.outdatedMs
        + choice.failureShare * failureMs;
}
