/** Changes of the store that this process passes on, calls of other processes for them, and where it reads itself. */
import type { CallId, Millis, VmId } from "../../ids";
import { unknownEra } from "../ids";
import type { StoreItem, StorePosition } from "../storeChanges";

/** Call of another process for changes after a position, which waits for one. */
export interface RelayCall {
    readonly call: CallId;
    readonly after: StorePosition;
    readonly answerAt: Millis;
}

export interface StoreHistory {
    /** Revision after which all changes of the era are kept; undefined before the first read of the store. */
    readonly startRevision: number | undefined;
    /** Position up to which the changes reach. */
    readonly position: StorePosition;
    /** Forgets all changes; those after the position are added from now on. */
    restart(position: StorePosition): void;
    /**
     * Adds changes of the era in which the history was started; others are ignored. A change whose value is too long to be
     * passed on ends the history before it: who is further behind reads the store in any case.
     */
    add(items: readonly StoreItem[], position: StorePosition): void;
    /** Changes of the era after the given revision, oldest first. */
    listAfter(revision: number): readonly StoreItem[];
}

export interface StoreRelayTable {
    readonly history: StoreHistory;
    readonly calls: Map<CallId, RelayCall>;
    /** Readers that have failed this process, with the time until which they are not asked again. */
    readonly failedUntil: Map<VmId, Millis>;
    /** Live processes that read the store, as of the given revision of the members. */
    readers: { readonly membersRevision: number; readonly vms: readonly VmId[]; } | undefined;
    /** Reader from which this process gets changes; undefined while it reads the store itself. */
    source: VmId | undefined;
    /** Shortest time from the store's last confirmation to the writing of its answer. */
    heldMs: number;
    /** True while a large answer of the store arrives, and until its contents are confirmed as up to date. */
    isAnswerArriving: boolean;
    /** Timing that was last requested of the store's reader; empty before the first request. */
    requestedSource: string;
}

/** Changes that are kept for other processes; a process that is further behind reads the store. */
const maxKeptItems = 2048;
/** Length of their keys and values. Rows of members, orders and targets have a few hundred bytes. */
const maxKeptLength = 2 * 1024 * 1024;
/** A reader would send a longer value to dozens of processes over its link. */
const maxKeptValueLength = 8192;

/** Length of the keys and values of changes. */
export const computeLength = (items: readonly StoreItem[]): number =>
    items.reduce((sum, { key, value = "" }) => sum + key.length + value.length, 0);
const isTooLong = ({ value = "" }: StoreItem): boolean => value.length > maxKeptValueLength;

/** Creates a history without changes. */
export function createStoreHistory(): StoreHistory {
    let startRevision: number | undefined;
    let era = unknownEra;
    let revision = 0;
    let items: StoreItem[] = [];
    let keptLength = 0;

    /** All changes of one revision are removed together, since readers continue after a revision. */
    function removeUpTo(lastRevision: number): void {
        startRevision = lastRevision;
        items = items.filter(item => item.revision > lastRevision);
        keptLength = computeLength(items);
    }

    /** Revision up to which changes exceed the bounds; undefined when none do. */
    function findExcess(): number | undefined {
        let length = keptLength;
        let count = items.length;
        let lastRevision: number | undefined;
        for (const item of items) {
            if (count <= maxKeptItems && length <= maxKeptLength) {
                break;
            }
            length -= computeLength([item]);
            count -= 1;
            lastRevision = item.revision;
        }
        return lastRevision;
    }

    return {
        get startRevision() {
            return startRevision;
        },
        get position() {
            return { era, revision };
        },
        restart: position => {
            era = position.era;
            startRevision = position.revision;
            revision = position.revision;
            items = [];
            keptLength = 0;
        },
        add: (added, position) => {
            if (position.era !== era) {
                return;
            }
            const newItems = added.filter(item => item.revision > revision);
            items.push(...newItems);
            keptLength += computeLength(newItems);
            revision = Math.max(revision, position.revision);
            const lastTooLong = newItems.findLast(isTooLong);
            if (lastTooLong) {
                removeUpTo(lastTooLong.revision);
            }
            const lastExcess = findExcess();
            if (lastExcess !== undefined) {
                removeUpTo(lastExcess);
            }
        },
        listAfter: after => items.filter(item => item.revision > after),
    };
}

/** Creates an empty table. */
export const createStoreRelayTable = (): StoreRelayTable => ({
    history: createStoreHistory(),
    calls: new Map(),
    failedUntil: new Map(),
    readers: undefined,
    source: undefined,
    heldMs: 0,
    isAnswerArriving: false,
    requestedSource: "",
});
