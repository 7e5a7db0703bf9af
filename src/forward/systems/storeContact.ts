/** Records when the store has answered this process, directly or through a reader, and when it has not. */
import { logInfo, logWarning } from "../../effects";
import { addMillis, type Millis, toMillis } from "../../ids";
import type { ForwardEventOf, ForwardTick, StoreFeedCall, StoreTransfer } from "../events";
import { computeRowReturnMs } from "../policy/rowReturn";
import type { ForwardWorld } from "../world";

/** Records the end of an outage: for how long rows may return that lapsed in it. */
function recordOutageEnd(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    const { targetReportMs, contactMs } = world.settings.bounds;
    const outageMs = Math.max(tick.now - node.storeAnsweredAt, tick.wallNow - node.storeWallAnsweredAt);
    const rowReturnMs = computeRowReturnMs({
        outageMs,
        lastFailureMs: tick.now - node.storeFailedAt,
        reportMs: targetReportMs,
        contactMs,
    });
    node.rowsMayReturnUntil = toMillis(Math.max(node.copyOutdatedUntil, addMillis(tick.now, rowReturnMs)));
    logInfo(world.effects, "store:", "The store answers again.", { outageMs: Math.round(outageMs), rowReturnMs });
}

export interface StoreConfirmation {
    /** Time at which the store's contents were as this process knows them now. */
    readonly confirmedAt: Millis;
    /** State of the process that passed the contents on; undefined when the store itself has answered. */
    readonly reader?: ForwardEventOf<"publishedChanged">["reader"];
}

/** Records that the published state was confirmed. */
export function recordStoreContact(
    world: ForwardWorld,
    tick: ForwardTick,
    { confirmedAt, reader }: StoreConfirmation,
): void {
    const { node } = world.tables;
    const wasReachable = node.storeReachableSince !== undefined;
    node.storeConfirmedAt = confirmedAt;
    node.storeWallConfirmedAt = tick.wallNow - (tick.now - confirmedAt);
    if (reader) {
        // Changes that were passed on are judged by the outages that their reader saw.
        node.storeReachableSince = addMillis(tick.now, -reader.reachableMs);
        node.rowsMayReturnUntil = addMillis(tick.now, reader.rowsMayReturnMs ?? 0);
    }
    else if (!wasReachable) {
        node.storeReachableSince = tick.now;
        if (node.isStoreUnread) {
            logInfo(world.effects, "store:", "The store was read for the first time.", {});
        }
        else {
            recordOutageEnd(world, tick);
        }
    }
    node.storeAnsweredAt = tick.now;
    node.storeWallAnsweredAt = tick.wallNow;
    recordFailureCount(world, 0);
}

/** Records how many calls have failed since the store last answered. */
function recordFailureCount(world: ForwardWorld, count: number): void {
    const { node } = world.tables;
    if (node.storeFailures !== count) {
        node.storeFailures = count;
        world.effects.append({ kind: "updateGauge", name: "store_failures_in_a_row", value: count });
    }
}

/** Counts what the store's answer to a call has moved over the link. */
export function recordStoreTransfer(
    world: ForwardWorld,
    call: StoreFeedCall,
    transfer: StoreTransfer | undefined,
): void {
    if (transfer) {
        const name = "store_received_bytes_total";
        world.effects.append({ kind: "addCount", name, value: transfer.bytes, labels: { call } });
        world.effects.append({ kind: "recordValue", name: "store_transfer_ms", value: transfer.ms });
    }
}

/** Interval of the log lines about calls that fail one after the other. */
const failureLogIntervalMs = 2000;

/** Records the calls of this process that have failed. */
export function recordStoreFailures(world: ForwardWorld, tick: ForwardTick): void {
    const { node } = world.tables;
    for (const { call, message, sentAt, receivedBytes } of tick.events.list("storeUnreachable")) {
        node.storeFailedAt = sentAt;
        recordFailureCount(world, node.storeFailures + 1);
        world.effects.append({ kind: "addCount", name: "store_failures_total", value: 1, labels: { call } });
        const failures = node.storeFailures;
        const fields = { call, message, receivedBytes, elapsedMs: Math.round(tick.now - sentAt), failures };
        const isFirst = failures === 1;
        if (receivedBytes > 0) {
            logWarning(world.effects, "store:", "An answer of the store was cut short or malformed.", fields);
        }
        else if (isFirst || tick.now - node.storeFailureLoggedAt >= failureLogIntervalMs) {
            const message = isFirst ? "The store does not answer." : "The store still does not answer.";
            logWarning(world.effects, "store:", message, fields);
            node.storeFailureLoggedAt = tick.now;
        }
        node.storeReachableSince = undefined;
    }
    for (const { after, reason, receivedBytes } of tick.events.list("storeChangesSkipped")) {
        const fields = { reason, receivedBytes, ...after };
        logInfo(world.effects, "store:", "Changes are skipped; the store is read.", fields);
    }
}
