/**
 * Stand-in for a plain service over HTTP, such as an order server or a ledger. It counts runs by Idempotency-Key and by
 * request id and does not deduplicate, so that repeated runs are visible.
 */
import type * as http from "node:http";
import type { Socket } from "node:net";
import { sendJson, type StandinCall, startStandinServer } from "./httpServer";

/** Faults that can be switched while the service runs. Each counter decreases with each request that it applies to. */
export interface ServiceFaults {
    /** Number of next requests that run and whose connections are closed without an answer. */
    loseAnswers: number;
    /** Number of next requests that run and are then answered with 503. */
    failAfterRun: number;
    /** Number of next requests that are refused with `x-not-run: 1` without running. */
    refuseBeforeRun: number;
    /** HTTP status of the refusals by `refuseBeforeRun`. */
    refuseStatus: number;
    /** Number of next requests that run and are never answered. */
    hangs: number;
    /** Closes a reused connection when another request arrives on it; that request does not run. */
    closeReused: boolean;
    /** Length of the filler in each answer, in bytes. */
    fillerBytes: number;
    /** Headers added to each answer. */
    answerHeaders: Readonly<Record<string, string>>;
}

/** Record of one request that the service received. */
export interface ServiceCall {
    readonly method: string;
    readonly path: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    readonly request: string;
    readonly idempotencyKey: string | undefined;
    /** Number of the connection, counted from 1. */
    readonly connection: number;
    hasRun: boolean;
    /** True when the connection closed before the whole answer was sent. */
    isCancelled: boolean;
}

export interface RunCounts {
    readonly total: number;
    readonly byKey: Readonly<Record<string, number>>;
    readonly byRequest: Readonly<Record<string, number>>;
}

export interface Service {
    readonly address: string;
    readonly faults: ServiceFaults;
    readonly calls: readonly ServiceCall[];
    getRunCounts(): RunCounts;
    stop(): Promise<void>;
}

type FaultName = "refuseBeforeRun" | "loseAnswers" | "failAfterRun" | "hangs";

function computeCounts(
    calls: readonly ServiceCall[],
    getName: (call: ServiceCall) => string | undefined,
): RunCounts["byKey"] {
    const counts: Record<string, number> = {};
    for (const call of calls) {
        const name = getName(call);
        if (name !== undefined) {
            counts[name] = (counts[name] ?? 0) + 1;
        }
    }
    return counts;
}

/** Starts a service on loopback. */
export async function startService({ port = 0 }: { readonly port?: number; } = {}): Promise<Service> {
    const faults: ServiceFaults = {
        loseAnswers: 0,
        failAfterRun: 0,
        refuseBeforeRun: 0,
        refuseStatus: 503,
        hangs: 0,
        closeReused: false,
        fillerBytes: 0,
        answerHeaders: {},
    };
    const calls: ServiceCall[] = [];
    const connections = new Map<Socket, { readonly number: number; requests: number; }>();

    function recordConnectionUse(socket: Socket): { readonly number: number; readonly requests: number; } {
        const connection = connections.get(socket) ?? { number: connections.size + 1, requests: 0 };
        connection.requests += 1;
        connections.set(socket, connection);
        return connection;
    }

    function runCall(call: ServiceCall): void {
        call.hasRun = true;
    }

    function sendAnswer(call: ServiceCall, response: http.ServerResponse): void {
        for (const [name, value] of Object.entries(faults.answerHeaders)) {
            response.setHeader(name, value);
        }
        sendJson(response, 200, { run: getRunCounts().total, path: call.path, filler: "x".repeat(faults.fillerBytes) });
    }

    const faultHandlers: { readonly [Name in FaultName]: (call: ServiceCall, response: http.ServerResponse) => void; } =
        {
            refuseBeforeRun: (_call, response) => {
                response.setHeader("x-not-run", "1");
                sendJson(response, faults.refuseStatus, { error: "Busy." });
            },
            loseAnswers: (call, response) => {
                runCall(call);
                response.destroy();
            },
            failAfterRun: (call, response) => {
                runCall(call);
                sendJson(response, 503, { error: "Failed after running." });
            },
            hangs: runCall,
        };

    function chooseFault(): FaultName | undefined {
        const names = Object.keys(faultHandlers) as FaultName[];
        const name = names.find(candidate => faults[candidate] > 0);
        if (name) {
            faults[name] -= 1;
        }
        return name;
    }

    function handleCall({ request, response, url, body }: StandinCall): void {
        const { number, requests } = recordConnectionUse(request.socket);
        const key = request.headers["idempotency-key"];
        const call: ServiceCall = {
            method: request.method ?? "",
            path: `${url.pathname}${url.search}`,
            headers: request.headers,
            body,
            request: String(request.headers["x-request-id"]),
            idempotencyKey: typeof key === "string" ? key : undefined,
            connection: number,
            hasRun: false,
            isCancelled: false,
        };
        calls.push(call);
        response.on("close", () => {
            call.isCancelled = !response.writableFinished;
        });
        if (faults.closeReused && requests > 1) {
            request.socket.destroy();
            return;
        }
        const fault = chooseFault();
        if (fault) {
            faultHandlers[fault](call, response);
            return;
        }
        runCall(call);
        sendAnswer(call, response);
    }

    function getRunCounts(): RunCounts {
        const runs = calls.filter(call => call.hasRun);
        return {
            total: runs.length,
            byKey: computeCounts(runs, call => call.idempotencyKey),
            byRequest: computeCounts(runs, call => call.request),
        };
    }

    const server = await startStandinServer({
        port,
        handlers: {
            "POST /control/faults": ({ response, body }) => {
                Object.assign(faults, JSON.parse(body));
                sendJson(response, 200, faults);
            },
            "GET /control/runs": ({ response }) => {
                sendJson(response, 200, getRunCounts());
            },
            "*": handleCall,
        },
    });
    return { address: server.address, faults, calls, getRunCounts, stop: server.stop };
}
