/**
 * A configuration document in the terms of both modes. Each mode has a translator into this view, so that a check is
 * written once. Rows keep their order and their duplicates, which the processes' own tables do not.
 */
import type { AccountId, Branded, ConfigVersion, KeyHash, RouteId } from "../ids";
import type { Place } from "./finding";

/** What a route can name: a plain service, an engine service, or a version of a model. */
export type DestinationId = Branded<string, "DestinationId">;

export const toDestinationId = (value: string): DestinationId => value as DestinationId;

/** Fields of rows that findings point to; `FieldNames` gives their names in the file. */
export type Field =
    | "host"
    | "prefix"
    | "timeoutMs"
    | "latencyObjectiveMs"
    | "priority"
    | "maxTargets"
    | "isOpen"
    | "isResumable"
    | "accounts"
    | "weight"
    | "rate"
    | "burst"
    | "requestTokens"
    | "memoryTokens"
    | "maxBodyBytes"
    | "headerTimeoutMs"
    | "idleTimeoutMs"
    | "version";

export type FieldNames = Readonly<Partial<Record<Field, string>>>;

interface Row {
    readonly place: Place;
    /** Fields that no check reads, as JSON; a difference in them is reported as one. */
    readonly other: string;
}

export interface DestinationRow {
    readonly id: DestinationId;
    readonly place: Place;
    readonly weight: number;
}

export interface RouteRow extends Row {
    readonly id: RouteId;
    /** Undefined where callers name the route itself. */
    readonly match: { readonly host: string; readonly prefix: string; } | undefined;
    readonly kind: "repeatable" | "single" | "stream";
    readonly destinations: readonly DestinationRow[];
    /** Accounts that may use the route; all when undefined. */
    readonly accounts: readonly AccountId[] | undefined;
    readonly timeoutMs?: number;
    readonly latencyObjectiveMs?: number;
    /** 0 is the most urgent. */
    readonly priority?: number;
    readonly maxTargets?: number;
    readonly isOpen: boolean;
    readonly isResumable: boolean;
    /** Tokens that a call needs at least. */
    readonly callTokens?: number;
}

/** A destination that the document offers to routes. */
export interface ServiceRow extends Row {
    readonly id: DestinationId;
    /** True for a part store, which is used without a route. */
    readonly isPartStore: boolean;
    readonly memoryTokens?: number;
    /** Tokens that its engines can compute in a second; undefined where the document does not tell. */
    readonly tokensPerSecond?: number;
}

export interface AccountRow extends Row {
    readonly id: AccountId;
    /** As in the file; the modes order it differently. */
    readonly priority: number;
    /** Greater values are more urgent. */
    readonly urgency: number;
    /** Tokens a second; Infinity for no limit. */
    readonly rate: number;
    readonly burst: number;
    readonly isIsolated: boolean;
    readonly requestTokens?: number;
}

export interface KeyRow {
    readonly hash: KeyHash;
    readonly account: AccountId;
    readonly label: string;
    readonly place: Place;
    /** False for a text that no request can carry as its key. */
    readonly isUsable: boolean;
}

/** Rows whose fields are compared only as a whole. */
export interface NamedRow extends Row {
    readonly id: string;
}

export interface ConfigView {
    readonly names: FieldNames;
    /** Undefined where the store counts the versions. */
    readonly version: ConfigVersion | undefined;
    readonly routes: readonly RouteRow[];
    readonly services: readonly ServiceRow[];
    readonly accounts: readonly AccountRow[];
    readonly keys: readonly KeyRow[];
    /** False when requests need no key at all. */
    readonly needsKeys: boolean;
    /** True when a request that needs more tokens than its account's burst is never admitted. */
    readonly limitsRequestsToBurst: boolean;
    /** False when targets register themselves, also for services that the document does not define. */
    readonly listsTargets: boolean;
    readonly models: readonly (NamedRow & { readonly isUsed: boolean; })[];
    readonly targets: readonly NamedRow[];
    readonly operators: readonly NamedRow[];
    readonly callerLimits: Readonly<Partial<Record<"maxBodyBytes" | "headerTimeoutMs" | "idleTimeoutMs", number>>>;
    readonly callerLimitsPlace: Place;
    /** Values that the processes' reading code drops, with the reason. */
    readonly ignored: readonly { readonly place: Place; readonly reason: string; }[];
}

/** Place of a field of a row; the row itself when the file has no such field. */
export function getFieldPlace({ names }: ConfigView, row: Place, field: Field): Place {
    const name = names[field];
    return name === undefined ? row : [...row, name];
}
