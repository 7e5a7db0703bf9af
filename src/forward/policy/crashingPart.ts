/** Finds the prompt part that recurs over several crashes of engines. */
import type { Millis } from "../../ids";
import type { PartId } from "../ids";

/** Crash of one engine. */
export interface CrashEvidence {
    readonly failedAt: Millis;
    /** Parts whose answers had not begun or had just begun, with their depth in the prompt. */
    readonly suspects: ReadonlyMap<PartId, number>;
}

export interface CrashingPartInput {
    readonly crashes: readonly CrashEvidence[];
    readonly getAnsweredAt: (part: PartId) => Millis | undefined;
    /** True for a part that is known to crash engines; it explains the crashes in which it is a suspect. */
    readonly isQuarantined: (part: PartId) => boolean;
    /** Number of separate crashes after which the part is blamed. */
    readonly getRequiredCrashes: (part: PartId) => number;
}

export interface CrashingPart {
    readonly part: PartId;
    /** Number of separate crashes in which the part is a suspect. */
    readonly crashes: number;
    readonly answeredAt: Millis | undefined;
}

/** Engines that end within this time of each other may have one cause outside of the requests, and count once. */
const minSeparationMs = 40;
/** A part that was answered within this time before a crash, or after it, did not cause the crash. */
const answeredMemoryMs = 1000;

/** True when the last answer to a part shows that the part did not cause the crash. */
export const isCleared = (answeredAt: Millis | undefined, failedAt: Millis): boolean =>
    answeredAt !== undefined && answeredAt >= failedAt - answeredMemoryMs;

interface Candidate extends CrashingPart {
    readonly depth: number;
    readonly countedAt: Millis;
}

function countCrash(
    candidate: Candidate | undefined,
    part: PartId,
    depth: number,
    answeredAt: Millis | undefined,
    { failedAt }: CrashEvidence,
): Candidate {
    const isSeparate = !candidate || failedAt - candidate.countedAt >= minSeparationMs;
    return {
        part,
        crashes: (candidate?.crashes ?? 0) + (isSeparate ? 1 : 0),
        answeredAt,
        depth: Math.max(depth, candidate?.depth ?? 0),
        countedAt: candidate && !isSeparate ? candidate.countedAt : failedAt,
    };
}

/** True when the first candidate is to be blamed rather than the second. */
function isMoreSuspect(left: Candidate, right: Candidate): boolean {
    const leftAnsweredAt = left.answeredAt ?? -Infinity;
    const rightAnsweredAt = right.answeredAt ?? -Infinity;
    if (leftAnsweredAt !== rightAnsweredAt) {
        return leftAnsweredAt < rightAnsweredAt;
    }
    // The parts before a crashing one are suspects in all of its crashes, but other prompts share them.
    return left.depth !== right.depth ? left.depth > right.depth : left.crashes > right.crashes;
}

/**
 * Finds the part to blame for a series of crashes: one that was a suspect in enough separate crashes and was answered
 * neither shortly before nor after any of them. Of several, the one that was answered longest ago or never is blamed,
 * then the deepest in the prompt.
 *
 * @example
 * findCrashingPart({ crashes: [], getAnsweredAt, isQuarantined, getRequiredCrashes: () => 3 }); // undefined
 */
export function findCrashingPart(
    { crashes, getAnsweredAt, isQuarantined, getRequiredCrashes }: CrashingPartInput,
): CrashingPart | undefined {
    const candidates = new Map<PartId, Candidate>();
    const unexplained = crashes.filter(({ suspects }) => ![...suspects.keys()].some(isQuarantined));
    for (const crash of unexplained.sort((left, right) => left.failedAt - right.failedAt)) {
        for (const [part, depth] of crash.suspects) {
            const answeredAt = getAnsweredAt(part);
            if (!isCleared(answeredAt, crash.failedAt)) {
                candidates.set(part, countCrash(candidates.get(part), part, depth, answeredAt, crash));
            }
        }
    }
    return [...candidates.values()]
        .filter(({ part, crashes: count }) => count >= getRequiredCrashes(part))
        .reduce<Candidate | undefined>(
            (best, candidate) => best && !isMoreSuspect(candidate, best) ? best : candidate,
            undefined,
        );
}
