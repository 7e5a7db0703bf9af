/** Other processes of the fleet, as they last described themselves. */
import { type AccountId, type Millis, type TargetId, toMillis, type VmId } from "../../ids";
import type { PeerState } from "../peers";

export interface PeerRow {
    readonly vm: VmId;
    /** 0 until the peer was heard. */
    startedAt: number;
    heardAt: Millis;
    usage: ReadonlyMap<AccountId, number>;
    /** Tokens a millisecond by which the usage grew between the last two states; accounts that did not grow lack. */
    growth: ReadonlyMap<AccountId, number>;
    load: ReadonlyMap<TargetId, { readonly queuedTokens: number; readonly requests: number; }>;
    /** Usage of the run before, with the time at which it was last heard. */
    earlier: { readonly usage: ReadonlyMap<AccountId, number>; readonly heardAt: Millis; } | undefined;
    isPending: boolean;
    /** Number of the newest change of held parts that the peer told; 0 for none. */
    partsHeard: number;
    /** Number of the newest change of held parts that the peer has from this process. */
    partsAcknowledged: number;
    /** Last time at which this process asked the peer; 0 before the first. */
    askedAt: Millis;
}

export interface PeersTable {
    readonly rows: Map<VmId, PeerRow>;
    /** Usage of an earlier run of this process, as a peer told it; undefined until one did. */
    ownEarlier: { readonly usage: ReadonlyMap<AccountId, number>; readonly toldAt: Millis; } | undefined;
    apply(state: PeerState, now: Millis): void;
}

function computeGrowth(known: PeerRow, state: PeerState, now: Millis): ReadonlyMap<AccountId, number> {
    const elapsedMs = now - known.heardAt;
    const growth = new Map<AccountId, number>();
    for (const [account, tokens] of state.usage) {
        const grown = tokens - (known.usage.get(account) ?? 0);
        if (grown > 0 && elapsedMs > 0) {
            growth.set(account, grown / elapsedMs);
        }
    }
    return growth;
}

/** Time between two states of a peer, at most, in which it may have used tokens that it could not tell any more. */
const longestUntoldMs = 600;

/** What a run had used when it ended: what it told, and what it may have used since. */
function computeLastUsage({ growth, heardAt, usage }: PeerRow, now: Millis): ReadonlyMap<AccountId, number> {
    const untoldMs = Math.min(now - heardAt, longestUntoldMs);
    return new Map([...usage].map(([account, tokens]) => [account, tokens + (growth.get(account) ?? 0) * untoldMs]));
}

/** Creates an empty table. */
export function createPeersTable(): PeersTable {
    const rows = new Map<VmId, PeerRow>();
    return {
        rows,
        ownEarlier: undefined,
        apply: (state, now) => {
            const known = rows.get(state.vm);
            if (known && known.startedAt > state.startedAt) {
                return;
            }
            const isNewRun = known !== undefined && known.startedAt > 0 && known.startedAt < state.startedAt;
            rows.set(state.vm, {
                vm: state.vm,
                startedAt: state.startedAt,
                heardAt: now,
                usage: new Map(state.usage),
                growth: known && known.startedAt === state.startedAt ? computeGrowth(known, state, now) : new Map(),
                load: new Map(state.load.map(([target, queuedTokens, requests]) => [
                    target,
                    { queuedTokens, requests },
                ])),
                earlier: isNewRun ? { usage: computeLastUsage(known, now), heardAt: known.heardAt } : known?.earlier,
                isPending: known?.isPending ?? false,
                partsHeard: state.partsTold,
                partsAcknowledged: state.partsHeard,
                askedAt: known?.askedAt ?? toMillis(0),
            });
        },
    };
}
