/** Requests whose caller is connected: their headers, body and the response, shared by both sides of the relay. */
import type * as http from "node:http";
import type { RequestId } from "../../ids";

export interface OpenForward {
    readonly id: RequestId;
    readonly attemptId: string;
    readonly method: string;
    /** Path with its query, as it came. */
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly response: http.ServerResponse;
}

export interface OpenForwards {
    get(id: RequestId): OpenForward | undefined;
    has(id: RequestId): boolean;
    add(open: OpenForward): void;
    remove(id: RequestId): void;
}

/** Creates an empty set of open requests. */
export function createOpenForwards(): OpenForwards {
    const rows = new Map<RequestId, OpenForward>();
    return {
        get: id => rows.get(id),
        has: id => rows.has(id),
        add: open => {
            rows.set(open.id, open);
        },
        remove: id => {
            rows.delete(id);
        },
    };
}
