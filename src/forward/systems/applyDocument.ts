/** Puts a configuration into force. Shared by systems. */
import { type LogFields, logInfo, logWarning } from "../../effects";
import type { ConfigVersion, VmId } from "../../ids";
import type { ForwardDocument } from "../document";
import type { PublishedChanges, StoreTransfer } from "../events";
import type { StoreEra } from "../ids";
import type { ConfigurationCopy } from "../storeChanges";
import { applyOwnCopy } from "../tables/configurationCopies";
import { startComparison } from "../tables/configurationDoubts";
import type { ForwardWorld } from "../world";

/** How this process learned of a change, for its log line. */
export interface ChangeSource {
    readonly learnedFrom: "read" | "watch" | "reader" | "copy";
    /** Position in the store's history up to which the delivery reaches. */
    readonly era: StoreEra;
    readonly revision: number;
    /** Process that has handed the change on. */
    readonly vm?: VmId;
    /** Length of the compressed configuration that it has sent. */
    readonly packedLength?: number;
}

/** Isolated accounts that a log line names. */
const maxNamedAccounts = 20;

type NewConfiguration = Pick<PublishedChanges, "document" | "copy">;

/** Records that a configuration has come into force. */
function recordActive(
    world: ForwardWorld,
    document: ForwardDocument,
    before: ConfigVersion,
    fields: LogFields,
): void {
    const accounts = [...document.accounts.values()];
    const isolated = accounts.filter(({ isIsolated }) => isIsolated).map(({ id }) => id);
    world.effects.append({ kind: "applyLimits", limits: document.limits });
    world.effects.append({ kind: "updateGauge", name: "configuration_version", value: document.version });
    world.effects.append({ kind: "updateGauge", name: "isolated_accounts", value: isolated.length });
    logInfo(world.effects, "config:", "Configuration is active.", {
        version: document.version,
        before,
        routes: document.routes.length,
        accounts: accounts.length,
        isolatedAccounts: isolated.length,
        isolated: isolated.slice(0, maxNamedAccounts),
        keys: accounts.reduce((sum, { keys }) => sum + keys.length, 0),
        ...fields,
    });
}

const buildCopyFields = (copy: ConfigurationCopy | undefined): LogFields =>
    copy ? { valueRevision: copy.position.revision, fingerprint: copy.fingerprint } : {};

/** Applies a configuration if its version is higher than that in force. Its copy is kept for other processes. */
export function applyDocument(
    world: ForwardWorld,
    { document, copy }: NewConfiguration,
    source: ChangeSource,
    transfer: StoreTransfer | undefined,
): void {
    const { configuration, configurationCopies, configurationDoubts } = world.tables;
    if (!document) {
        return;
    }
    const before = configuration.version;
    const isApplied = configuration.apply(document);
    if (copy && document.version >= before && applyOwnCopy(configurationCopies, copy)) {
        startComparison(configurationDoubts, copy);
    }
    if (isApplied) {
        recordActive(world, document, before, {
            ...source,
            ...buildCopyFields(copy),
            ...(transfer ? { answerBytes: transfer.bytes, transferMs: Math.round(transfer.ms) } : {}),
        });
    }
    else if (document.version < before) {
        logWarning(world.effects, "config:", "An older configuration was read and is ignored.", {
            version: document.version,
            inForce: before,
        });
    }
}

/** Replaces the configuration in force, whose bytes were damaged, by another copy of the same value. */
export function applyCorrection(
    world: ForwardWorld,
    document: ForwardDocument,
    copy: ConfigurationCopy,
    source: ChangeSource,
): void {
    const { configuration, configurationCopies, configurationDoubts } = world.tables;
    const before = configuration.version;
    logWarning(world.effects, "config:", "The configuration in force was damaged and is replaced.", {
        before: configurationCopies.own?.fingerprint,
        ...buildCopyFields(copy),
    });
    configuration.replace(document);
    configurationCopies.own = copy;
    startComparison(configurationDoubts, copy);
    recordActive(world, document, before, { ...source, ...buildCopyFields(copy) });
}
