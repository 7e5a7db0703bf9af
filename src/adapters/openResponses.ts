/** Responses that have not ended, and early ends of them that their callers can tell from proper ends. */
import type * as http from "node:http";
import type { FailureReporter } from "../runner";
import { createListenerGuard, type ListenerGuard } from "./listenerGuard";

/**
 * Time without progress on a caller's connection after which it is reset. A reset discards what the connection has not
 * taken yet, and on some systems what the caller has not read yet; a caller that keeps up has read everything by then.
 */
const resetDelayMs = 50;

export interface OpenResponsesOptions {
    readonly reportFailure?: FailureReporter | undefined;
}

export interface OpenResponses {
    add(response: http.ServerResponse): void;
    /** Ends a response that is not complete so that its caller can tell. */
    endIncomplete(response: http.ServerResponse): void;
    /** Resets the connections whose close at the end of the process would look like the end of their responses. */
    endAll(): void;
}

/** True when the caller takes an orderly close of its connection for the end of the response. */
export const isEndedByConnection = ({ headersSent, chunkedEncoding }: http.ServerResponse): boolean =>
    headersSent && !chunkedEncoding;

function closeWithReset({ socket }: http.ServerResponse): void {
    if (socket && !socket.destroyed) {
        socket.resetAndDestroy();
    }
}

/**
 * Creates the open responses of one server.
 *
 * @example
 * const openResponses = createOpenResponses({ reportFailure });
 * openResponses.add(response);
 * openResponses.endIncomplete(response); // the caller sees a reset, or a missing last chunk
 */
export function createOpenResponses({ reportFailure }: OpenResponsesOptions = {}): OpenResponses {
    const responses = new Set<http.ServerResponse>();

    const createGuard = (response: http.ServerResponse): ListenerGuard =>
        createListenerGuard({ part: "openResponses", end: () => response.destroy(), reportFailure });

    return {
        add: response => {
            responses.add(response);
            response.on("close", createGuard(response)(() => responses.delete(response)));
        },
        endIncomplete: response => {
            if (!isEndedByConnection(response)) {
                // A missing last chunk shows the break.
                response.destroy();
                return;
            }
            const handleTimeout = (): void => {
                closeWithReset(response);
            };
            response.setTimeout(resetDelayMs, createGuard(response)(handleTimeout));
        },
        endAll: () => {
            for (const response of responses) {
                if (isEndedByConnection(response)) {
                    createGuard(response)(closeWithReset)(response);
                }
            }
        },
    };
}
