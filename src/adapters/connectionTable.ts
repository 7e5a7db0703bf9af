/** Connections of clients: one row each, in the order of their last use, by listener and address. */
import type * as http from "node:http";
import type { Socket } from "node:net";
import type { ListenerKind } from "../policy/clientLimits";

/** Request with what starts its handling. */
export interface ClientRequest {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly start: () => void;
}

export interface ConnectionRow {
    readonly socket: Socket;
    readonly listener: ListenerKind;
    readonly address: string;
    /** Request that is handled. */
    current: ClientRequest | undefined;
    /** Pipelined requests behind it. */
    readonly waiting: ClientRequest[];
    hasAnswered: boolean;
    /** Bytes received up to the last whole head or answer; further ones belong to a head that is not complete. */
    countedBytes: number;
    /** Time since when the client has not taken all bytes of its answer. */
    unreadSince: number | undefined;
}

export interface ConnectionTable {
    readonly size: number;
    add(row: ConnectionRow): void;
    remove(row: ConnectionRow): void;
    get(socket: Socket): ConnectionRow | undefined;
    list(): Iterable<ConnectionRow>;
    /** Moves a row behind all others of its address. */
    recordUse(row: ConnectionRow): void;
    count(listener: ListenerKind): number;
    listOfAddress(listener: ListenerKind, address: string): ReadonlySet<ConnectionRow>;
    /** Rows of the address that has most connections to the listener. */
    listOfLargestAddress(listener: ListenerKind): ReadonlySet<ConnectionRow>;
}

const noRows: ReadonlySet<ConnectionRow> = new Set();

/** Creates an empty table. */
export function createConnectionTable(): ConnectionTable {
    const rows = new Map<Socket, ConnectionRow>();
    const addresses = new Map<ListenerKind, Map<string, Set<ConnectionRow>>>();
    const counts = new Map<ListenerKind, number>();

    const addCount = (listener: ListenerKind, change: number): void => {
        counts.set(listener, (counts.get(listener) ?? 0) + change);
    };

    return {
        get size() {
            return rows.size;
        },
        add: row => {
            const byAddress = addresses.get(row.listener) ?? new Map<string, Set<ConnectionRow>>();
            const group = byAddress.get(row.address) ?? new Set();
            rows.set(row.socket, row);
            addresses.set(row.listener, byAddress.set(row.address, group.add(row)));
            addCount(row.listener, 1);
        },
        remove: row => {
            if (!rows.delete(row.socket)) {
                return;
            }
            const byAddress = addresses.get(row.listener);
            const group = byAddress?.get(row.address);
            group?.delete(row);
            if (group?.size === 0) {
                byAddress?.delete(row.address);
            }
            addCount(row.listener, -1);
        },
        get: socket => rows.get(socket),
        list: () => rows.values(),
        recordUse: row => {
            const group = addresses.get(row.listener)?.get(row.address);
            if (group?.delete(row)) {
                group.add(row);
            }
        },
        count: listener => counts.get(listener) ?? 0,
        listOfAddress: (listener, address) => addresses.get(listener)?.get(address) ?? noRows,
        listOfLargestAddress: listener => {
            const groups = [...addresses.get(listener)?.values() ?? []];
            return groups.reduce((largest, group) => group.size > largest.size ? group : largest, noRows);
        },
    };
}
