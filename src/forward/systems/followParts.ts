/**
 * Follows what engines and stores of parts hold, in a large fleet for all processes. Events are late and some are lost;
 * a wrong row costs a miss.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type TargetId } from "../../ids";
import { listByRendezvous } from "../../policy/rendezvous";
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

/** Processes that follow a target for the others, when there is no room for all of them. */
const sharedFollowers = 2;

/** True when every process follows the target by itself. */
const hasRoomForAll = (world: ForwardWorld, { maxFollowers }: Followed): boolean =>
    world.tables.members.countLive() + spareFollowers <= maxFollowers;

/** In a large fleet a few processes follow each target and tell the others, as rendezvous hashing says. */
function canFollow(world: ForwardWorld, followed: Followed): boolean {
    if (hasRoomForAll(world, followed)) {
        return true;
    }
    const { members } = world.tables;
    const live = members.list().filter(({ state }) => state === "live").map(({ vm }) => vm);
    return listByRendezvous(world.hasher, followed.id, live)
        .slice(0, Math.min(sharedFollowers, followed.maxFollowers - spareFollowers))
        .includes(world.settings.vm);
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
        const isShared = follower.isForAll;
        if (follower.epoch !== undefined && (follower.epoch !== report.epoch || report.hasGap)) {
            logInfo(world.effects, "target:", "What the target holds is learned anew.", {
                target,
                reason: report.hasGap ? "events were lost" : "it restarted",
            });
            heldParts.removeTarget(target);
            if (isShared) {
                heldParts.journal.add({ target, part: undefined, tokens: 0 });
            }
        }
        follower.epoch = report.epoch;
        follower.next = report.next;
        follower.isPending = false;
        for (const { part, tokens } of report.changes) {
            heldParts.update(target, part, tokens);
            if (isShared) {
                heldParts.journal.add({ target, part, tokens });
            }
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
            const isForAll = !hasRoomForAll(world, entry);
            const follower = { epoch: undefined, next: 0, isPending: false, isForAll };
            followers.set(entry.id, follower);
            requestParts(world, entry, follower);
        }
        else if (!known.isPending && due.has(entry.id)) {
            requestParts(world, entry, known);
        }
    }
}
