/**
 * Reads values of the store again that could not be decoded, until they or newer ones are decoded. A process whose copy of
 * the configuration was damaged on its way would otherwise stay behind the fleet until the next version.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis } from "../../ids";
import { computeValueReadDelayMs } from "../../policy/valueReads";
import type { ForwardEventOf, ForwardTick, PublishedChanges, UndecodableValue, ValueReadOutcome } from "../events";
import type { StoreEra } from "../ids";
import { isNewerThanOwn } from "../tables/configurationCopies";
import { addUndecodableValue, recordMalformedKey, type UndecodableRow } from "../tables/undecodableValues";
import type { ForwardWorld } from "../world";

/** Reads under way at once, which share the link with the watch of the store. */
const maxPendingReads = 4;

/** Records a value that could not be decoded; it is read again. */
export function recordUndecodable(
    world: ForwardWorld,
    tick: ForwardTick,
    value: UndecodableValue,
    era: StoreEra,
): void {
    const { configurationCopies, undecodableValues } = world.tables;
    const isNeeded = value.kind !== "configuration"
        || isNewerThanOwn(configurationCopies, { era, revision: value.revision });
    const isAdded = isNeeded && addUndecodableValue(undecodableValues, value, { era, now: tick.now });
    logWarning(world.effects, "store:", "A row of the store cannot be read and is ignored.", {
        ...value,
        era,
        isReadAgain: undecodableValues.rows.has(value.key),
    });
    if (isAdded) {
        world.timers.schedule({ name: "valueRead", at: tick.now });
        updateCount(world);
    }
}

function updateCount(world: ForwardWorld): void {
    const { size } = world.tables.undecodableValues.rows;
    world.effects.append({ kind: "updateGauge", name: "undecodable_values", value: size });
}

function removeRow(world: ForwardWorld, key: string, { isPending }: UndecodableRow): void {
    world.tables.undecodableValues.rows.delete(key);
    updateCount(world);
    if (isPending) {
        world.effects.append({ kind: "cancelValueRead", key });
    }
}

/** Removes the row of a value that is no longer needed, since it or a newer one was decoded, or its key is gone. */
export function settleUndecodable(world: ForwardWorld, tick: ForwardTick, key: string, outcome: string): void {
    const row = world.tables.undecodableValues.rows.get(key);
    if (row) {
        removeRow(world, key, row);
        logInfo(world.effects, "store:", "A row of the store that could not be read is settled.", {
            key,
            outcome,
            reads: row.reads,
            elapsedMs: Math.round(tick.now - row.since),
        });
    }
}

/** True when the same delivery has a newer value of the key. */
const isReplaced = ({ items }: PublishedChanges, key: string, revision: number): boolean =>
    items.some(item => item.key === key && item.revision > revision);

/** Settles configurations that came into force in another way, or were replaced by newer ones. */
export function settleOutdatedConfigurations(world: ForwardWorld, tick: ForwardTick): void {
    const { configurationCopies, undecodableValues } = world.tables;
    for (const { value: { key, kind, revision }, era } of [...undecodableValues.rows.values()]) {
        if (kind === "configuration" && !isNewerThanOwn(configurationCopies, { era, revision })) {
            settleUndecodable(world, tick, key, "in force");
        }
    }
}

/** Settles the values that a delivery has replaced by others or removed; those that cannot be decoded are added later. */
function settleDelivered(world: ForwardWorld, tick: ForwardTick): void {
    const { rows } = world.tables.undecodableValues;
    const { events } = tick;
    for (const { changes } of events.list("publishedChanged")) {
        for (const { key, revision } of changes.items) {
            if (revision > (rows.get(key)?.value.revision ?? revision)) {
                settleUndecodable(world, tick, key, "replaced");
            }
        }
    }
    for (const { changes } of events.list("publishedRead")) {
        const undecodable = new Set(changes.undecodable.map(({ key }) => key));
        for (const key of [...rows.keys()].filter(read => !undecodable.has(read))) {
            settleUndecodable(world, tick, key, "read with the whole store");
        }
    }
}

type FoundValue = Extract<ValueReadOutcome, { readonly kind: "found"; }>;

/** True when the row still waits for the value that was read. */
const isAwaited = (row: UndecodableRow | undefined, { revision, changes }: FoundValue): row is UndecodableRow =>
    row?.isPending === true && row.era === changes.position.era && revision >= row.value.revision;

