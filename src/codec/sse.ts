/** Server-sent events: an incremental parser and an encoder. */
import { createEventSplitter, type EventSplitterOptions, type StreamSegment } from "./eventSplitter";

export interface ServerSentEvent {
    readonly id: string | undefined;
    readonly event: string | undefined;
    readonly data: string;
}

export interface EventParser {
    /** Adds bytes of the stream and returns the events that are now complete. */
    add(chunk: Buffer): ServerSentEvent[];
    /** True when an incomplete event exceeds what may be held. */
    readonly hasOverflowed: boolean;
}

function parseEvent(text: string): ServerSentEvent | undefined {
    let id: string | undefined;
    let event: string | undefined;
    const data: string[] = [];
    for (const line of text.split("\n")) {
        const colon = line.indexOf(":");
        if (colon <= 0) {
            continue;
        }
        const field = line.slice(0, colon);
        const value = line.slice(line[colon + 1] === " " ? colon + 2 : colon + 1);
        if (field === "data") {
            data.push(value);
        }
        else if (field === "id") {
            id = value;
        }
        else if (field === "event") {
            event = value;
        }
    }
    return data.length > 0 ? { id, event, data: data.join("\n") } : undefined;
}

/** Decodes the event of a segment; undefined when it has no data. */
export const decodeEvent = ({ bytes }: StreamSegment): ServerSentEvent | undefined =>
    parseEvent(bytes.toString("utf8").replaceAll("\r\n", "\n"));

/** Creates a parser for one stream of server-sent events. */
export function createEventParser(options: EventSplitterOptions = {}): EventParser {
    const splitter = createEventSplitter(options);
    return {
        add: chunk =>
            splitter.add(chunk).filter(({ isEvent }) => isEvent).map(decodeEvent).filter(event => event !== undefined),
        get hasOverflowed() {
            return splitter.hasOverflowed;
        },
    };
}

/**
 * Encodes one event.
 *
 * @example
 * encodeEvent({ id: "1", event: undefined, data: "{}" }); // "id: 1\ndata: {}\n\n"
 */
export function encodeEvent({ id, event, data }: ServerSentEvent): string {
    const fields = `${id === undefined ? "" : `id: ${id}\n`}${event === undefined ? "" : `event: ${event}\n`}`;
    return `${fields}${data.split("\n").map(line => `data: ${line}\n`).join("")}\n`;
}
