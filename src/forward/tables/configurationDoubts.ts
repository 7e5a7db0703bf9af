/**
 * Comparison of the configuration in force with those of other processes, by the fingerprints of the same value. The store
 * sends no checksum, so this is what shows a value that was damaged on its way and still decodes.
 */
import type { Millis, VmId } from "../../ids";
import type { Fingerprint } from "../ids";
import type { ConfigurationCopy, StorePosition } from "../storeChanges";

export interface ConfigurationDoubtsTable {
    /** Configuration of this process that is compared; undefined before the first one. */
    compared: Pick<ConfigurationCopy, "key" | "position" | "fingerprint"> | undefined;
    /** Processes that have the same bytes at the same position. */
    readonly agreeing: Set<VmId>;
    /** Processes that have other bytes there, with their fingerprints. */
    readonly differing: Map<VmId, Fingerprint>;
    /** True when the store has confirmed the bytes; further reports say that others are damaged. */
    isConfirmed: boolean;
    /** Time before which the store is not asked. */
    readNotBefore: Millis;
    isReadPending: boolean;
    /** Reads of the store that were made for this comparison. */
    reads: number;
}

/** Creates a table without a configuration. */
export const createConfigurationDoubtsTable = (): ConfigurationDoubtsTable => ({
    compared: undefined,
    agreeing: new Set(),
    differing: new Map(),
    isConfirmed: false,
    readNotBefore: 0 as Millis,
    isReadPending: false,
    reads: 0,
});

/** Begins to compare another configuration. */
export function startComparison(
    table: ConfigurationDoubtsTable,
    compared: ConfigurationDoubtsTable["compared"],
): void {
    table.compared = compared;
    table.agreeing.clear();
    table.differing.clear();
    table.isConfirmed = false;
    table.isReadPending = false;
    table.reads = 0;
}

export interface ConfigurationComparison {
    readonly vm: VmId;
    readonly position: StorePosition;
    readonly fingerprint: Fingerprint;
}

/** Records what another process has at the same position; other positions say nothing. */
export function recordComparison(
    table: ConfigurationDoubtsTable,
    { vm, position, fingerprint }: ConfigurationComparison,
): void {
    const { compared, agreeing, differing } = table;
    if (compared?.position.era !== position.era || compared.position.revision !== position.revision) {
        return;
    }
    agreeing.delete(vm);
    differing.delete(vm);
    if (compared.fingerprint === fingerprint) {
        agreeing.add(vm);
    }
    else {
        differing.set(vm, fingerprint);
    }
}
