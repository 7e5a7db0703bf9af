/** Finds requests of this test process whose bodies their targets do not read. */
import * as diagnosticsChannel from "node:diagnostics_channel";
import type * as http from "node:http";
import { waitUntil } from "./platformFleet";

/** Longer than what the buffers of a connection take whose target does not read. */
export const uploadBytes = 8 * 1024 * 1024;

export interface StalledUploads {
    /**
     * Waits until the body of the request with this path fills the buffers of its connection, and runs the handler in the
     * turn of the event loop in which this was seen. What the handler writes and how it ends its connection therefore
     * reaches the sender of the body at once, and while it still writes.
     */
    runWhenStalled(path: string, handler: () => void): Promise<void>;
    /** Paths of the requests whose bodies wait to be written to an open connection. */
    listStalled(): readonly string[];
    close(): void;
}

/** Begins to follow the requests that this process sends with `node:http`. */
export function followStalledUploads(): StalledUploads {
    const requests: http.ClientRequest[] = [];
    const handleStart = (message: unknown): void => {
        requests.push((message as { readonly request: http.ClientRequest; }).request);
    };
    diagnosticsChannel.subscribe("http.client.request.start", handleStart);
    /** Connections are kept for further requests, so the last one counts. */
    const listStalled = (): readonly string[] => {
        const paths = new Map(requests.map(({ socket, path }) => [socket, path]));
        return [...paths].flatMap(([socket, path]) =>
            socket && !socket.destroyed && socket.writableLength > 0 ? [path] : []
        );
    };
    return {
        runWhenStalled: async (path, handler) => {
            await waitUntil(() => listStalled().includes(path));
            handler();
        },
        listStalled,
        close: () => {
            diagnosticsChannel.unsubscribe("http.client.request.start", handleStart);
        },
    };
}
