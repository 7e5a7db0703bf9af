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
    close(): void;
}

/** Begins to follow the requests that this process sends with `node:http`. */
export function followStalledUploads(): StalledUploads {
    const requests: http.ClientRequest[] = [];
    const handleStart = (message: unknown): void => {
        requests.push((message as { readonly request: http.ClientRequest; }).request);
    };
    diagnosticsChannel.subscribe("http.client.request.start", handleStart);
    return {
        runWhenStalled: async (path, handler) => {
            const isStalled = (): boolean =>
                requests.some(({ path: requestPath, socket }) =>
                    requestPath === path && socket !== null && socket.writableLength > 0
                );
            await waitUntil(isStalled);
            handler();
        },
        close: () => {
            diagnosticsChannel.unsubscribe("http.client.request.start", handleStart);
        },
    };
}
