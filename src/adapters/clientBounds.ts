/** Bounds what the clients of all listeners can make a process hold. */
import type * as http from "node:http";
import type { Socket } from "node:net";
import { type ClientLimits, computeClientLimits, type ListenerKind } from "../policy/clientLimits";
import { chooseClosedConnection, type ConnectionView } from "../policy/connectionChoice";
import type { FailureReporter } from "../runner";
import { type AnswerRoom, createAnswerRoom } from "./answerRoom";
import type { ClientFault, ClientReporter } from "./clientReports";
import { type ClientRequest, type ConnectionRow, type ConnectionTable, createConnectionTable } from "./connectionTable";
import { createListenerGuard, handleUnreportedFailure, type ListenerGuard } from "./listenerGuard";
import { createRequestBodies, type RequestBodies } from "./requestBodies";
import { subscribeToSlices } from "./slicedReads";

export type RequestStarter = (request: http.IncomingMessage, response: http.ServerResponse) => void;

export interface ClientBounds {
    readonly limits: ClientLimits;
    readonly bodies: RequestBodies;
    readonly answers: AnswerRoom;
    /** Applies the bounds to a server that does not listen yet. Requests of one connection start one after the other. */
    followServer(server: http.Server, listener: ListenerKind, start: RequestStarter): void;
}

export interface ClientBoundsOptions {
    readonly limits?: ClientLimits;
    /** Called for each closed connection and each discarded body; the default does nothing. */
    readonly report?: ClientReporter;
    /** The default throws the error again, so that a test sees it. */
    readonly reportFailure?: FailureReporter;
}

/** Interval at which unread answers and unparsed requests are added up. */
const sweepMs = 250;

const toConnectionView = ({ current, hasAnswered, socket }: ConnectionRow): ConnectionView => ({
    isBusy: current !== undefined,
    hasAnswered,
    isReadingBody: current !== undefined && !current.request.complete,
    hasUnread: socket.writableLength > 0,
});

/** Closes connections that hold too many bytes, in the order of the list, until the rest is within the bound. */
function closeUntilWithin(
    held: readonly { readonly row: ConnectionRow; readonly bytes: number; }[],
    maxBytes: number,
    close: (row: ConnectionRow) => void,
): void {
    let total = held.reduce((sum, { bytes }) => sum + bytes, 0);
    for (const { row, bytes } of held) {
        if (total <= maxBytes) {
            return;
        }
        total -= bytes;
        close(row);
    }
}

/** Closes the connections whose answers have waited longest. A single answer may be larger than the bound. */
function closeUnread(table: ConnectionTable, maxBytes: number, close: (row: ConnectionRow) => void): void {
    const now = performance.now();
    const unread: { row: ConnectionRow; bytes: number; since: number; }[] = [];
    for (const row of table.list()) {
        const bytes = row.socket.writableLength;
        row.unreadSince = bytes > 0 ? row.unreadSince ?? now : undefined;
        if (row.unreadSince !== undefined) {
            unread.push({ row, bytes, since: row.unreadSince });
        }
    }
    const total = unread.reduce((sum, { bytes }) => sum + bytes, 0);
    if (total > maxBytes && unread.length > 1) {
        unread.sort((left, right) => left.since - right.since);
        const [newest] = unread.slice(-1);
        closeUntilWithin(unread.slice(0, -1), Math.max(0, maxBytes - (newest?.bytes ?? 0)), close);
    }
}

/**
 * Closes the oldest connections with bytes of requests that have not been reported: of a head that is not complete, or
 * behind requests that wait.
 */
function closeUnparsed(table: ConnectionTable, maxBytes: number, close: (row: ConnectionRow) => void): void {
    const unparsed = [...table.list()].flatMap(row => {
        const { socket, current, countedBytes } = row;
        const bytes = current ? socket.readableLength : socket.bytesRead - countedBytes;
        return bytes > 0 ? [{ row, bytes }] : [];
    });
    closeUntilWithin(unparsed, maxBytes, close);
}

/**
 * Creates the bounds of a process, which all its listeners share.
 *
 * @example
 * const clients = createClientBounds({ limits: computeClientLimits(settings.clients), report });
 * const server = createHttpServer({ part: "readiness", listener: "readiness", clients, handle });
 */
