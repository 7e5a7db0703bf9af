/** Changes of the store as one process passes them on to others. */
import type { Fingerprint, StoreEra } from "./ids";

/** Point in the history of the store. Revisions of two eras can't be compared. */
export interface StorePosition {
    readonly era: StoreEra;
    readonly revision: number;
}

/** Revisions of one era that fencing tokens can tell apart; a store of 1,000 writes a second takes 50 days for them. */
const revisionsPerEra = 2 ** 32;

/**
 * Fencing token of a row that was created at the position. Tokens grow from era to era, as engines may have seen tokens
 * of an era whose revisions are given out again.
 */
export const computeFencingToken = ({ era, revision }: StorePosition): number => era * revisionsPerEra + revision;

/** True when the first position is not before the second one. */
export const isAtOrAfter = (position: StorePosition, other: StorePosition): boolean =>
    position.era === other.era ? position.revision >= other.revision : position.era > other.era;

/** True when the first position is after the second one. */
export const isAfter = (position: StorePosition, other: StorePosition): boolean => !isAtOrAfter(other, position);

/** A key of the store as it was written, or its removal. */
export interface StoreItem {
    readonly key: string;
    /** Value in the encoding of the store; undefined for a deleted key. */
    readonly value: string | undefined;
    /** Revision at which the key was created. */
    readonly createRevision: number;
    /** Revision of this change. */
    readonly revision: number;
}

/** Changes that a store reader passes on, with the age of what it knows. */
export interface RelayedChanges {
    readonly items: readonly StoreItem[];
    /** Position in the store's history up to which the changes reach. */
    readonly position: StorePosition;
    /** Milliseconds since the store last confirmed the reader's state. */
    readonly confirmedAgeMs: number;
    /** Milliseconds for which the store has answered the reader without interruption. */
    readonly reachableMs: number;
    /** Milliseconds for which rows that vanished may still return; absent or 0 when no outage has ended lately. */
    readonly rowsMayReturnMs?: number | undefined;
}

/** `not_a_reader`: the process does not read the store itself; `outdated`: the store has not answered it for too long. */
export type RelayFault = "not_a_reader" | "outdated";

/**
 * Answer of a store reader. With `readStore`, the reader is sound but the changes have to be read from the store: they
 * are too large to be passed on, or the reader does not have all of them.
 */
export type RelayAnswer =
    | { readonly kind: "changes"; readonly changes: RelayedChanges; }
    | { readonly kind: "readStore"; }
    | { readonly kind: "unavailable"; readonly reason: RelayFault; };

/** A configuration as one process hands it on to another. */
export interface ConfigurationCopy {
    /** Key of the value. */
    readonly key: string;
    /** Era of the store, and revision of the value. */
    readonly position: StorePosition;
    /** Fingerprint of the value as the store sends it. */
    readonly fingerprint: Fingerprint;
    /** Compressed value; undefined when it is too long to be handed on. */
    readonly packed: string | undefined;
}

/** A copy on its way, whose value is present. The receiver knows the key. */
export type PackedCopy = Omit<ConfigurationCopy, "key"> & { readonly packed: string; };

/** Answer to a call for a newer configuration. */
export type CopyAnswer = { readonly kind: "copy"; readonly copy: PackedCopy; } | { readonly kind: "absent"; };
