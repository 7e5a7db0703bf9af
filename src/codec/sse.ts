/** Server-sent events: an incremental parser and an encoder. */

export interface ServerSentEvent {
    readonly id: string | undefined;
    readonly event: string | undefined;
    readonly data: string;
}

export interface EventParser {
    /** Adds bytes of the stream and returns the events that are now complete. */
    add(chunk: Uint8Array): ServerSentEvent[];
    /** Length of the incomplete event at the end, in UTF-16 code units. */
    getPendingLength(): number;
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

/** Creates a parser for one stream of server-sent events. */
export function createEventParser(): EventParser {
    const decoder = new TextDecoder();
    let pending = "";
    return {
        add: chunk => {
            pending += decoder.decode(chunk, { stream: true }).replaceAll("\r\n", "\n");
            const eventTexts = pending.split("\n\n");
            pending = eventTexts.pop() ?? "";
            return eventTexts.map(parseEvent).filter(event => event !== undefined);
        },
        getPendingLength: () => pending.length,
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