/** Changes of values that were read again and that nothing newer has replaced meanwhile. */
export function listValueReads(world: ForwardWorld, tick: ForwardTick): readonly PublishedChanges[] {
    return tick.events.list("valueRead").flatMap(({ key, outcome }) =>
        outcome.kind === "found" && isAwaited(world.tables.undecodableValues.rows.get(key), outcome)
            ? [outcome.changes]
            : []
    );
}

function scheduleRead(world: ForwardWorld, tick: ForwardTick, row: UndecodableRow): void {
    row.readAt = addMillis(tick.now, computeValueReadDelayMs(row) * (0.5 + world.random()));
    world.timers.schedule({ name: "valueRead", at: row.readAt });
}

type OutcomeHandlers = {
    readonly [Kind in ValueReadOutcome["kind"]]: (
        world: ForwardWorld,
        tick: ForwardTick,
        row: UndecodableRow,
        outcome: Extract<ValueReadOutcome, { readonly kind: Kind; }>,
    ) => void;
};

const outcomeHandlers: OutcomeHandlers = {
    found: (world, tick, row, { changes }) => {
        const [again] = changes.undecodable;
        if (!again) {
            settleUndecodable(world, tick, row.value.key, "decoded");
            return;
        }
        row.failedReads = 0;
        row.sameReads = again.fingerprint === row.value.fingerprint ? row.sameReads + 1 : 0;
        row.value = again;
        const isInStore = row.sameReads > 0;
        if (isInStore && again.kind !== "configuration") {
            // The platform says that entries of other writers may stand in the store; configurations are checked by it.
            recordMalformedKey(world.tables.undecodableValues, again.key, tick.now);
            settleUndecodable(world, tick, again.key, "malformed in the store");
            return;
        }
        logWarning(world.effects, "store:", "A row of the store was read again and still cannot be decoded.", {
            ...again,
            reads: row.reads,
            isInStore,
        });
        scheduleRead(world, tick, row);
    },
    absent: (world, tick, row) => {
        settleUndecodable(world, tick, row.value.key, "absent");
    },
    failed: (world, tick, row, { message }) => {
        row.failedReads += 1;
        logWarning(world.effects, "store:", "A row of the store could not be read again.", {
            key: row.value.key,
            message,
            reads: row.reads,
        });
        scheduleRead(world, tick, row);
    },
};

function handleOutcome(world: ForwardWorld, tick: ForwardTick, { key, outcome }: ForwardEventOf<"valueRead">): void {
    const row = world.tables.undecodableValues.rows.get(key);
    if (!row?.isPending) {
        return;
    }
    const isOutdated = outcome.kind === "found" && !isAwaited(row, outcome);
    row.isPending = false;
    if (isOutdated) {
        scheduleRead(world, tick, row);
        return;
    }
    const handle = outcomeHandlers[outcome.kind] as OutcomeHandlers["failed"];
    handle(world, tick, row, outcome as Extract<ValueReadOutcome, { readonly kind: "failed"; }>);
}

/** Starts the reads that are due. While the store does not answer its small calls, a large answer would not arrive. */
function requestDueReads(world: ForwardWorld, tick: ForwardTick): void {
    const { node, undecodableValues } = world.tables;
    if (node.storeReachableSince === undefined) {
        return;
    }
    const rows = [...undecodableValues.rows.values()];
    const free = maxPendingReads - rows.filter(({ isPending }) => isPending).length;
    const due = rows.filter(({ isPending, readAt }) => !isPending && tick.now >= readAt);
    const isConfiguration = ({ value }: UndecodableRow): boolean => value.kind === "configuration";
    const others = due.filter(row => !isConfiguration(row)).slice(0, Math.max(0, free));
    for (const row of [...due.filter(isConfiguration), ...others]) {
        row.isPending = true;
        row.reads += 1;
        world.effects.append({ kind: "readValue", key: row.value.key });
    }
}

/**
 * Reads: node. Writes: undecodable values. Effects: reads of single values of the store, log lines, a gauge.
 */
export function readValuesAgain(world: ForwardWorld, tick: ForwardTick): void {
    for (const event of tick.events.list("valueRead")) {
        handleOutcome(world, tick, event);
    }
    requestDueReads(world, tick);
}

/** Settles and adds the rows of what the store delivered. Called before its values are applied. */
export function recordDelivered(world: ForwardWorld, tick: ForwardTick): void {
    settleDelivered(world, tick);
    for (const kind of ["publishedRead", "publishedChanged"] as const) {
        for (const { changes } of tick.events.list(kind)) {
            for (
                const value of changes.undecodable.filter(({ key, revision }) => !isReplaced(changes, key, revision))
            ) {
                recordUndecodable(world, tick, value, changes.position.era);
            }
        }
    }
}
