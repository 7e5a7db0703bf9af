/** The configuration as this process hands it on, and what it knows of newer ones. */
import type { CallId, Millis, VmId } from "../../ids";
import { type ConfigurationCopy, isAfter, type StorePosition } from "../storeChanges";

/** Call of another process for a configuration after a position, which waits for one. */
export interface CopyCall {
    readonly call: CallId;
    readonly after: StorePosition;
    readonly answerAt: Millis;
}

/** The newest configuration that others have reported. */
export interface ReportedConfiguration {
    readonly position: StorePosition;
    readonly since: Millis;
    /** Processes that have it. */
    readonly vms: Set<VmId>;
}

export interface ConfigurationCopiesTable {
    /** Copy of the newest configuration that this process has decoded; undefined before the first one. */
    own: ConfigurationCopy | undefined;
    /** The newest configuration that others have reported; undefined when it is not newer than that of this process. */
    reported: ReportedConfiguration | undefined;
    /** Position up to which reports are ignored, because the copy was no newer version. */
    ignoredUpTo: StorePosition | undefined;
    /** Time since which a large answer of the store arrives. */
    arrivingSince: Millis | undefined;
    /** True from the failure of a large answer until the store's changes arrive again. */
    isAnswerLost: boolean;
    /** Processes that are being asked. */
    readonly pending: Set<VmId>;
    /** Processes that had no copy, or failed, with the time until which they are not asked again. */
    readonly notBefore: Map<VmId, Millis>;
    readonly calls: Map<CallId, CopyCall>;
    /** Time of the next check whether a process is to be asked. */
    checkAt: Millis | undefined;
    /** Last value of the gauge. */
    isBehind: boolean;
}

/** Creates an empty table. */
export const createConfigurationCopiesTable = (): ConfigurationCopiesTable => ({
    own: undefined,
    reported: undefined,
    ignoredUpTo: undefined,
    arrivingSince: undefined,
    isAnswerLost: false,
    pending: new Set(),
    notBefore: new Map(),
    calls: new Map(),
    checkAt: undefined,
    isBehind: false,
});

/** True when the position is after that of the configuration of this process. */
export const isNewerThanOwn = ({ own }: ConfigurationCopiesTable, position: StorePosition): boolean =>
    !own || isAfter(position, own.position);

/** Replaces the copy of this process if the given one is at a later position, and returns true if so. */
export function applyOwnCopy(table: ConfigurationCopiesTable, copy: ConfigurationCopy): boolean {
    if (!isNewerThanOwn(table, copy.position)) {
        return false;
    }
    table.own = copy;
    if (table.reported && !isAfter(table.reported.position, copy.position)) {
        table.reported = undefined;
    }
    return true;
}

/** Records the position that another process reports. */
export function recordReport(
    table: ConfigurationCopiesTable,
    { vm, position, now }: { readonly vm: VmId; readonly position: StorePosition; readonly now: Millis; },
): void {
    const { reported, ignoredUpTo } = table;
    if (!isNewerThanOwn(table, position) || (ignoredUpTo && !isAfter(position, ignoredUpTo))) {
        return;
    }
    if (!reported || isAfter(position, reported.position)) {
        table.reported = { position, since: now, vms: new Set([vm]) };
    }
    else if (!isAfter(reported.position, position)) {
        reported.vms.add(vm);
    }
}
