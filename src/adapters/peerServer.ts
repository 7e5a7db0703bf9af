/** tRPC server for peers. */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { randomUUID, timingSafeEqual } from "node:crypto";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import { type CallId, toCallId } from "../ids";
import type { PeerAnswer } from "../peers";
import type { FailureReporter } from "../runner";
import { createHttpServer, startListening } from "./httpServer";
import { peerRouter } from "./peerProtocol";

export interface PeerServerOptions {
    readonly listen: string;
    readonly fleetSecret: string;
    readonly post: (event: Event) => void;
    readonly reportFailure?: FailureReporter;
}

export interface PeerServer {
    start(): Promise<void>;
    answer(effect: EffectOf<"answerPeer">): void;
    stop(): void;
}

/** Calls that no system answers within this time fail. */
const answerTimeoutMs = 2000;

function isFleetSecret(header: string | undefined, secret: string): boolean {
    const receivedSecret = Buffer.from((header ?? "").replace(/^Bearer +/i, ""));
    const expectedSecret = Buffer.from(secret);
    return receivedSecret.length === expectedSecret.length && timingSafeEqual(receivedSecret, expectedSecret);
}

/** Creates the server for peers. */
export function createPeerServer({ listen, fleetSecret, post, reportFailure }: PeerServerOptions): PeerServer {
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
    const server = createHttpServer({ part: "peerServer", handle: handler, reportFailure, keepAliveTimeout: 30_000 });

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
