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
import { openListener } from "./frontServer";

/** A peer that does not answer within this time is asked again at the next exchange. */
const callTimeoutMs = 600;
/** Longest state that is read. */
const maxStateBytes = 4 * 1024 * 1024;

const numbers = z.array(z.tuple([z.string(), z.number()])).max(4096);
const stateSchema = z.object({
    vm: z.string(),
    startedAt: z.number(),
    usage: numbers,
    knownStart: z.number(),
    earlier: numbers.optional(),
    named: z.array(z.tuple([z.string(), z.number(), z.number()])).max(1024),
    load: z.array(z.tuple([z.string(), z.number(), z.number()])).max(16384),
    partsHeard: z.number(),
    partsTold: z.number(),
    parts: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()])).max(16384)])).max(4096),
});

interface PeerContext {
    readonly ask: (state: PeerState) => Promise<PeerState>;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const peerRouter = router({
    exchange: procedure.input(stateSchema).mutation(({ ctx, input }) => ctx.ask(input as unknown as PeerState)),
});

/**
 * Link over the product's own HTTP client. The HTTP adapters of tRPC build fetch requests and answers for each call,
 * which costs more processor time than the exchange itself.
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
                    throw new Error(`The peer answered ${status}.`);
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

    function waitForAnswer(state: PeerState): Promise<PeerState> {
        return new Promise((resolve, reject) => {
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
        });
    }

    const caller = peerRouter.createCaller({ ask: waitForAnswer });

    async function handleCall(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        let answer: { readonly status: number; readonly body: unknown; };
        try {
            const bytes = await readBody(request, maxStateBytes);
            const input: unknown = JSON.parse(bytes?.toString() ?? "");
            answer = { status: 200, body: await caller.exchange(input as never) };
        }
        catch (error) {
            const isWrong = error instanceof SyntaxError
                || (error instanceof TRPCError && error.code === "BAD_REQUEST");
            const message = error instanceof Error ? error.message : String(error);
            answer = { status: isWrong ? 400 : 504, body: { message } };
        }
        sendJson(response, answer.status, answer.body);
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
