/** Deletes the claims of dated keys after their retention. One VM at a time sweeps; concurrent sweeps are harmless. */
import { logInfo } from "../effects";
import { addMillis } from "../ids";
import { claimDatePrefix, computeSweepEnd, toClaimOfDateKey } from "../policy/idempotency";
import { listByRendezvous } from "../policy/rendezvous";
import { listAnswerRows } from "../store";
import type { Tick, World } from "../world";
import { listLiveMembers } from "./updateMembership";

const sweepIntervalMs = 60_000;
/** Two deletions per claim stay below the default etcd limit of 128 operations per transaction. */
const maxClaimsPerSweep = 50;
/** Delay after a full sweep, so that a backlog costs the store only a few calls per second. */
const fullSweepDelayMs = 250;

function isSweeper(world: World, tick: Tick): boolean {
    const members = listLiveMembers(world, tick.now).map(member => member.vm);
    return listByRendezvous(world.hasher, "claimSweep", members)[0] === world.settings.vm;
}

function listExpiredClaims(world: World, tick: Tick): void {
    const retentionMs = world.settings.claims.retentionHours * 3_600_000;
    const range = { key: claimDatePrefix, end: computeSweepEnd(tick.wallNow, retentionMs) };
    world.effects.append({
        kind: "callStore",
        purpose: { for: "claimSweep" },
        call: { kind: "range", range, limit: maxClaimsPerSweep },
    });
}

/**
 * Deletes claims by their index keys. No open request can own one of them: a key is refused well before its claim is
 * deleted, and requests end at their deadline.
 */
function removeClaims(world: World, tick: Tick, dateKeys: readonly string[]): void {
    world.effects.append({
        kind: "callStore",
        purpose: { for: "claimSweep" },
        call: {
            kind: "transaction",
            compare: [],
            success: dateKeys.flatMap(key => [key, toClaimOfDateKey(key)]).map(key => ({ kind: "delete", key })),
        },
    });
    if (dateKeys.length === maxClaimsPerSweep) {
        world.timers.schedule({ name: "claimSweep", at: addMillis(tick.now, fullSweepDelayMs) });
    }
    logInfo(world.effects, "claim:", "Deleting claims past their retention.", { claims: dateKeys.length });
}

/**
 * Reads: members. Writes: nothing.
 * Effects: store calls that list and delete claims, log lines.
 */
export function expireClaims(world: World, tick: Tick): void {
    if (tick.number === 1) {
        world.timers.subscribe({ name: "claimSweep", everyMs: sweepIntervalMs }, tick.now);
    }
    if (tick.due.has("claimSweep") && isSweeper(world, tick)) {
        listExpiredClaims(world, tick);
    }
    for (const { outcome } of tick.events.listStoreReplies("claimSweep")) {
        const rows = outcome.result.ok ? listAnswerRows(outcome.result.val) : [];
        if (rows.length > 0) {
            removeClaims(world, tick, rows.map(row => row.key));
        }
    }
}
