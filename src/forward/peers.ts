/**
 * What the processes of the fleet tell each other. Every message is a full state, so that any of them may be lost;
 * only changes of held parts are numbered and told until the receiver has acknowledged them.
 */
import type { AccountId, ModelId, TargetId, VmId } from "../ids";
import type { CachedPartKey, WeightsVersion } from "./ids";

export interface PeerState {
    readonly vm: VmId;
    /** Milliseconds since the Unix epoch at the start of the process; tells two runs on one VM apart. */
    readonly startedAt: number;
    /** Tokens that the sender has used of each account in the last window, with what an earlier run may have used. */
    readonly usage: readonly (readonly [AccountId, number])[];
    /** Start of the receiver's run that the sender knows of; 0 when it knows none. */
    readonly knownStart: number;
    /** What the run before that one had used; absent when the sender cannot know. */
    readonly earlier?: readonly (readonly [AccountId, number])[] | undefined;
    /** Versions of weights that the sender saw being named, with the milliseconds since then. */
    readonly named: readonly (readonly [ModelId, WeightsVersion, number])[];
    /** Engines with work of the sender: prompt tokens that wait there, and requests. */
    readonly load: readonly (readonly [TargetId, number, number])[];
    /** Number of the newest change of held parts that the sender has from the receiver; 0 for none. */
    readonly partsHeard: number;
    /** Number of the newest change of held parts that the sender tells with this state. */
    readonly partsTold: number;
    /** What targets that the sender follows for the fleet hold, as far as it changed. */
    readonly parts: readonly TargetPartChanges[];
}

/** Changes of one target: tokens by part. A part without a key says that the target is learned anew. */
export type TargetPartChanges = readonly [TargetId, readonly (readonly [CachedPartKey | "", number])[]];
