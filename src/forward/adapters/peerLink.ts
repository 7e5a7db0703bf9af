/** tRPC server and client between the processes of the fleet. */
import { createTRPCClient, TRPCClientError, type TRPCLink } from "@trpc/client";
import { initTRPC, TRPCError } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import { Err, Ok } from "ts-results";
import { z } from "zod";
import { readBody, sendJson } from "../../adapters/callerServer";
import { createKeepAliveAgent, sendHttpCall } from "../../adapters/httpClient";
import { type CallId, toCallId } from "../../ids";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import type { PeerState } from "../peers";
import { startListening } from "./frontServer";

/** Timeout of a call, on both sides; a failed call is retried at the next exchange. */
const callTimeoutMs = 600;
/** Maximum size of a state in a request. */
const maxStateBytes = 4 * 1024 * 1024;

const tokenCounts = z.array(z.tuple([z.string(), z.number()])).max(4096);
const stateSchema = z.object({
    vm: z.string(),
    startedAt: z.number(),
    usage: tokenCounts,
    knownStart: z.number(),
    earlier: tokenCounts.optional(),
    named: z.array(z.tuple([z.string(), z.number(), z.number()])).max(1024),
    load: z.array(z.tuple([z.string(), z.number(), z.number()])).max(16384),
    partsHeard: z.number(),
    partsTold: z.number(),
    parts: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()])).max(16384)])).max(4096),
    crashes: z.array(
        z.tuple([z.string(), z.number(), z.boolean(), z.array(z.tuple([z.string(), z.number()])).max(1024)]),
    ).max(256).optional(),
    answered: tokenCounts.optional(),
    quarantined: z.array(z.tuple([z.string(), z.number(), z.number()])).max(1024).optional(),
    limits: z.array(z.tuple([z.string(), z.number(), z.number()])).max(16384).optional(),
    endedLimits: z.array(z.tuple([z.string(), z.number()])).max(16384).optional(),
    requests: tokenCounts.optional(),
});

interface PeerContext {
    /** Applies the caller's state and returns the state of this process. */
    readonly exchangeState: (state: PeerState) => Promise<PeerState>;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const peerRouter = router({
    exchange: procedure.input(stateSchema).mutation(({ ctx, input }) =>
        ctx.exchangeState(input as unknown as PeerState)
    ),
});

/**
 * Creates a tRPC link over `sendHttpCall`. The HTTP adapters of tRPC build fetch requests and responses for each call,
 * which takes more CPU time than the exchange itself.
 */
function createPeerCallLink(peer: string, agent: http.Agent): TRPCLink<typeof peerRouter> {
    return () => ({ op }) =>
        observable(observer => {
            sendHttpCall({
                method: "POST",
                address: peer,
                path: `/${op.path}`,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(op.input),
                timeoutMs: callTimeoutMs,
                agent,
            }).then(({ status, text }) => {
                if (status !== 200) {
                    throw new Error(`The peer responded with status ${status}.`);
                }
                observer.next({ result: { type: "data", data: JSON.parse(text) as unknown } });
                observer.complete();
            }).catch((error: unknown) => {
                observer.error(TRPCClientError.from(error instanceof Error ? error : new Error(String(error))));
            });
        });
}

type PeerClient = ReturnType<typeof createTRPCClient<typeof peerRouter>>;

export interface PeerLink {
    start(): Promise<void>;
    call(effect: ForwardEffectOf<"callPeer">): void;
    answer(effect: ForwardEffectOf<"answerPeer">): void;
    close(): void;
}

/** Creates the tRPC server and the clients of one process. */
export function createPeerLink(
    { address, post }: { readonly address: string; readonly post: (event: ForwardEvent) => void; },
): PeerLink {
    const pendingCalls = new Map<CallId, (state: PeerState) => void>();
    const agent = createKeepAliveAgent();
    const clients = new Map<string, PeerClient>();

    function requestOwnState(state: PeerState): Promise<PeerState> {
        return new Promise((resolve, reject) => {
            const call = toCallId(randomUUID());
            const timer = setTimeout(() => {
                pendingCalls.delete(call);
                reject(new Error("The peer's state was not ready within the timeout."));
            }, callTimeoutMs);
            pendingCalls.set(call, ownState => {
                clearTimeout(timer);
                pendingCalls.delete(call);
                resolve(ownState);
            });
            post({ kind: "peerCallReceived", call, state });
        });
    }

    const localCaller = peerRouter.createCaller({ exchangeState: requestOwnState });

    async function handleCall(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        let reply: { readonly status: number; readonly body: unknown; };
        try {
            const bytes = await readBody(request, maxStateBytes);
            const input: unknown = JSON.parse(bytes?.toString() ?? "");
            reply = { status: 200, body: await localCaller.exchange(input as never) };
        }
        catch (error) {
            const isBadRequest = error instanceof SyntaxError
                || (error instanceof TRPCError && error.code === "BAD_REQUEST");
            const message = error instanceof Error ? error.message : String(error);
            reply = { status: isBadRequest ? 400 : 504, body: { message } };
        }
        sendJson(response, reply.status, reply.body);
    }

    const server = http.createServer((request, response) => {
        void handleCall(request, response);
    });

    function createClient(peer: string): PeerClient {
        return createTRPCClient<typeof peerRouter>({ links: [createPeerCallLink(peer, agent)] });
    }

    function getClient(peer: string): PeerClient {
        const client = clients.get(peer) ?? createClient(peer);
        clients.set(peer, client);
        return client;
    }

    return {
        start: () => startListening(server, address),
        call: ({ vm, address: peer, state }) => {
            getClient(peer).exchange.mutate(state as never).then(
                peerState => {
                    post({ kind: "peerReplied", vm, result: Ok(peerState) });
                },
                (error: unknown) => {
                    const message = error instanceof Error ? error.message : String(error);
                    post({ kind: "peerReplied", vm, result: Err({ message }) });
                },
            );
        },
        answer: ({ call, state }) => {
            pendingCalls.get(call)?.(state);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
            agent.destroy();
        },
    };
}
