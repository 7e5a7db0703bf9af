/** Puts a configuration into force. Shared by systems. */
import { logInfo, logWarning } from "../../effects";
import type { VmId } from "../../ids";
import type { PublishedChanges, StoreTransfer } from "../events";
import type { StoreEra } from "../ids";
import { applyOwnCopy } from "../tables/configurationCopies";
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

/** Applies a configuration if its version is higher than that in force. Its copy is kept for other processes. */
export function applyDocument(
    world: ForwardWorld,
    { document, copy }: Pick<PublishedChanges, "document" | "copy">,
    source: ChangeSource,
    transfer: StoreTransfer | undefined,
): void {
    const { configuration, configurationCopies } = world.tables;
    if (!document) {
        return;
    }
    const before = configuration.version;
    const isApplied = configuration.apply(document);
    if (copy && document.version >= before) {
        applyOwnCopy(configurationCopies, copy);
    }
    if (!isApplied) {
        if (document.version < before) {
            logWarning(world.effects, "config:", "An older configuration was read and is ignored.", {
                version: document.version,
                inForce: before,
            });
        }
        return;
    }
    world.effects.append({ kind: "applyLimits", limits: document.limits });
    world.effects.append({ kind: "updateGauge", name: "configuration_version", value: document.version });
    logInfo(world.effects, "config:", "Configuration is active.", {
        version: document.version,
        before,
        routes: document.routes.length,
        accounts: document.accounts.size,
        keys: [...document.accounts.values()].reduce((sum, { keys }) => sum + keys.length, 0),
        ...source,
        ...(copy ? { valueRevision: copy.position.revision, fingerprint: copy.fingerprint } : {}),
        ...(transfer ? { answerBytes: transfer.bytes, transferMs: Math.round(transfer.ms) } : {}),
    });
}
