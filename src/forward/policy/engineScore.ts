/** Routing score of an engine: expected time to the first event, with what a miss costs the others. */
import type { TargetId } from "../../ids";

export interface EngineChoice {
    readonly target: TargetId;
    /** Prompt tokens of this process that the engine has not computed yet. */
    readonly queuedTokens: number;
    /** Requests of this process that run there. */
    readonly runningRequests: number;
    /** Prompt tokens that the engine would have to compute. */
    readonly missedTokens: number;
    /** Prompt tokens that the engine would fetch from another one. */
    readonly fetchedTokens: number;
    readonly isRemote: boolean;
    /** Rank of the engine for the prompt by rendezvous hash; 0 is the first. */
    readonly rank: number;
    /** Milliseconds added for weights that a newer version has replaced. */
    readonly outdatedMs: number;
    /** Moving share of failed requests, 0 to 1. */
    readonly failureShare: number;
}

/** Prompt tokens that an engine computes in a millisecond; only ratios between engines matter. */
const promptTokensPerMs = 50;
/** Fetching a token from another engine takes this part of computing it. */
const fetchCost = 0.05;
/** A decoding request slows each step of the others by about this much. */
const runningCostMs = 1.5;
/** Added for another data centre: round trip and bytes between data centres. */
const remoteMs = 4;
/** Added for engines other than the first by rendezvous hash, so that independent processes agree on ties. */
const rankMs = 12;
/** Added for an engine on which every request fails. */
const failureMs = 3000;

/** Computes the score of one engine in milliseconds; lower is better. */
export function computeEngineScore(choice: EngineChoice, fleetFactor: number): number {
    const queueMs = choice.queuedTokens * fleetFactor / promptTokensPerMs;
    const ownMs = (choice.missedTokens + choice.fetchedTokens * fetchCost) / promptTokensPerMs;
    return queueMs
        + ownMs
        + choice.runningRequests * fleetFactor * runningCostMs
        + (choice.isRemote ? remoteMs : 0)
        + (choice.rank === 0 ? 0 : rankMs)
        + choice.outdatedMs
        + choice.failureShare * failureMs;
}
