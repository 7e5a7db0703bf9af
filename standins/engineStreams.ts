/** Event streams of the engine stand-in: the log of generated events and its delivery to connections. */
import type * as http from "node:http";

export interface StreamLog {
    readonly events: string[];
    isDone: boolean;
    readonly listeners: Set<() => void>;
}

interface StreamOptions {
    /** Number of the last event that the caller received. */
    readonly after: number;
    /** Number of events after which the connection is closed; 0 means never. */
    readonly breakAfter: number;
    /** Number of the event that is left out; 0 means none. */
    readonly skipAt: number;
}

/** Sends the events of a stream that follow `after`, and new ones as they are generated. */
export function sendStream(
    response: http.ServerResponse,
    log: StreamLog,
    { after, breakAfter, skipAt: firstSkip }: StreamOptions,
): void {
    let next = after;
    let skipAt = firstSkip;
    response.writeHead(200, { "content-type": "text/event-stream" });
    const sendNewEvents = (): void => {
        while (next < log.events.length && !response.destroyed) {
            const data = log.events[next] ?? "";
            next += 1;
            if (next === skipAt) {
                skipAt = -1;
                continue;
            }
            response.write(`id: ${next}\ndata: ${data}\n\n`);
            if (breakAfter > 0 && next - after >= breakAfter) {
                response.destroy();
            }
        }
        if (log.isDone && next >= log.events.length && !response.destroyed) {
            response.end();
        }
    };
    log.listeners.add(sendNewEvents);
    response.on("close", () => {
        log.listeners.delete(sendNewEvents);
    });
    sendNewEvents();
}
