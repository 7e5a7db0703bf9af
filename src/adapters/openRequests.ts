/** Open requests with their response and body, shared by the server for callers and the client for targets. */
import type * as http from "node:http";
import type { DecodedCompletion } from "../codec/openai";
import type { RequestId } from "../ids";

export interface OpenRequest {
    readonly id: RequestId;
    readonly response: http.ServerResponse;
    readonly headers: http.IncomingHttpHeaders;
    /** Body as received, for plain services. */
    readonly body: Buffer;
    /** Decoded body of a completion. */
    readonly completion: DecodedCompletion | undefined;
    /** Route name that replaces the engine's model name in answers. */
    readonly routeName: string;
    readonly isStream: boolean;
}

export interface OpenRequests {
    readonly size: number;
    get(id: RequestId): OpenRequest | undefined;
    add(request: OpenRequest): void;
    remove(id: RequestId): void;
    list(): readonly OpenRequest[];
}

/** Creates an empty set of open requests. */
export function createOpenRequests(): OpenRequests {
    const rows = new Map<RequestId, OpenRequest>();
    return {
        get size() {
            return rows.size;
        },
        get: id => rows.get(id),
        add: request => {
            rows.set(request.id, request);
        },
        remove: id => {
            rows.delete(id);
        },
        list: () => [...rows.values()],
    };
}
