/** Requests whose caller is connected: headers, body and response, shared by the front server and the client. */
import type * as http from "node:http";
import type { RequestId } from "../../ids";

export interface OpenForwardRequest {
    readonly id: RequestId;
    readonly attemptId: string;
    readonly method: string;
    /** Path with its query, as received. */
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly response: http.ServerResponse;
}

export interface OpenForwardRequests {
    get(id: RequestId): OpenForwardRequest | undefined;
    has(id: RequestId): boolean;
    add(request: OpenForwardRequest): void;
    remove(id: RequestId): void;
}

/** Creates an empty set of open requests. */
export function createOpenForwardRequests(): OpenForwardRequests {
    const rows = new Map<RequestId, OpenForwardRequest>();
    return {
        get: id => rows.get(id),
        has: id => rows.has(id),
        add: request => {
            rows.set(request.id, request);
        },
        remove: id => {
            rows.delete(id);
        },
    };
}
