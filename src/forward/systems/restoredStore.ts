/**
 * What a process does when the store has come back from an older copy: for a while it trusts what it knows more than the
 * copy, until targets and other processes have written their rows again. Shared by systems.
 */
import { logWarning } from "../../effects";
import { addMillis, type Millis, toMillis } from "../../ids";
import type { ForwardTick } from "../events";
import { computeRowReturnMs } from "../policy/rowReturn";
import type { StorePosition } from "../storeChanges";
import type { ForwardWorld } from "../world";

/** Time until which rows of the store may be older than what this process knows. */
function computeTrustEnd(world: ForwardWorld, tick: ForwardTick): Millis {
    const { storeAnsweredAt, storeFailedAt } = world.tables.node;
    const { contactMs, targetReportMs } = world.settings.bounds;
    const rowReturnMs = computeRowReturnMs({
        outageMs: Infinity,
        lastFailureMs: tick.now - Math.max(storeAnsweredAt, storeFailedAt),
        reportMs: targetReportMs,
        contactMs,
    });
    return addMillis(tick.now, rowReturnMs);
}

/** Records the position of a full read; returns true if the store was restored since the last one. */
export function recordReadPosition(world: ForwardWorld, tick: ForwardTick, position: StorePosition): boolean {
    const { node } = world.tables;
    const isRestored = !node.isStoreUnread && position.era > node.storeEra;
    const before = node.storeEra;
    node.storeEra = position.era;
    if (!isRestored) {
        return false;
    }
    node.storeRestoredAt = tick.now;
    node.copyOutdatedUntil = computeTrustEnd(world, tick);
    node.rowsMayReturnUntil = toMillis(Math.max(node.rowsMayReturnUntil, node.copyOutdatedUntil));
    logWarning(world.effects, "store:", "The store was restored from an older copy; all of it was read again.", {
        before,
        ...position,
        trustedMs: Math.round(node.copyOutdatedUntil - tick.now),
    });
    return true;
}

/** True while rows that a full read finds, or misses, may be older than what this process knows. */
export const isCopyOutdated = (world: ForwardWorld, tick: ForwardTick): boolean =>
    tick.now < world.tables.node.copyOutdatedUntil;
