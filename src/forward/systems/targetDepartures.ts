/**
 * Keeps requests from targets that leave, whatever said so first: an answer of the target, its row in the store, or
 * another process. Shared by systems.
 */
import { logInfo } from "../../effects";
import { addMillis, type Millis, type TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import type { PeerState } from "../peers";
import type { ForwardWorld } from "../world";

/**
 * Time for which a departure is known after its last evidence. A target exits seconds after it said that it leaves; a
 * longer memory would only matter to one that keeps its name and does not tell its runs apart.
 */
const departureKeepMs = 60_000;
/** Age up to which evidence is reported to other processes; by then all of them have it. */
const maxReportedAgeMs = 10_000;
/** Newest departures that one state message reports. */
const maxReported = 256;

/** True when the target said that it leaves, whatever its row says: an old copy of the row may still call it ready. */
export function hasAnnouncedDeparture(world: ForwardWorld, target: TargetId, now: Millis): boolean {
    const departure = world.tables.departures.get(target);
    return departure?.isAnnounced === true && now - departure.at < departureKeepMs;
}

/** Records that a target said that it leaves; it gets no further requests. */
export function recordDeparture(
    world: ForwardWorld,
    tick: ForwardTick,
    target: TargetId,
    { at, source }: { readonly at: Millis; readonly source: string; },
): void {
    const { departures, targets } = world.tables;
    const isNews = departures.record({ target, at, isAnnounced: true });
    targets.recordLeaving(target);
    if (isNews) {
        const ageMs = Math.round(tick.now - at);
        logInfo(world.effects, "target:", "Target leaves; it gets no further requests.", { target, source, ageMs });
    }
}

/** Records that the row of a target was deleted, for the reports to other processes. */
export function recordRemoval(world: ForwardWorld, target: TargetId, at: Millis): void {
    world.tables.departures.record({ target, at, isAnnounced: false });
}

/** Departures for the state that this process reports to its peers. */
export function buildDepartureReports(world: ForwardWorld, tick: ForwardTick): Pick<PeerState, "departures"> {
    const recent = world.tables.departures.listSince(addMillis(tick.now, -maxReportedAgeMs)).slice(-maxReported);
    return recent.length === 0
        ? {}
        : { departures: recent.map(({ target, at, isAnnounced }) => [target, Math.round(tick.now - at), isAnnounced]) };
}

/**
 * Applies the departures that a peer reports. A deleted row counts until the store has confirmed what this process knows
 * after the deletion; if the row still exists then, the target has registered again.
 */
export function applyDepartureReports(
    world: ForwardWorld,
    tick: ForwardTick,
    { departures = [], vm }: PeerState,
): void {
    const { node, targets } = world.tables;
    for (const [target, ageMs, isAnnounced] of departures) {
        const at = addMillis(tick.now, -ageMs);
        // The age of a report grows younger by its time on the way. Known departures are not renewed by it, or processes
        // would keep them alive for each other.
        if (isAnnounced && hasAnnouncedDeparture(world, target, tick.now)) {
            continue;
        }
        if (isAnnounced) {
            recordDeparture(world, tick, target, { at, source: vm });
            continue;
        }
        const row = targets.get(target);
        if (row && row.removedAt === undefined && at > node.storeConfirmedAt && tick.now >= node.rowsMayReturnUntil) {
            row.removedAt = at;
            recordRemoval(world, target, at);
            logInfo(world.effects, "target:", "A peer saw that the target was removed; it gets no requests.", {
                target,
                peer: vm,
                ageMs,
                storeAgeMs: Math.round(tick.now - node.storeConfirmedAt),
            });
        }
    }
}

/** Ends the effect of removals that peers reported and that the store's newer state does not show. */
export function confirmRegistrations(world: ForwardWorld, tick: ForwardTick): void {
    const { departures, node, targets } = world.tables;
    for (const { target } of departures.listSince(addMillis(tick.now, -maxReportedAgeMs))) {
        const row = targets.get(target);
        if (row?.removedAt !== undefined && node.storeConfirmedAt > row.removedAt) {
            row.removedAt = undefined;
        }
    }
}
