/** Bounds the bytes of all request bodies that a process holds, while they are read and until they are answered. */
import type * as http from "node:http";
import type { FailureReporter } from "../runner";
import { createListenerGuard } from "./listenerGuard";

export interface BodyRoom {
    /** Counts received bytes. Throws once the body was discarded to make room for others, or has no room itself. */
    add(bytes: number): void;
    /** Called when the whole body has arrived; from then on it is not discarded. */
    endReading(): void;
}

export interface RequestBody {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    /** Maximum length of this body. */
    readonly maxBytes: number;
    /** Called when the body is discarded. */
    readonly onDiscarded: () => void;
}

export interface RequestBodies {
    /**
     * Opens the room of a body; it is released when the response closes. Throws if the body announces more than there is
     * room for.
     */
    open(body: RequestBody): BodyRoom;
}

/** Thrown when there is no room for a body. Its request has not run. */
export class BodyDiscardedError extends Error {
    constructor() {
        super("The bodies of all requests take too much memory.");
        this.name = "BodyDiscardedError";
    }
}

/** Bodies up to this size always have room: the bound of connections is one for them as well. */
const maxKeptBytes = 16 * 1024;
/** Time without progress after which a body is discarded when another one needs the room. */
const idleMs = 1000;

interface RoomRow {
    /** Announced length, or the received bytes if they are more. */
    bytes: number;
    receivedBytes: number;
    progressedAt: number;
    isDiscarded: boolean;
    readonly onDiscarded: () => void;
}

export interface RequestBodiesOptions {
    readonly maxTotalBytes: number;
    /** Called for each body that was discarded or refused. */
    readonly onDiscarded?: () => void;
    readonly reportFailure?: FailureReporter;
    /** Clock in milliseconds, for tests. */
    readonly getNow?: () => number;
}

/**
 * Creates the bodies of a process. Beyond the bound, a body that makes no progress is discarded, otherwise the one that
 * needs more room.
 *
 * @example
 * const room = createRequestBodies({ maxTotalBytes: 1024 * 1024 }).open({ request, response, maxBytes: 1024, onDiscarded });
 * room.add(100);
 */
export function createRequestBodies(
    { maxTotalBytes, onDiscarded: handleDiscard = () => undefined, reportFailure, getNow = () => performance.now() }:
        RequestBodiesOptions,
): RequestBodies {
    const guard = createListenerGuard({ part: "requestBodies", end: () => undefined, reportFailure });
    const reading = new Set<RoomRow>();
    let totalBytes = 0;

    function updateBytes(row: RoomRow, bytes: number): void {
        totalBytes += bytes - row.bytes;
        row.bytes = bytes;
    }

    function release(row: RoomRow): void {
        reading.delete(row);
        updateBytes(row, 0);
    }

    function removeBody(row: RoomRow): void {
        release(row);
        row.isDiscarded = true;
        row.onDiscarded();
        handleDiscard();
    }

    function findIdle(except: RoomRow): RoomRow | undefined {
        const idleSince = getNow() - idleMs;
        for (const row of reading) {
            if (row !== except && row.bytes > maxKeptBytes && row.progressedAt <= idleSince) {
                return row;
            }
        }
        return undefined;
    }

    function acquireRoom(row: RoomRow): void {
        while (totalBytes > maxTotalBytes && row.bytes > maxKeptBytes && !row.isDiscarded) {
            removeBody(findIdle(row) ?? row);
        }
        if (row.isDiscarded) {
            throw new BodyDiscardedError();
        }
    }

    return {
        open: ({ request, response, maxBytes, onDiscarded }) => {
            const row = { bytes: 0, receivedBytes: 0, progressedAt: getNow(), isDiscarded: false, onDiscarded };
            reading.add(row);
            const handleClose = (): void => {
                release(row);
            };
            response.once("close", guard(handleClose));
            updateBytes(row, Math.min(maxBytes, Number(request.headers["content-length"] ?? 0)));
            acquireRoom(row);
            return {
                add: bytes => {
                    row.receivedBytes += bytes;
                    row.progressedAt = getNow();
                    if (!row.isDiscarded) {
                        updateBytes(row, Math.max(row.bytes, row.receivedBytes));
                    }
                    acquireRoom(row);
                },
                endReading: () => {
                    reading.delete(row);
                },
            };
        },
    };
}
