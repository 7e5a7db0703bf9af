/** Splits a stream of server-sent events at the ends of its events, without changing its bytes. */

/** Holds the bytes of an event until its end arrives. */
export interface HeldBytes {
    /** Copies the bytes. Returns false, from then on, when they exceed what may be held. */
    add(chunk: Buffer): boolean;
    /** Returns the bytes and holds none. */
    take(): Buffer;
    release(): void;
}

/** Part of a stream that ends with a blank line. */
export interface StreamSegment {
    readonly bytes: Buffer;
    /** Numeric id of the event; undefined when it has none. */
    readonly id: number | undefined;
    /** False for comments, blank lines and other fields without an event. */
    readonly isEvent: boolean;
}

export interface EventSplitter {
    /** Adds a chunk and returns the segments that it completes. Its work grows with the chunk only. */
    add(chunk: Buffer): StreamSegment[];
    /** Number of bytes since the last segment. */
    readonly heldLength: number;
    /** True when the bytes since the last segment exceed what may be held; the splitter is of no use then. */
    readonly hasOverflowed: boolean;
    /** Returns the bytes since the last segment. */
    takeRemainder(): Buffer;
    /** Releases what is held; the stream is over. */
    release(): void;
}

export interface EventSplitterOptions {
    /** Creates the store of bytes that have to be held; the default has no bound. */
    readonly openHeldBytes?: () => HeldBytes;
}

const lineFeed = 0x0a;
const colon = 0x3a;
/** Bytes of a line that are read to find its field and a numeric id. */
const linePrefixLength = 32;

/** Holds any number of bytes. */
function openUnboundedBytes(): HeldBytes {
    let bytes: Buffer = Buffer.alloc(0);
    return {
        add: chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            return true;
        },
        take: () => {
            const taken = bytes;
            bytes = Buffer.alloc(0);
            return taken;
        },
        release: () => {
            bytes = Buffer.alloc(0);
        },
    };
}

const idPattern = /^id: ?(\d+)/;
const eventFieldPattern = /^(?:data|id)(?::|\r?$)/;

/**
 * Creates the splitter of one stream. What precedes the first event is part of its segment, so that nothing is relayed
 * before there is an event.
 *
 * @example
 * createEventSplitter().add(Buffer.from("id: 1\ndata: a\n\n")).length; // 1
 */
export function createEventSplitter({ openHeldBytes = openUnboundedBytes }: EventSplitterOptions = {}): EventSplitter {
    let held: HeldBytes | undefined;
    let heldLength = 0;
    let hasOverflowed = false;
    let hasEvent = false;
    /** Beginning of the line that has not ended, and its length so far. */
    let linePrefix = "";
    let lineLength = 0;
    /** Fields of the event that has not ended. */
    let id: number | undefined;
    let isEvent = false;

    function addHeld(chunk: Buffer): void {
        if (chunk.length > 0) {
            held ??= openHeldBytes();
            heldLength += chunk.length;
            hasOverflowed ||= !held.add(chunk);
        }
    }

    function removeHeld(): Buffer {
        const bytes = held?.take() ?? Buffer.alloc(0);
        held = undefined;
        heldLength = 0;
        return bytes;
    }

    function addSegment(segments: StreamSegment[], chunk: Buffer, segmentIsEvent: boolean): void {
        const bytes = heldLength > 0 ? Buffer.concat([removeHeld(), chunk]) : chunk;
        segments.push({ bytes, id: segmentIsEvent ? id : undefined, isEvent: segmentIsEvent });
        hasEvent ||= segmentIsEvent;
    }

    function recordLine(): void {
        if (linePrefix === "") {
            return;
        }
        const found = idPattern.exec(linePrefix)?.[1];
        id ??= found === undefined ? undefined : Number(found);
        isEvent ||= eventFieldPattern.test(linePrefix);
    }

    const isBlankLine = (): boolean => lineLength === 0 || (lineLength === 1 && linePrefix === "\r");

    function add(chunk: Buffer): StreamSegment[] {
        const segments: StreamSegment[] = [];
        let segmentStart = 0;
        /** End of what is complete without an event. */
        let blankEnd = 0;
        for (let lineStart = 0; lineStart < chunk.length;) {
            const found = chunk[lineStart] === lineFeed ? lineStart : chunk.indexOf(lineFeed, lineStart);
            const lineEnd = found < 0 ? chunk.length : found;
            const missing = Math.min(linePrefixLength - linePrefix.length, lineEnd - lineStart);
            // A comment needs no look at its text.
            const isComment = lineLength === 0 ? chunk[lineStart] === colon : linePrefix === "";
            if (missing > 0 && !isComment) {
                linePrefix += chunk.toString("latin1", lineStart, lineStart + missing);
            }
            lineLength += lineEnd - lineStart;
            if (found < 0) {
                break;
            }
            lineStart = lineEnd + 1;
            if (!isBlankLine()) {
                recordLine();
            }
            else if (isEvent) {
                addSegment(segments, chunk.subarray(segmentStart, lineStart), true);
                segmentStart = lineStart;
                id = undefined;
                isEvent = false;
            }
            else {
                blankEnd = lineStart;
                id = undefined;
            }
            linePrefix = "";
            lineLength = 0;
        }
        if (hasEvent && blankEnd > segmentStart) {
            addSegment(segments, chunk.subarray(segmentStart, blankEnd), false);
            segmentStart = blankEnd;
        }
        addHeld(chunk.subarray(segmentStart));
        return segments;
    }

    return {
        add,
        get heldLength() {
            return heldLength;
        },
        get hasOverflowed() {
            return hasOverflowed;
        },
        takeRemainder: removeHeld,
        release: () => {
            held?.release();
            held = undefined;
            heldLength = 0;
        },
    };
}
