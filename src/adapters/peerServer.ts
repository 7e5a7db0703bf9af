/** tRPC server for peers. */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { randomUUID, timingSafeEqual } from "node:crypto";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import { type CallId, toCallId } from "../ids";
import type { PeerAnswer } from "../peers";
import type { FailureReporter } from "../runner";
import type { ClientBounds } from "./clientBounds";
import { createHttpServer, readBoundedBody, type RequestHandler, startListening } from "./httpServer";
import { peerRouter } from "./peerProtocol";

export interface PeerServerOptions {
    readonly listen: string;
    readonly fleetSecret: string;
    readonly post: (event: Event) => void;
    readonly clients: ClientBounds;
    readonly reportFailure?: FailureReporter;
}

export interface PeerServer {
    start(): Promise<void>;
    answer(effect: EffectOf<"answerPeer">): void;
    stop(): void;
}

/** Calls that no system answers within this time fail. */
const answerTimeoutMs = 2000;

/** Maximum size of a call; an exchange takes a few kilobytes. */
const maxBodyBytes = 4 * 1024 * 1024;

function isFleetSecret(header: string | undefined, secret: string): boolean {
    const receivedSecret = Buffer.from((header ?? "").replace(/^Bearer +/i, ""));
    const expectedSecret = Buffer.from(secret);
    return receivedSecret.length === expectedSecret.length && timingSafeEqual(receivedSecret, expectedSecret);
}

/** Creates the server for peers. */
export function createPeerServer(
    { listen, fleetSecret, post, clients, reportFailure }: PeerServerOptions,
): PeerServer {
    const pendingCalls = new Map<CallId, (answer: PeerAnswer) => void>();

    const handler = createHTTPHandler({
        router: peerRouter,
        createContext: ({ req }) => ({
            isAuthenticated: isFleetSecret(req.headers.authorization, fleetSecret),
            handleRequest: request =>
                new Promise<PeerAnswer>((resolve, reject) => {
                    const call = toCallId(randomUUID());
                    const timer = setTimeout(() => {
                        pendingCalls.delete(call);
                        reject(new Error("No answer in time."));
                    }, answerTimeoutMs);
                    pendingCalls.set(call, answer => {
                        clearTimeout(timer);
                        resolve(answer);
                    });
                    post({ kind: "peerCallReceived", call, request });
                }),
        }),
    });

    /** Reads the body before the adapter of tRPC, which has no bound for all bodies together. */
    const handleCall: RequestHandler = async (request, response) => {
        const body = await readBoundedBody(clients, request, response, maxBodyBytes);
        if (!body) {
            response.writeHead(413, { connection: "close" }).end();
            return;
        }
        handler(Object.assign(request, { body: body.toString() }), response);
    };

    const server = createHttpServer({
        part: "peerServer",
        listener: "peers",
        clients,
        handle: handleCall,
        reportFailure,
        keepAliveTimeout: 30_000,
    });

    return {
        start: () => startListening(server, listen),
        answer: ({ call, answer }) => {
            pendingCalls.get(call)?.(answer);
            pendingCalls.delete(call);
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
