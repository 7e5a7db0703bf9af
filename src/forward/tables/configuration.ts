/** The configuration in force, with indexes for the request path, and the named weights. */
import {
    type AccountId,
    type ConfigVersion,
    type KeyHash,
    type Millis,
    type ModelId,
    toConfigVersion,
} from "../../ids";
import type { ForwardAccount, ForwardDocument, ForwardRoute, PartStore } from "../document";
import type { WeightsVersion } from "../ids";

/** A version of a model's weights that was named. */
export interface NamedWeights {
    readonly version: WeightsVersion;
    namedAt: Millis;
    /** False when the version was found at the start, so that `namedAt` is assumed. */
    isSeen: boolean;
}

export interface ForwardConfigurationTable {
    /** Undefined until a configuration was read. */
    document: ForwardDocument | undefined;
    readonly version: ConfigVersion;
    /** Every version of each model that was named in this run, oldest first. */
    readonly weights: Map<ModelId, NamedWeights[]>;
    /** Takes a configuration if it is newer. */
    apply(document: ForwardDocument): boolean;
    findRoute(host: string, path: string): ForwardRoute | undefined;
    findAccount(key: KeyHash): ForwardAccount | undefined;
    getAccount(id: AccountId): ForwardAccount | undefined;
    getPartStore(): PartStore | undefined;
}

/** Creates a table without a configuration. */
export function createForwardConfigurationTable(): ForwardConfigurationTable {
    const routesByHost = new Map<string, ForwardRoute[]>();
    const accountsByKey = new Map<KeyHash, ForwardAccount>();
    const table = {
        document: undefined as ForwardDocument | undefined,
        get version() {
            return table.document?.version ?? toConfigVersion(0);
        },
        weights: new Map<ModelId, NamedWeights[]>(),
        apply: (document: ForwardDocument) => {
            if (table.document && document.version <= table.document.version) {
                return false;
            }
            table.document = document;
            routesByHost.clear();
            accountsByKey.clear();
            for (const route of document.routes) {
                routesByHost.set(route.host, [...(routesByHost.get(route.host) ?? []), route]);
            }
            for (const routes of routesByHost.values()) {
                routes.sort((left, right) => right.prefix.length - left.prefix.length);
            }
            for (const account of document.accounts.values()) {
                for (const key of account.keys) {
                    accountsByKey.set(key, account);
                }
            }
            return true;
        },
        findRoute: (host: string, path: string) => routesByHost.get(host)?.find(route => path.startsWith(route.prefix)),
        findAccount: (key: KeyHash) => accountsByKey.get(key),
        getAccount: (id: AccountId) => table.document?.accounts.get(id),
        getPartStore: () => table.document?.partStores[0],
    };
    return table;
}

/** The newest named version of a model. */
export function getNewestWeights(table: ForwardConfigurationTable, model: ModelId): NamedWeights | undefined {
    return table.weights.get(model)?.at(-1);
}

/** Adds a named version in its place; false when it is known. */
export function addVersion(table: ForwardConfigurationTable, model: ModelId, named: NamedWeights): boolean {
    const versions = table.weights.get(model) ?? [];
    if (versions.some(({ version }) => version === named.version)) {
        return false;
    }
    const next = versions.findIndex(({ version }) => version > named.version);
    versions.splice(next < 0 ? versions.length : next, 0, named);
    table.weights.set(model, versions);
    return true;
}

/** Records a naming that a peer saw, unless this process knows an earlier one. Returns true for an unknown version. */
export function recordNaming(
    table: ForwardConfigurationTable,
    model: ModelId,
    { version, namedAt }: Omit<NamedWeights, "isSeen">,
): boolean {
    if (addVersion(table, model, { version, namedAt, isSeen: true })) {
        return true;
    }
    const known = table.weights.get(model)?.find(entry => entry.version === version);
    if (known && (!known.isSeen || namedAt < known.namedAt)) {
        known.namedAt = namedAt;
        known.isSeen = true;
    }
    return false;
}

/** Time at which a version newer than the given one was first named; undefined when there is none. */
export function findOutdatedSince(
    table: ForwardConfigurationTable,
    model: ModelId,
    version: WeightsVersion,
): Millis | undefined {
    return table.weights.get(model)?.find(named => named.version > version)?.namedAt;
}
