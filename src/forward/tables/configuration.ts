/** The active configuration, with indexes for the request path, and the published weights. */
import {
    type AccountId,
    type ConfigVersion,
    type KeyHash,
    type Millis,
    type ModelId,
    toConfigVersion,
} from "../../ids";
import type { ForwardAccount, ForwardDocument, ForwardRoute } from "../document";
import type { CacheScope, WeightsVersion } from "../ids";
import { computeSharedScope } from "../policy/cacheScope";

/** A version of a model's weights that was published for rollout. */
export interface PublishedWeights {
    readonly version: WeightsVersion;
    publishedAt: Millis;
    /** False when the version was found at the start of the process and `publishedAt` is an assumption. */
    isPublishTimeKnown: boolean;
}

export interface ForwardConfigurationTable {
    /** Undefined until a configuration was read. */
    document: ForwardDocument | undefined;
    readonly version: ConfigVersion;
    /** Scope of the cached parts of all requests but those of isolated accounts. */
    sharedScope: CacheScope;
    /** Published versions of each model that this process has seen, oldest first. */
    readonly weights: Map<ModelId, PublishedWeights[]>;
    /** Replaces the configuration and returns true if the given one is newer. */
    apply(document: ForwardDocument): boolean;
    /** Replaces the configuration by one of any version, where that in force has turned out to be damaged. */
    replace(document: ForwardDocument): void;
    findRoute(host: string, path: string): ForwardRoute | undefined;
    findAccount(key: KeyHash): ForwardAccount | undefined;
    getAccount(id: AccountId): ForwardAccount | undefined;
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
        sharedScope: computeSharedScope([]),
        weights: new Map<ModelId, PublishedWeights[]>(),
        apply: (document: ForwardDocument) => {
            if (table.document && document.version <= table.document.version) {
                return false;
            }
            table.replace(document);
            return true;
        },
        replace: (document: ForwardDocument) => {
            table.document = document;
            table.sharedScope = computeSharedScope(document.accounts.values());
            routesByHost.clear();
            accountsByKey.clear();
            for (const route of document.routes) {
                const routes = routesByHost.get(route.host);
                if (routes) {
                    routes.push(route);
                }
                else {
                    routesByHost.set(route.host, [route]);
                }
            }
            for (const routes of routesByHost.values()) {
                routes.sort((left, right) => right.prefix.length - left.prefix.length);
            }
            for (const account of document.accounts.values()) {
                for (const key of account.keys) {
                    accountsByKey.set(key, account);
                }
            }
        },
        findRoute: (host: string, path: string) => routesByHost.get(host)?.find(route => path.startsWith(route.prefix)),
        findAccount: (key: KeyHash) => accountsByKey.get(key),
        getAccount: (id: AccountId) => table.document?.accounts.get(id),
    };
    return table;
}

/** The newest published version of a model. */
export function getNewestWeights(table: ForwardConfigurationTable, model: ModelId): PublishedWeights | undefined {
    return table.weights.get(model)?.at(-1);
}

/** Inserts a published version in order; returns false if it is already known. */
export function addPublishedWeights(
    table: ForwardConfigurationTable,
    model: ModelId,
    published: PublishedWeights,
): boolean {
    const versions = table.weights.get(model) ?? [];
    if (versions.some(({ version }) => version === published.version)) {
        return false;
    }
    const next = versions.findIndex(({ version }) => version > published.version);
    versions.splice(next < 0 ? versions.length : next, 0, published);
    table.weights.set(model, versions);
    return true;
}

/** Records a version that a peer reported, with its earliest time of publication. Returns true for a new version. */
export function recordPublishTime(
    table: ForwardConfigurationTable,
    model: ModelId,
    { version, publishedAt }: Omit<PublishedWeights, "isPublishTimeKnown">,
): boolean {
    if (addPublishedWeights(table, model, { version, publishedAt, isPublishTimeKnown: true })) {
        return true;
    }
    const recorded = table.weights.get(model)?.find(published => published.version === version);
    if (recorded && (!recorded.isPublishTimeKnown || publishedAt < recorded.publishedAt)) {
        recorded.publishedAt = publishedAt;
        recorded.isPublishTimeKnown = true;
    }
    return false;
}

/** Time at which the first version after the given one was published; undefined when there is none. */
export function findOutdatedSince(
    table: ForwardConfigurationTable,
    model: ModelId,
    version: WeightsVersion,
): Millis | undefined {
    return table.weights.get(model)?.find(named => named.version > version)?.publishedAt;
}
