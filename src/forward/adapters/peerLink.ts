/** tRPC server and client between the processes of the fleet. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import { Err, Ok } from "ts-results";
import { z } from "zod";
import { createKeepAliveAgent, sendHttpCall } from "../../adapters/httpClient";
import { type CallId, toCallId } from "../../ids";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import type { PeerState } from "../peers";
import { openListener } from "./frontServer";

/** A peer that does not answer within this time is asked again at the next exchange. */
const callTimeoutMs = 600;

const numbers = z.array(z.tuple([z.string(), z.number()])).max(4096);
const stateSchema = z.object({
    vm: z.string(),
    startedAt: z.number(),
    usage: numbers,
    knownStart: z.number(),
    earlier: numbers.optional(),
    named: z.array(z.tuple([z.string(), z.number(), z.number()])).max(1024),
    load: z.array(z.tuple([z.string(), z.number(), z.number()])).max(16384),
});

interface PeerContext {
    readonly ask: (state: PeerState) => Promise<PeerState>;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const peerRouter = router({
    exchange: procedure.input(stateSchema).mutation(({ ctx, input }) => ctx.ask(input as unknown as PeerState)),
});

type PeerClient = ReturnType<typeof createTRPCClient<typeof peerRouter>>;

export interface PeerLink {
    start(): Promise<void>;
    ask(effect: ForwardEffectOf<"askPeer">): void;
    answer(effect: ForwardEffectOf<"answerPeer">): void;
    close(): void;
}

/** Creates both sides of the link of one process. */
export function createPeerLink(
    { address, post }: { readonly address: string; readonly post: (event: ForwardEvent) => void; },
): PeerLink {
    const waiting = new Map<CallId, (state: PeerState) => void>();
    const agent = createKeepAliveAgent();
    const clients = new Map<string, PeerClient>();

    const handler = createHTTPHandler({
        router: peerRouter,
        createContext: () => ({
            ask: state =>
                new Promise<PeerState>((resolve, reject) => {
                    const call = toCallId(randomUUID());
                    const timer = setTimeout(() => {
                        waiting.delete(call);
                        reject(new Error("No answer in time."));
                    }, callTimeoutMs);
                    waiting.set(call, own => {
                        clearTimeout(timer);
                        waiting.delete(call);
                        resolve(own);
                    });
                    post({ kind: "peerAsked", call, state });
                }),
        }),
    });
    const server = http.createServer(handler);

    function createClient(peer: string): PeerClient {
        return createTRPCClient<typeof peerRouter>({
            links: [httpLink({
                url: `http://${peer}`,
                fetch: async (input, init) => {
                    const url = new URL(String(input));
                    const answer = await sendHttpCall({
                        method: init?.method ?? "GET",
                        address: peer,
                        path: `${url.pathname}${url.search}`,
                        headers: init?.headers as Record<string, string>,
                        body: String(init?.body ?? ""),
                        timeoutMs: callTimeoutMs,
                        agent,
                    });
                    return new Response(answer.text, { status: answer.status });
                },
            })],
        });
    }

    function getClient(peer: string): PeerClient {
        const client = clients.get(peer) ?? createClient(peer);
        clients.set(peer, client);
        return client;
    }

    return {
        start: () => openListener(server, address),
        ask: ({ vm, address: peer, state }) => {
            getClient(peer).exchange.mutate(state as never).then(
                answer => {
                    post({ kind: "peerReplied", vm, result: Ok(answer) });
                },
                (error: unknown) => {
                    const message = error instanceof Error ? error.message : String(error);
                    post({ kind: "peerReplied", vm, result: Err({ message }) });
                },
            );
        },
        answer: ({ call, state }) => {
            waiting.get(call)?.(state);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
            agent.destroy();
        },
    };
}
