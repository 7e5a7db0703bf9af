/** Follows what engines and stores of parts hold. Events are late and some are lost; a wrong row costs a miss. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type TargetId } from "../../ids";
import type { ForwardTick } from "../events";
import type { PartFollower } from "../tables/heldParts";
import type { ForwardWorld } from "../world";

/** Pause between two reports of one target; many events then share one call. */
const pauseMs = 250;
/** Pause after a call that failed. */
const failurePauseMs = 1000;
/** Followers that one target has room for beside the fleet, for processes that restart. */
const spareFollowers = 4;
/** Targets that appear are followed from the next run of this timer on. */
const searchEveryMs = 1000;

interface Followed {
    readonly id: TargetId;
    readonly address: string;
    readonly maxFollowers: number;
}

function listFollowed(world: ForwardWorld): Followed[] {
    const { configuration, targets } = world.tables;
    const engines = [...configuration.document?.services.values() ?? []].flatMap(({ id, engine }) =>
        engine
            ? targets.listService(id).map(({ registration }) => ({
                id: registration.id,
                address: registration.address,
                maxFollowers: engine.maxFollowers,
            }))
            : []
    );
    return [...engines, ...configuration.document?.partStores ?? []];
}

/** A large fleet would take up all the calls that a target holds; its processes rely on their own requests. */
function canFollow(world: ForwardWorld, { maxFollowers }: Followed): boolean {
    return world.tables.members.countLive() + spareFollowers <= maxFollowers;
}

function requestParts(world: ForwardWorld, followed: Followed, follower: PartFollower): void {
    follower.isPending = true;
    world.effects.append({
        kind: "followParts",
        target: followed.id,
        address: followed.address,
        since: follower.next,
    });
}

function applyReports(world: ForwardWorld, tick: ForwardTick): void {
    const { heldParts } = world.tables;
    for (const { target, report } of tick.events.list("partsReported")) {
        const follower = heldParts.followers.get(target);
        if (!follower) {
            continue;
        }
        if (follower.epoch !== undefined && (follower.epoch !== report.epoch || report.hasGap)) {
            logInfo(world.effects, "target:", "What the target holds is learned anew.", {
                target,
                reason: report.hasGap ? "events were lost" : "it restarted",
            });
            heldParts.removeTarget(target);
        }
        follower.epoch = report.epoch;
        follower.next = report.next;
        follower.isPending = false;
        for (const { part, tokens } of report.changes) {
            heldParts.update(target, part, tokens);
        }
        world.timers.schedule({ name: "partReports", at: addMillis(tick.now, pauseMs), key: target });
    }
    for (const { target, message } of tick.events.list("partsUnread")) {
        const follower = heldParts.followers.get(target);
        if (follower) {
            follower.isPending = false;
            logWarning(world.effects, "target:", "Cache events could not be read.", { target, message });
            world.timers.schedule({ name: "partReports", at: addMillis(tick.now, failurePauseMs), key: target });
        }
    }
}

/**
 * Reads: configuration, targets, members. Writes: held parts.
 * Effects: calls for cache events, log lines.
 */
export function followParts(world: ForwardWorld, tick: ForwardTick): void {
    if (tick.number === 1) {
        world.timers.subscribe({ name: "partReports", everyMs: searchEveryMs }, tick.now);
    }
    applyReports(world, tick);
    if (!tick.due.has("partReports")) {
        return;
    }
    const { followers } = world.tables.heldParts;
    const due = new Set(tick.due.listKeys("partReports"));
    const followed = listFollowed(world).filter(entry => canFollow(world, entry));
    const ids = new Set(followed.map(({ id }) => id));
    for (const id of followers.keys()) {
        if (!ids.has(id)) {
            followers.delete(id);
        }
    }
    for (const entry of followed) {
        const known = followers.get(entry.id);
        if (!known) {
            const follower = { epoch: undefined, next: 0, isPending: false };
            followers.set(entry.id, follower);
            requestParts(world, entry, follower);
        }
        else if (!known.isPending && due.has(entry.id)) {
            requestParts(world, entry, known);
        }
    }
}
