/**
 * Reads the configuration again when as many other processes have other bytes of the same value as have the same ones. A
 * value that was damaged on its way and still decodes would otherwise stay in force until the next version.
 */
import { logInfo, logWarning } from "../../effects";
import { addMillis } from "../../ids";
import type { ForwardTick, ValueReadOutcome } from "../events";
import { isAfter } from "../storeChanges";
import {
    type ConfigurationComparison,
    type ConfigurationDoubtsTable,
    recordComparison,
} from "../tables/configurationDoubts";
import type { ForwardWorld } from "../world";
import { applyCorrection, applyDocument } from "./applyDocument";

/** Time in which reports are collected, so that one damaged process does not have all others read the store. */
const collectMs = 1000;
/** Delay after a read that did not decide. */
const retryMs = 1000;
/** Reads for one configuration; after that, what the store returns differs from read to read or from all processes. */
const maxReads = 5;

function isDoubted({ agreeing, differing, isConfirmed, reads }: ConfigurationDoubtsTable): boolean {
    return !isConfirmed && differing.size > 0 && differing.size >= agreeing.size && reads < maxReads;
}

/** Records which bytes of the configuration a peer has. */
export function recordConfiguration(
    world: ForwardWorld,
    tick: ForwardTick,
    comparison: ConfigurationComparison,
): void {
    const { configurationDoubts: table } = world.tables;
    const wasEqual = table.differing.size === 0;
    recordComparison(table, comparison);
    if (wasEqual && table.differing.size > 0 && table.reads === 0) {
        table.readNotBefore = addMillis(tick.now, collectMs);
        world.timers.schedule({ name: "configurationComparison", at: table.readNotBefore });
    }
}

/** Compares what the store returned; returns true if that decides. */
function settleDoubt(world: ForwardWorld, outcome: ValueReadOutcome): boolean {
    const { configurationDoubts: table } = world.tables;
    const { compared, differing } = table;
    if (outcome.kind !== "found" || !compared) {
        return false;
    }
    const { document, copy, position } = outcome.changes;
    if (!document || !copy) {
        return false;
    }
    const source = { learnedFrom: "read", ...position } as const;
    if (isAfter(copy.position, compared.position)) {
        applyDocument(world, outcome.changes, source, undefined);
        return true;
    }
    if (isAfter(compared.position, copy.position)) {
        return false;
    }
    if (copy.fingerprint === compared.fingerprint) {
        table.isConfirmed = true;
        logInfo(world.effects, "config:", "The store has confirmed the configuration in force.", {
            fingerprint: copy.fingerprint,
            differing: [...differing.keys()],
        });
        return true;
    }
    if (![...differing.values()].includes(copy.fingerprint)) {
        return false;
    }
    applyCorrection(world, document, copy, source);
    return true;
}

function handleReads(world: ForwardWorld, tick: ForwardTick): void {
    const { configurationDoubts: table } = world.tables;
    for (const { key, outcome } of tick.events.list("valueRead")) {
        if (!table.isReadPending || key !== table.compared?.key) {
            continue;
        }
        table.isReadPending = false;
        if (!settleDoubt(world, outcome)) {
            table.readNotBefore = addMillis(tick.now, retryMs);
            world.timers.schedule({ name: "configurationComparison", at: table.readNotBefore });
        }
    }
}

/** Asks the store once enough reports have come, unless the configuration is being read again for another reason. */
function requestRead(world: ForwardWorld, tick: ForwardTick): void {
    const { configurationDoubts: table, node, undecodableValues } = world.tables;
    const { compared } = table;
    if (!compared || table.isReadPending || !isDoubted(table)) {
        return;
    }
    const isReadAnyway = undecodableValues.rows.has(compared.key);
    if (isReadAnyway || tick.now < table.readNotBefore || node.storeReachableSince === undefined) {
        return;
    }
    table.isReadPending = true;
    table.reads += 1;
    world.effects.append({ kind: "readValue", key: compared.key });
    logWarning(world.effects, "config:", "Other processes have other bytes of the configuration; it is read again.", {
        ...compared.position,
        fingerprint: compared.fingerprint,
        agreeing: [...table.agreeing],
        differing: [...table.differing].map(([vm, fingerprint]) => `${vm} ${fingerprint}`),
    });
}

/**
 * Reads: node, undecodable values. Writes: configuration, configuration copies, configuration doubts.
 * Effects: reads of the configuration, caller limits, log lines, gauges.
 */
export function checkConfigurations(world: ForwardWorld, tick: ForwardTick): void {
    handleReads(world, tick);
    requestRead(world, tick);
}
