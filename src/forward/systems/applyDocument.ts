/** Puts a configuration into force. Shared by systems. */
import { type LogFields, logInfo, logWarning } from "../../effects";
import type { AccountId, VmId } from "../../ids";
import type { ForwardDocument } from "../document";
import type { PublishedChanges, StoreTransfer } from "../events";
import type { StoreEra } from "../ids";
import { listIsolated } from "../policy/cacheScope";
import type { ConfigurationCopy } from "../storeChanges";
import type { ForwardConfigurationTable } from "../tables/configuration";
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

/** What was in force before a configuration. */
type ConfigurationBefore = Pick<ForwardConfigurationTable, "document" | "version" | "sharedScope">;

const listWithout = (accounts: readonly AccountId[], without: readonly AccountId[]): readonly AccountId[] => {
    const excluded = new Set(without);
    return accounts.filter(id => !excluded.has(id));
};

/** Reports that accounts share cached parts in another scope than before, so that each part is computed once more. */
function recordSharedScope(
    world: ForwardWorld,
    document: ForwardDocument,
    before: ConfigurationBefore,
): void {
    const { sharedScope } = world.tables.configuration;
    const accounts = [...document.accounts.values()];
    if (!before.document || before.sharedScope === sharedScope || accounts.every(({ isIsolated }) => isIsolated)) {
        return;
    }
    const isolatedBefore = listIsolated(before.document.accounts.values());
    const isolated = listWithout(listIsolated(accounts), isolatedBefore);
    const noLongerIsolated = listWithout(isolatedBefore, listIsolated(accounts));
    world.effects.append({ kind: "addCount", name: "shared_scope_changes_total", value: 1, labels: {} });
    logWarning(world.effects, "config:", "Shared prompt parts start afresh, since other accounts are isolated now.", {
        version: document.version,
        scope: sharedScope,
        scopeBefore: before.sharedScope,
        changedAccounts: isolated.length + noLongerIsolated.length,
        isolated: isolated.slice(0, maxNamedAccounts),
        noLongerIsolated: noLongerIsolated.slice(0, maxNamedAccounts),
    });
}

/** Records that a configuration has come into force. */
function recordActive(
    world: ForwardWorld,
    document: ForwardDocument,
    before: ConfigurationBefore,
    fields: LogFields,
): void {
    const accounts = [...document.accounts.values()];
    const isolated = listIsolated(accounts);
    world.effects.append({ kind: "applyLimits", limits: document.limits });
    world.effects.append({ kind: "updateGauge", name: "configuration_version", value: document.version });
    world.effects.append({ kind: "updateGauge", name: "isolated_accounts", value: isolated.length });
    logInfo(world.effects, "config:", "Configuration is active.", {
        version: document.version,
        before: before.version,
        routes: document.routes.length,
        accounts: accounts.length,
        isolatedAccounts: isolated.length,
        isolated: isolated.slice(0, maxNamedAccounts),
        sharedScope: world.tables.configuration.sharedScope,
        keys: accounts.reduce((sum, { keys }) => sum + keys.length, 0),
        ...fields,
    });
    recordSharedScope(world, document, before);
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
    const before = { ...configuration };
    const isApplied = configuration.apply(document);
    if (copy && document.version >= before.version && applyOwnCopy(configurationCopies, copy)) {
        startComparison(configurationDoubts, copy);
    }
    if (isApplied) {
        recordActive(world, document, before, {
            ...source,
            ...buildCopyFields(copy),
            ...(transfer ? { answerBytes: transfer.bytes, transferMs: Math.round(transfer.ms) } : {}),
        });
    }
    else if (document.version < before.version) {
        logWarning(world.effects, "config:", "An older configuration was read and is ignored.", {
            version: document.version,
            inForce: before.version,
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
    const before = { ...configuration };
    logWarning(world.effects, "config:", "The configuration in force was damaged and is replaced.", {
        before: configurationCopies.own?.fingerprint,
        ...buildCopyFields(copy),
    });
    configuration.replace(document);
    configurationCopies.own = copy;
    startComparison(configurationDoubts, copy);
    recordActive(world, document, before, { ...source, ...buildCopyFields(copy) });
}