export function createClientBounds(
    {
        limits = computeClientLimits(),
        report = () => undefined,
        reportFailure = handleUnreportedFailure,
    }: ClientBoundsOptions = {},
): ClientBounds {
    const createGuard = (socket?: Socket): ListenerGuard =>
        createListenerGuard({ part: "clientBounds", end: () => socket?.destroy(), reportFailure });
    const table = createConnectionTable();
    let waitingRequests = 0;
    let isSweeping = false;

    function closeRow(row: ConnectionRow, fault: ClientFault): void {
        if (!row.socket.destroyed) {
            report(row.listener, fault);
            row.socket.destroy();
        }
    }

    const checkUnread = (): void => {
        closeUnread(table, limits.unreadBytes, row => {
            closeRow(row, "unread_answers");
        });
    };

    function scheduleSweep(): void {
        if (isSweeping || table.size === 0) {
            return;
        }
        isSweeping = true;
        const checkHeldBytes = (): void => {
            checkUnread();
            closeUnparsed(table, limits.unparsedBytes, row => {
                closeRow(row, "unparsed_bytes");
            });
        };
        setTimeout(() => {
            isSweeping = false;
            createGuard()(checkHeldBytes)();
            scheduleSweep();
        }, sweepMs).unref();
    }

    function removeRow(row: ConnectionRow): void {
        table.remove(row);
        waitingRequests -= row.waiting.length;
        row.waiting.length = 0;
    }

    /** Closes connections until the listener is within its limits; the newest one if no other may be closed. */
    function closeExcess(newest: ConnectionRow): void {
        const { listener, address } = newest;
        const { total, perAddress } = limits.connections[listener];
        const ofAddress = table.listOfAddress(listener, address);
        const candidates = ofAddress.size > perAddress
            ? ofAddress
            : (table.count(listener) > total ? table.listOfLargestAddress(listener) : undefined);
        if (candidates) {
            const closed = chooseClosedConnection(candidates, toConnectionView) ?? newest;
            closeRow(closed, "too_many_connections");
            removeRow(closed);
        }
    }

    function addConnection(socket: Socket, listener: ListenerKind): void {
        const row: ConnectionRow = {
            socket,
            listener,
            address: socket.remoteAddress ?? "",
            current: undefined,
            waiting: [],
            hasAnswered: false,
            countedBytes: 0,
            unreadSince: undefined,
        };
        const guard = createGuard(socket);
        const handleClose = (): void => {
            removeRow(row);
        };
        table.add(row);
        socket.once("close", guard(handleClose));
        subscribeToSlices(socket, {
            isBlocked: () => row.waiting.length > 0,
            getReading: () => {
                const request = row.waiting.length === 0 ? row.current?.request : undefined;
                return request?.complete === false ? request : undefined;
            },
        });
        closeExcess(row);
        scheduleSweep();
    }

    function startRequest(row: ConnectionRow, next: ClientRequest): void {
        const guard = createGuard(row.socket);
        const handleEnd = (): void => {
            if (row.socket.writableLength > 0) {
                checkUnread();
            }
        };
        const handleClose = (): void => {
            row.current = undefined;
            row.hasAnswered = true;
            row.countedBytes = row.socket.bytesRead;
            table.recordUse(row);
            startWaiting(row);
        };
        row.current = next;
        // "prefinish" comes as soon as the whole answer has been handed to the connection.
        next.response.once("prefinish", guard(handleEnd));
        next.response.once("close", guard(handleClose));
        next.start();
    }

    function startWaiting(row: ConnectionRow): void {
        const next = row.socket.destroyed ? undefined : row.waiting.shift();
        if (!next) {
            return;
        }
        waitingRequests -= 1;
        startRequest(row, next);
        if (row.waiting.length === 0) {
            row.socket.resume();
        }
    }

    function addRequest(row: ConnectionRow, added: ClientRequest): void {
        row.countedBytes = row.socket.bytesRead;
        if (!row.current) {
            startRequest(row, added);
            return;
        }
        if (row.waiting.length >= limits.waitingPerConnection || waitingRequests >= limits.waitingRequests) {
            closeRow(row, "too_many_requests");
            return;
        }
        row.waiting.push(added);
        waitingRequests += 1;
        // Nothing more is read from the connection until the requests that wait have been started.
        row.socket.pause();
    }

    /** Closes a connection that has made no progress, unless it waits for this process. */
    function handleTimeout(socket: Socket): void {
        const row = table.get(socket);
        if (!row?.current) {
            // Node's own answer to the end of the time for which an idle connection is kept.
            socket.destroy();
            return;
        }
        if (socket.writableLength > 0 || (row.waiting.length === 0 && !row.current.request.complete)) {
            closeRow(row, "stalled");
            return;
        }
        socket.setTimeout(limits.stallMs);
    }

    return {
        limits,
        answers: createAnswerRoom({ maxTotalBytes: limits.unreadBytes, reportFailure }),
        bodies: createRequestBodies({
            maxTotalBytes: limits.bodyBytes,
            reportFailure,
            onDiscarded: () => {
                report("callers", "discarded_body");
            },
        }),
        followServer: (server, listener, start) => {
            const guard = createGuard();
            const addStarted = (
                request: http.IncomingMessage,
                response: http.ServerResponse,
                startOne: RequestStarter,
            ): void => {
                const row = table.get(request.socket);
                if (row && !row.socket.destroyed) {
                    const startRow = (): void => {
                        startOne(request, response);
                    };
                    addRequest(row, { request, response, start: startRow });
                }
            };
            const handleConnection = (socket: Socket): void => {
                createGuard(socket)(addConnection)(socket, listener);
            };
            const handleRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
                createGuard(request.socket)(addStarted)(request, response, start);
            };
            const handleContinue = (request: http.IncomingMessage, response: http.ServerResponse): void => {
                createGuard(request.socket)(addStarted)(request, response, () => {
                    response.writeContinue();
                    start(request, response);
                });
            };
            const handleExpectation = (request: http.IncomingMessage, response: http.ServerResponse): void => {
                createGuard(request.socket)(addStarted)(request, response, () => {
                    response.writeHead(417).end();
                });
            };
            server.timeout = limits.stallMs;
            server.on("timeout", guard(handleTimeout));
            server.on("connection", guard(handleConnection));
            server.on("request", guard(handleRequest));
            server.on("checkContinue", guard(handleContinue));
            server.on("checkExpectation", guard(handleExpectation));
        },
    };
}
