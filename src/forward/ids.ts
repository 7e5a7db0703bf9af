/** Branded ids of the forwarding mode, beside those of `src/ids.ts`. */
import type { Branded } from "../ids";

/** A group of targets that serve the same requests. */
export type ServiceId = Branded<string, "ServiceId">;
/** Version of a model's weights; counts up from 1. */
export type WeightsVersion = Branded<number, "WeightsVersion">;
/** One part of a prompt, named by the caller. */
export type PartId = Branded<string, "PartId">;
/** Text under which an engine caches parts; requests under different salts share nothing. */
export type CacheSalt = Branded<string, "CacheSalt">;
/** A part under a salt. */
export type CachedPartKey = Branded<string, "CachedPartKey">;

export const toServiceId = (value: string): ServiceId => value as ServiceId;
export const toWeightsVersion = (value: number): WeightsVersion => value as WeightsVersion;
export const toPartId = (value: string): PartId => value as PartId;
export const toCacheSalt = (value: string): CacheSalt => value as CacheSalt;
export const toCachedPartKey = (salt: CacheSalt, part: PartId): CachedPartKey => `${salt}/${part}` as CachedPartKey;
