/** Cached parts of engines and part stores, recorded from their cache events, from peers and from own requests. */
import type { Millis, TargetId } from "../../ids";
import type { CachedPartKey } from "../ids";
import { createPartJournal, type PartJournal } from "./partJournal";

/** State of following the cache events of one engine or part store. */
export interface PartFollower {
    epoch: number | undefined;
    /** Number of the event with which the next report begins. */
    nextEventNumber: number;
    isPending: boolean;
    /** True when this process follows the target for the whole fleet and reports the changes to its peers. */
    readonly isSharedWithPeers: boolean;
}

/** A target whose cache events this process reads. */
export interface FollowedTarget {
    readonly id: TargetId;
    readonly address: string;
    readonly maxFollowers: number;
}

/** Targets that this process follows, as computed from one state of the configuration, the targets and the members. */
export interface FollowAssignment {
    /** Revisions of the rows from which it was computed. */
    readonly inputs: string;
    readonly followed: readonly FollowedTarget[];
}

export interface CachedPartsTable {
    /** Undefined until it is first computed. */
    assignment: FollowAssignment | undefined;
    readonly followers: Map<TargetId, PartFollower>;
    /** Targets that peers follow, with the time at which a peer last reported on them. */
    readonly peerReportedAt: Map<TargetId, Millis>;
    /** Changes to report to peers, for targets that this process follows for the fleet. */
    readonly journal: PartJournal;
    /** True when this process gets the target's cache events, from the target or from a peer. */
    hasCacheEvents(target: TargetId, now: Millis): boolean;
    /** Tokens of the part that the target is recorded to have cached. */
    getTokens(target: TargetId, part: CachedPartKey): number;
    /** Records how many tokens of a part the target has cached; 0 removes the part. */
    update(target: TargetId, part: CachedPartKey, tokens: number): void;
    /** Removes all parts of a target that has restarted, left or loaded new weights. */
    removeTarget(target: TargetId): void;
    /** Removes the parts that were recorded longest ago until at most `tokens` of the target remain. */
    removeOldestBeyond(target: TargetId, tokens: number): void;
}

/** Time without a peer's report after which a target's cache events count as missing. */
const peerReportTimeoutMs = 8000;

interface TargetParts {
    /** Tokens by part, in the order in which they were recorded, oldest first. */
    readonly parts: Map<CachedPartKey, number>;
    tokens: number;
}

/** Creates an empty table. */
export function createCachedPartsTable(): CachedPartsTable {
    const targets = new Map<TargetId, TargetParts>();
    const followers = new Map<TargetId, PartFollower>();
    const peerReportedAt = new Map<TargetId, Millis>();

    function findOrAddTarget(target: TargetId): TargetParts {
        const row = targets.get(target) ?? { parts: new Map<CachedPartKey, number>(), tokens: 0 };
        targets.set(target, row);
        return row;
    }

    return {
        assignment: undefined,
        followers,
        peerReportedAt,
        journal: createPartJournal(),
        hasCacheEvents: (target, now) =>
            followers.has(target) || now - (peerReportedAt.get(target) ?? -Infinity) < peerReportTimeoutMs,
        getTokens: (target, part) => targets.get(target)?.parts.get(part) ?? 0,
        update: (target, part, tokens) => {
            const row = findOrAddTarget(target);
            row.tokens += tokens - (row.parts.get(part) ?? 0);
            row.parts.delete(part);
            if (tokens > 0) {
                row.parts.set(part, tokens);
            }
        },
        removeTarget: target => {
            targets.delete(target);
        },
        removeOldestBeyond: (target, tokens) => {
            const row = findOrAddTarget(target);
            for (const [part, partTokens] of row.parts) {
                if (row.tokens <= tokens) {
                    return;
                }
                row.parts.delete(part);
                row.tokens -= partTokens;
            }
        },
    };
}
