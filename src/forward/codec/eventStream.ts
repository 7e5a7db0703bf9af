/** Splits a stream of server-sent events into complete events without changing their bytes. */

export interface RawStreamEvent {
    /** Bytes of the event, including the blank line that ends it. */
    readonly bytes: Buffer;
    /** Numeric id of the event; undefined when it has none. */
    readonly id: number | undefined;
}

export interface EventStreamSplitter {
    /** Adds a chunk and returns the events that it completes. */
    add(chunk: Buffer): RawStreamEvent[];
    /** Bytes after the last complete event. */
    getRemainder(): Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Index after the blank line that ends the first event, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
    for (let index = bytes.indexOf(lineFeed, from); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}

const idPattern = /(?:^|\n)id: ?(\d+)/;

function parseId(bytes: Buffer): number | undefined {
    const found = idPattern.exec(bytes.toString("latin1"));
    return found?.[1] === undefined ? undefined : Number(found[1]);
}

/**
 * Creates a splitter for one stream.
 *
 * @example
 * createEventStreamSplitter().add(Buffer.from("id: 1\ndata: a\n\n")).length; // 1
 */
export function createEventStreamSplitter(): EventStreamSplitter {
    let remainder: Buffer = Buffer.alloc(0);
    return {
        add: chunk => {
            const events: RawStreamEvent[] = [];
            const scanFrom = Math.max(0, remainder.length - 2);
            remainder = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
            for (let end = findEventEnd(remainder, scanFrom); end > 0; end = findEventEnd(remainder, 0)) {
                const bytes = remainder.subarray(0, end);
                events.push({ bytes, id: parseId(bytes) });
                remainder = remainder.subarray(end);
            }
            return events;
        },
        getRemainder: () => remainder,
    };
}
