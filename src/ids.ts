/**
 * Branded ids. Each id is a plain string, number or bigint at run time; the brand prevents mixing up ids of different
 * entities at compile time.
 */
declare const brand: unique symbol;

export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name; };

/** One request of a caller on one VM, with all its attempts. */
export type RequestId = Branded<string, "RequestId">;
/** A client account. */
export type AccountId = Branded<string, "AccountId">;
/** Hexadecimal SHA-256 of a caller's or operator's key. The key itself is never stored. */
export type KeyHash = Branded<string, "KeyHash">;
export type RouteId = Branded<string, "RouteId">;
/** Destination of requests: an engine or an instance of a plain service. */
export type TargetId = Branded<string, "TargetId">;
export type VmId = Branded<string, "VmId">;
export type DataCentreId = Branded<string, "DataCentreId">;
/** One run of a process; a restart creates a new incarnation. */
export type Incarnation = Branded<string, "Incarnation">;
export type ModelId = Branded<string, "ModelId">;
export type ModelVersion = Branded<string, "ModelVersion">;
/** Hash of a prompt prefix together with client account, model and version. */
export type PrefixId = Branded<bigint, "PrefixId">;
/** Store key of an idempotency claim. */
export type ClaimId = Branded<string, "ClaimId">;
/** Version of the configuration document, incremented by one with each committed change. */
export type ConfigVersion = Branded<number, "ConfigVersion">;
/** Store revision that orders the successive holders of a role. */
export type FencingToken = Branded<number, "FencingToken">;
/** One order to an engine. */
export type OrderId = Branded<string, "OrderId">;
/** Grant of tokens by a bucket owner, or the owner's own reservations from its bucket. Unique over all owners. */
export type GrantId = Branded<string, "GrantId">;
/** Pending call of a peer, operator or caller. */
export type CallId = Branded<string, "CallId">;
/** Lease id of the platform's store. */
export type LeaseId = Branded<string, "LeaseId">;
/** Monotonic time of this process in milliseconds. */
export type Millis = Branded<number, "Millis">;

export const toRequestId = (value: string): RequestId => value as RequestId;
export const toAccountId = (value: string): AccountId => value as AccountId;
export const toKeyHash = (value: string): KeyHash => value as KeyHash;
export const toTargetId = (value: string): TargetId => value as TargetId;
export const toVmId = (value: string): VmId => value as VmId;
export const toDataCentreId = (value: string): DataCentreId => value as DataCentreId;
export const toIncarnation = (value: string): Incarnation => value as Incarnation;
export const toModelId = (value: string): ModelId => value as ModelId;
export const toModelVersion = (value: string): ModelVersion => value as ModelVersion;
export const toPrefixId = (value: bigint): PrefixId => value as PrefixId;
export const toClaimId = (value: string): ClaimId => value as ClaimId;
export const toConfigVersion = (value: number): ConfigVersion => value as ConfigVersion;
export const toFencingToken = (value: number): FencingToken => value as FencingToken;
export const toOrderId = (value: string): OrderId => value as OrderId;
export const toGrantId = (value: string): GrantId => value as GrantId;
export const toCallId = (value: string): CallId => value as CallId;
export const toLeaseId = (value: string): LeaseId => value as LeaseId;
export const toMillis = (value: number): Millis => value as Millis;

/** Adds a duration in milliseconds to a monotonic time. */
export const addMillis = (time: Millis, duration: number): Millis => (time + duration) as Millis;
