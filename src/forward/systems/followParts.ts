/**
 * Follows the cache events of engines and part stores; in a large fleet, a few processes follow each target for all.
 * Events arrive late and some are lost; a wrong row costs a cache miss.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis } from "../../ids";
import { listByRendezvous } from "../../policy/rendezvous";
import type { ForwardTick } from "../events";
import type { FollowedTarget, PartFollower } from "../tables/cachedParts";
import type { ForwardWorld } from "../world";
import { recordSignOfLife } from "./targetHealth";

/** Delay between two calls to one target, so that many events share one call. */
const reportDelayMs = 250;
/** Delay after a call that failed. */
const failureDelayMs = 1000;
/** Number of followers that each target accepts but that are kept free for processes that restart. */
const reservedFollowers = 4;
/** Interval at which new targets are discovered. */
const discoveryIntervalMs = 1000;

function listTargets(world: ForwardWorld): FollowedTarget[] {
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

/** Processes that follow a target for the others when it cannot serve them all. */
const followersPerTarget = 2;

/** True when the target accepts enough followers for every process to follow it. */
const canAllFollow = (world: ForwardWorld, { maxFollowers }: FollowedTarget): boolean =>
    world.tables.members.countLive() + reservedFollowers <= maxFollowers;

/** True when this process follows the target. In a large fleet, rendezvous hashing chooses a few processes that do. */
function canFollow(world: ForwardWorld, followed: FollowedTarget): boolean {
    if (canAllFollow(world, followed)) {
        return true;
    }
    const { members } = world.tables;
    const live = members.list().filter(({ state }) => state === "live").map(({ vm }) => vm);
    return listByRendezvous(world.hasher, followed.id, live)
        .slice(0, Math.max(1, Math.min(followersPerTarget, followed.maxFollowers - reservedFollowers)))
        .includes(world.settings.vm);
}

/**
 * Targets that this process follows. Ranking all members for each target takes milliseconds in a large fleet, so the
 * result is kept until a member, a target or the configuration changes.
 */
function listFollowed(world: ForwardWorld): readonly FollowedTarget[] {
    const { cachedParts, configuration, members, targets } = world.tables;
    const inputs = `${configuration.version} ${targets.revision} ${members.revision}`;
    if (cachedParts.assignment?.inputs !== inputs) {
        const followed = listTargets(world).filter(target => canFollow(world, target));
        cachedParts.assignment = { inputs, followed };
    }
    return cachedParts.assignment.followed;
}

function requestParts(world: ForwardWorld, followed: FollowedTarget, follower: PartFollower): void {
    follower.isPending = true;
    world.effects.append({
        kind: "followParts",
        target: followed.id,
        address: followed.address,
        since: follower.nextEventNumber,
    });
}

function applyReports(world: ForwardWorld, tick: ForwardTick): void {
    const { cachedParts } = world.tables;
    for (const { target, report } of tick.events.list("partsReported")) {
        const row = world.tables.targets.get(target);
        if (row) {
            recordSignOfLife(world, row);
        }
        const follower = cachedParts.followers.get(target);
        if (!follower) {
            continue;
        }
        const isShared = follower.isSharedWithPeers;
        if (follower.epoch !== undefined && (follower.epoch !== report.epoch || report.hasGap)) {
            logInfo(world.effects, "target:", "Cached parts of the target were reset.", {
                target,
                reason: report.hasGap ? "events were lost" : "it restarted",
            });
            cachedParts.removeTarget(target);
            if (isShared) {
                cachedParts.journal.add({ target, part: undefined, tokens: 0 });
            }
        }
        follower.epoch = report.epoch;
        follower.nextEventNumber = report.nextEventNumber;
        follower.isPending = false;
        for (const { part, tokens } of report.changes) {
            cachedParts.update(target, part, tokens);
            if (isShared) {
                cachedParts.journal.add({ target, part, tokens });
            }
        }
        world.timers.schedule({ name: "partReports", at: addMillis(tick.now, reportDelayMs), key: target });
    }
    for (const { target, message } of tick.events.list("partsReadFailed")) {
        const follower = cachedParts.followers.get(target);
        if (follower) {
            follower.isPending = false;
            logWarning(world.effects, "target:", "Cache events could not be read.", { target, message });
            world.timers.schedule({ name: "partReports", at: addMillis(tick.now, failureDelayMs), key: target });
        }
    }
}

/**
 * Reads: configuration, members. Writes: cached parts, targets (signs of life).
 * Effects: calls for cache events, log lines.
 */
export function followParts(world: ForwardWorld, tick: ForwardTick): void {
    if (tick.number === 1) {
        world.timers.subscribe({ name: "partReports", everyMs: discoveryIntervalMs }, tick.now);
    }
    applyReports(world, tick);
    if (!tick.due.has("partReports")) {
        return;
    }
    const { followers } = world.tables.cachedParts;
    const due = new Set(tick.due.listKeys("partReports"));
    const followed = listFollowed(world);
    const ids = new Set(followed.map(({ id }) => id));
    for (const id of followers.keys()) {
        if (!ids.has(id)) {
            followers.delete(id);
        }
    }
    for (const followedTarget of followed) {
        const existing = followers.get(followedTarget.id);
        if (!existing) {
            const isSharedWithPeers = !canAllFollow(world, followedTarget);
            const follower = { epoch: undefined, nextEventNumber: 0, isPending: false, isSharedWithPeers };
            followers.set(followedTarget.id, follower);
            requestParts(world, followedTarget, follower);
        }
        else if (!existing.isPending && due.has(followedTarget.id)) {
            requestParts(world, followedTarget, existing);
        }
    }
}
