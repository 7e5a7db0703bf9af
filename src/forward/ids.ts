/** Branded ids of the forwarding mode, beside those of `src/ids.ts`. */
import type { Branded } from "../ids";

/** A group of targets that serve the same requests. */
export type ServiceId = Branded<string, "ServiceId">;
/** Version of a model's weights; the first is 1. */
export type WeightsVersion = Branded<number, "WeightsVersion">;
/** Id that the caller gives one part of a prompt. */
export type PartId = Branded<string, "PartId">;
/** Namespace of cached parts on an engine; requests with different salts share no cached parts. */
export type CacheSalt = Branded<string, "CacheSalt">;
/** Group of requests that may share cached parts; a part of the salt. */
export type CacheScope = Branded<string, "CacheScope">;
/** Key of a cached part: salt and part id. */
export type CachedPartKey = Branded<string, "CachedPartKey">;

/** Registered name of a target, which it may keep when it starts again. */
export type TargetName = Branded<string, "TargetName">;

/** Number of times that the store has come back from an older copy; a revision identifies nothing without it. */
export type StoreEra = Branded<number, "StoreEra">;

/** Hash of a value of the store, by which two copies of it are compared. */
export type Fingerprint = Branded<string, "Fingerprint">;

export const toServiceId = (value: string): ServiceId => value as ServiceId;
export const toWeightsVersion = (value: number): WeightsVersion => value as WeightsVersion;
export const toPartId = (value: string): PartId => value as PartId;
export const toTargetName = (value: string): TargetName => value as TargetName;
export const toStoreEra = (value: number): StoreEra => value as StoreEra;
/** Era of processes that know no eras and of stores that name none. */
export const unknownEra: StoreEra = toStoreEra(0);
export const toCacheSalt = (value: string): CacheSalt => value as CacheSalt;
export const toCacheScope = (value: string): CacheScope => value as CacheScope;
export const toCachedPartKey = (salt: CacheSalt, part: PartId): CachedPartKey => `${salt}/${part}` as CachedPartKey;

/** Version of the software of a service's servers. */
export type ServerVersion = Branded<string, "ServerVersion">;
/** Revision of the store at which an order for a service rollout was written. */
export type OrderRevision = Branded<number, "OrderRevision">;

export const toFingerprint = (value: string): Fingerprint => value as Fingerprint;
export const toServerVersion = (value: string): ServerVersion => value as ServerVersion;
export const toOrderRevision = (value: number): OrderRevision => value as OrderRevision;
