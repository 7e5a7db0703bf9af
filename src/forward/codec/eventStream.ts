/** Cuts a stream of server-sent events into whole events without changing their bytes. */

export interface RawEvent {
    /** Bytes of the event with the blank line that ends it. */
    readonly bytes: Buffer;
    /** Number in the event's id field; undefined when it has none. */
    readonly id: number | undefined;
}

export interface EventCutter {
    /** Adds bytes and returns the events that they complete. */
    add(chunk: Buffer): RawEvent[];
    /** Bytes after the last whole event. */
    getRest(): Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Index behind the blank line that ends the first event, or -1. */
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
 * Creates a cutter for one stream.
 *
 * @example
 * createEventCutter().add(Buffer.from("id: 1\ndata: a\n\n")).length; // 1
 */
export function createEventCutter(): EventCutter {
    let rest: Buffer = Buffer.alloc(0);
    return {
        add: chunk => {
            const events: RawEvent[] = [];
            const scanFrom = Math.max(0, rest.length - 2);
            rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            for (let end = findEventEnd(rest, scanFrom); end > 0; end = findEventEnd(rest, 0)) {
                const bytes = rest.subarray(0, end);
                events.push({ bytes, id: parseId(bytes) });
                rest = rest.subarray(end);
            }
            return events;
        },
        getRest: () => rest,
    };
}
