/** Other processes of the fleet, with the state that each last reported. */
import { type AccountId, type Millis, toMillis, type VmId } from "../../ids";
import type { ServiceId } from "../ids";
import type { PeerState } from "../peers";

export interface PeerRow {
    readonly vm: VmId;
    /** Start of the peer's run in milliseconds since the Unix epoch; 0 until its first state was received. */
    startedAt: number;
    /** Time at which the first state of the peer's present run was received. */
    runReceivedAt: Millis;
    stateReceivedAt: Millis;
    usage: ReadonlyMap<AccountId, number>;
    /** What of the usage the peer assumes for its previous run. */
    assumedUsage: ReadonlyMap<AccountId, number>;
    /** Growth of the usage between the last two states, in tokens per millisecond; only accounts whose usage grew. */
    growth: ReadonlyMap<AccountId, number>;
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
    /** Usage of this VM's previous run as reported by peers; undefined until one has reported it. */
    readonly ownPreviousRun:
        | { readonly usage: ReadonlyMap<AccountId, number>; readonly reportedAt: Millis; }
        | undefined;
    /**
     * Records a state; usage of runs that ended more than `windowMs` ago no longer counts. False for a state of a run
     * before the peer's present one.
     */
    apply(state: PeerState, now: Millis, windowMs: number): boolean;
    /** Records a run that has ended; false if a state of that run or of a later one was received. */
    applyEndedRun(run: Pick<PeerRow, "vm" | "startedAt" | "usage" | "stateReceivedAt">): boolean;
    /** Records what a peer reports of this VM's previous run; of several reports the largest usage counts. */
    applyOwnPreviousRun(usage: readonly (readonly [AccountId, number])[], now: Millis): void;
}

/** Creates the row of a peer from which nothing has been received since `stateReceivedAt`. */
export const createPeerRow = (vm: VmId, stateReceivedAt: Millis): PeerRow => ({
    vm,
    startedAt: 0,
    runReceivedAt: stateReceivedAt,
    stateReceivedAt,
    usage: new Map(),
    assumedUsage: new Map(),
    growth: new Map(),
    serviceLoads: new Map(),
    previousRun: undefined,
    isPending: false,
    receivedPartChange: 0,
    acknowledgedPartChange: 0,
    stateRequestedAt: toMillis(0),
});

function computeUsageGrowth(previousRow: PeerRow, state: PeerState, now: Millis): ReadonlyMap<AccountId, number> {
    const elapsedMs = now - previousRow.stateReceivedAt;
    const growth = new Map<AccountId, number>();
    const assumedUsage = new Map(state.assumedUsage ?? []);
    for (const [account, tokens] of state.usage) {
        const increaseWithAssumed = tokens - (previousRow.usage.get(account) ?? 0);
        const assumedIncrease = (assumedUsage.get(account) ?? 0) - (previousRow.assumedUsage.get(account) ?? 0);
        // What is assumed for the run before grows when members leave, and is replaced by what peers tell of that run.
        const increase = Math.min(increaseWithAssumed, increaseWithAssumed - assumedIncrease);
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

/** The larger usage of each account. */
function mergeUsage(
    left: ReadonlyMap<AccountId, number>,
    right: Iterable<readonly [AccountId, number]>,
): ReadonlyMap<AccountId, number> {
    const merged = new Map(left);
    for (const [account, tokens] of right) {
        merged.set(account, Math.max(merged.get(account) ?? 0, tokens));
    }
    return merged;
}

/**
 * Usage of the run that a new one replaces. A run that ended soon after its start may not have known what the one before
 * it had used.
 */
function computePreviousRun(replaced: PeerRow, now: Millis, windowMs: number): PeerRow["previousRun"] {
    const { previousRun } = replaced;
    const isInWindow = previousRun !== undefined && now - previousRun.lastStateAt <= windowMs;
    const usage = mergeUsage(computeFinalUsage(replaced, now), isInWindow ? previousRun.usage : []);
    return { usage, lastStateAt: replaced.stateReceivedAt };
}

/** Creates an empty table. */
export function createPeersTable(): PeersTable {
    const rows = new Map<VmId, PeerRow>();
    let ownPreviousRun: PeersTable["ownPreviousRun"];
    return {
        rows,
        get ownPreviousRun() {
            return ownPreviousRun;
        },
        applyOwnPreviousRun: (usage, now) => {
            ownPreviousRun = {
                usage: mergeUsage(ownPreviousRun?.usage ?? new Map(), usage),
                reportedAt: ownPreviousRun?.reportedAt ?? now,
            };
        },
        applyEndedRun: ({ vm, startedAt, usage, stateReceivedAt }) => {
            const known = rows.get(vm);
            if (known && known.startedAt >= startedAt) {
                return false;
            }
            rows.set(vm, { ...(known ?? createPeerRow(vm, stateReceivedAt)), startedAt, usage, stateReceivedAt });
            return true;
        },
        apply: (state, now, windowMs) => {
            const previousRow = rows.get(state.vm);
            if (previousRow && previousRow.startedAt > state.startedAt) {
                return false;
            }
            const isNewRun = previousRow !== undefined && previousRow.startedAt > 0
                && previousRow.startedAt < state.startedAt;
            const sameRun = previousRow?.startedAt === state.startedAt ? previousRow : undefined;
            rows.set(state.vm, {
                vm: state.vm,
                startedAt: state.startedAt,
                runReceivedAt: sameRun?.runReceivedAt ?? now,
                stateReceivedAt: now,
                usage: new Map(state.usage),
                assumedUsage: new Map(state.assumedUsage ?? []),
                growth: sameRun ? computeUsageGrowth(sameRun, state, now) : new Map(),
                serviceLoads: new Map(state.requests ?? []),
                previousRun: isNewRun ? computePreviousRun(previousRow, now, windowMs) : previousRow?.previousRun,
                isPending: previousRow?.isPending ?? false,
                receivedPartChange: state.partsTold,
                acknowledgedPartChange: state.partsHeard,
                stateRequestedAt: previousRow?.stateRequestedAt ?? toMillis(0),
            });
            return true;
        },
    };
}
