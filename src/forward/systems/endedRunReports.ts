/**
 * Usage of runs that have ended, which processes pass on to one that has just started. Without it that process would let
 * accounts use the tokens of stopped processes once more. Shared by systems.
 */
import { logInfo } from "../../effects";
import { addMillis } from "../../ids";
import type { ForwardTick } from "../events";
import type { PeerState } from "../peers";
import type { PeerRow } from "../tables/peers";
import type { ForwardWorld } from "../world";
import { computeExchangeIntervalMs } from "./accountUsage";

/** Exchanges without a state after which a run is reported as ended; a report about a live run does no harm. */
const endedAfterExchanges = 1.5;
/** Maximum number of runs in one state message; the newest are reported. */
const maxReportedRuns = 64;

/** True while the peer's run may lack what processes used that ended before its start. */
const isNewRun = (world: ForwardWorld, tick: ForwardTick, peer: PeerRow | undefined): boolean =>
    peer === undefined || tick.now - peer.runReceivedAt <= world.settings.bounds.quotaWindowMs;

/** Builds the report for a receiver; empty for one that has run for a whole window, which has seen the runs itself. */
export function buildEndedRunReports(
    world: ForwardWorld,
    tick: ForwardTick,
    receiver: PeerRow | undefined,
): Pick<PeerState, "endedRuns"> {
    if (!isNewRun(world, tick, receiver)) {
        return {};
    }
    const { members, peers } = world.tables;
    const endedAfterMs = endedAfterExchanges * computeExchangeIntervalMs(world);
    const endedRuns = [...peers.rows.values()]
        .filter(({ vm, usage, stateReceivedAt }) =>
            vm !== receiver?.vm
            && usage.size > 0
            && tick.now - stateReceivedAt <= world.settings.bounds.quotaWindowMs
            && (!members.get(vm) || tick.now - stateReceivedAt > endedAfterMs)
        )
        .sort((left, right) => right.stateReceivedAt - left.stateReceivedAt)
        .slice(0, maxReportedRuns)
        .map(({ vm, startedAt, stateReceivedAt, usage }) =>
            [
                vm,
                startedAt,
                Math.round(tick.now - stateReceivedAt),
                [...usage].map(([account, tokens]) => [account, Math.round(tokens)] as const),
            ] as const
        );
    return endedRuns.length > 0 ? { endedRuns } : {};
}

/** Records the runs that a peer reports as ended and of which this process has received no state. */
export function applyEndedRunReports(
    world: ForwardWorld,
    tick: ForwardTick,
    { endedRuns = [], vm: sender }: PeerState,
): void {
    const { peers } = world.tables;
    for (const [vm, startedAt, ageMs, usage] of endedRuns) {
        if (vm === world.settings.vm || ageMs > world.settings.bounds.quotaWindowMs) {
            continue;
        }
        const stateReceivedAt = addMillis(tick.now, -ageMs);
        if (!peers.applyEndedRun({ vm, startedAt, usage: new Map(usage), stateReceivedAt })) {
            continue;
        }
        logInfo(world.effects, "peer:", "A peer reported the usage of a process that has ended.", {
            peer: sender,
            member: vm,
            ageMs,
            accounts: usage.length,
        });
    }
}
