/** Other processes of the fleet, with the state that each last reported. */
import { type AccountId, type Millis, type TargetId, toMillis, type VmId } from "../../ids";
import type { ServiceId } from "../ids";
import type { PeerState } from "../peers";

export interface PeerRow {
    readonly vm: VmId;
    /** Start of the peer's run in milliseconds since the Unix epoch; 0 until its first state was received. */
    startedAt: number;
    stateReceivedAt: Millis;
    usage: ReadonlyMap<AccountId, number>;
    /** Growth of the usage between the last two states, in tokens per millisecond; only accounts whose usage grew. */
    growth: ReadonlyMap<AccountId, number>;
    load: ReadonlyMap<TargetId, { readonly queuedTokens: number; readonly requests: number; }>;
    /** Requests that the peer admitted in the last seconds, by service. */
    serviceLoads: ReadonlyMap<ServiceId, number>;
    /** Usage of the peer's previous run, with the time of that run's last state. */
    previousRun: { readonly usage: ReadonlyMap<AccountId, number>; readonly lastStateAt: Millis; } | undefined;
    isPending: boolean;
    /** Number of the newest cache change that was received from the peer; 0 for none. */
    receivedPartChange: number;
    /** Number of the newest cache change of this process that the peer has acknowledged. */
    acknowledgedPartChange: number;
    /** Time at which this process last requested the state of the peer; 0 before the first call. */
    stateRequestedAt: Millis;
}

export interface PeersTable {
    readonly rows: Map<VmId, PeerRow>;
    /** Usage of this VM's previous run as reported by a peer; undefined until one has reported it. */
    ownPreviousRun: { readonly usage: ReadonlyMap<AccountId, number>; readonly reportedAt: Millis; } | undefined;
    apply(state: PeerState, now: Millis): void;
}

function computeUsageGrowth(previousRow: PeerRow, state: PeerState, now: Millis): ReadonlyMap<AccountId, number> {
    const elapsedMs = now - previousRow.stateReceivedAt;
    const growth = new Map<AccountId, number>();
    for (const [account, tokens] of state.usage) {
        const increase = tokens - (previousRow.usage.get(account) ?? 0);
        if (increase > 0 && elapsedMs > 0) {
            growth.set(account, increase / elapsedMs);
        }
    }
    return growth;
}

/** Longest time after a run's last state for which unreported usage is assumed. */
const maxUnreportedMs = 600;

/** Estimated usage of a run at its end: the reported usage plus its growth since the last state. */
function computeFinalUsage({ growth, stateReceivedAt, usage }: PeerRow, now: Millis): ReadonlyMap<AccountId, number> {
    const unreportedMs = Math.min(now - stateReceivedAt, maxUnreportedMs);
    return new Map(
        [...usage].map(([account, tokens]) => [account, tokens + (growth.get(account) ?? 0) * unreportedMs]),
    );
}

/** Creates an empty table. */
export function createPeersTable(): PeersTable {
    const rows = new Map<VmId, PeerRow>();
    return {
        rows,
        ownPreviousRun: undefined,
        apply: (state, now) => {
            const previousRow = rows.get(state.vm);
            if (previousRow && previousRow.startedAt > state.startedAt) {
                return;
            }
            const isNewRun = previousRow !== undefined && previousRow.startedAt > 0
                && previousRow.startedAt < state.startedAt;
            rows.set(state.vm, {
                vm: state.vm,
                startedAt: state.startedAt,
                stateReceivedAt: now,
                usage: new Map(state.usage),
                growth: previousRow && previousRow.startedAt === state.startedAt
                    ? computeUsageGrowth(previousRow, state, now)
                    : new Map(),
                load: new Map(state.load.map(([target, queuedTokens, requests]) => [
                    target,
                    { queuedTokens, requests },
                ])),
                serviceLoads: new Map(state.requests ?? []),
                previousRun: isNewRun
                    ? { usage: computeFinalUsage(previousRow, now), lastStateAt: previousRow.stateReceivedAt }
                    : previousRow?.previousRun,
                isPending: previousRow?.isPending ?? false,
                receivedPartChange: state.partsTold,
                acknowledgedPartChange: state.partsHeard,
                stateRequestedAt: previousRow?.stateRequestedAt ?? toMillis(0),
            });
        },
    };
}
