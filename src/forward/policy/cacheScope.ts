/**
 * Scopes of cached prompt parts. Engines and part stores find a part only under the salt under which it was made, and
 * keep it for as long as they have room, also after its account has been isolated.
 */
import { createHash } from "node:crypto";
import type { AccountId, RequestId } from "../../ids";
import type { ForwardAccount } from "../document";
import { type CacheSalt, type CacheScope, toCacheSalt, toCacheScope, type WeightsVersion } from "../ids";

/** 132 bits in base64url, which has no dot and only characters that a header may hold. */
const scopeLength = 22;

const computeDigest = (kind: "account" | "shared" | "request", names: readonly string[]): CacheScope =>
    toCacheScope(
        createHash("sha256").update(JSON.stringify([kind, ...names])).digest("base64url").slice(0, scopeLength),
    );

/** Lists the accounts that share no cached parts, in an order that does not depend on the configuration's. */
export const listIsolated = (accounts: Iterable<ForwardAccount>): readonly AccountId[] =>
    [...accounts].filter(({ isIsolated }) => isIsolated).map(({ id }) => id).sort();

/**
 * Computes the scope of the accounts that share cached parts. It follows from the set of isolated accounts alone, so
 * that all processes agree without a history, and no account ever makes parts in the scope of a set that contains it.
 *
 * @example
 * computeSharedScope([]); // "": no account is isolated
 */
export function computeSharedScope(accounts: Iterable<ForwardAccount>): CacheScope {
    const isolated = listIsolated(accounts);
    return isolated.length === 0 ? toCacheScope("") : computeDigest("shared", isolated);
}

/** Computes the scope of an isolated account, in which no other account makes parts. */
export const computeOwnScope = (account: AccountId): CacheScope => computeDigest("account", [account]);

/** Computes the scope of a single request within that of its account. */
export const computeRequestScope = (scope: CacheScope, request: RequestId): CacheScope =>
    computeDigest("request", [scope, request]);

/**
 * Formats the salt. Part stores keep parts across a change of weights, so their version is in it. The scope and the
 * version have no dots, so that no two models, versions and scopes give the same text.
 *
 * @example
 * formatSalt(toModelId("catalogue.large"), toWeightsVersion(2), toCacheScope("")); // "catalogue.large.2."
 */
export const formatSalt = (model: string, version: WeightsVersion | undefined, scope: CacheScope): CacheSalt =>
    toCacheSalt(`${model}.${version ?? ""}.${scope}`);
