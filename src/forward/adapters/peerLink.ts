/** tRPC server and client between the processes of the fleet. */
import { createTRPCClient, TRPCClientError, type TRPCLink } from "@trpc/client";
import { initTRPC, TRPCError } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { randomUUID } from "node:crypto";
import type * as http from "node:http";
import { Err, Ok } from "ts-results";
import { z } from "zod";
import { type ClientBounds, createClientBounds } from "../../adapters/clientBounds";
import { createKeepAliveAgent, sendHttpCall } from "../../adapters/httpClient";
import { createHttpServer, readBoundedBody, sendJson, startListening } from "../../adapters/httpServer";
import { BodyDiscardedError } from "../../adapters/requestBodies";
import { type CallId, toCallId } from "../../ids";
import type { FailureReporter } from "../../runner";
import {
    copyAnswerSchema,
    decodeCopyAnswer,
    decodeRelayAnswer,
    encodeCopyAnswer,
    encodeRelayAnswer,
    relayAnswerSchema,
    stateSchema,
} from "../codec/peerMessages";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import { toStoreEra, unknownEra } from "../ids";
import type { PeerState } from "../peers";
import type { RequestChanges, RequestCopy } from "../ports";
import type { CopyAnswer, RelayAnswer, StorePosition } from "../storeChanges";

/** Timeout of a call, on both sides, and longest pause within an answer; a failed call is retried at the next exchange. */
const callTimeoutMs = 600;
/** Maximum size of a state in a request. */
const maxStateBytes = 4 * 1024 * 1024;

/** Time-out of a call for changes of the store, on both sides; the answer waits for a change for up to a second. */
const changesTimeoutMs = 1500;
/** Time-out of a call for a configuration, on both sides; the answer waits for one for up to a second. */
const copyTimeoutMs = 1600;

interface PeerContext {
    /** Applies the caller's state and returns the state of this process. */
    readonly exchangeState: (state: PeerState) => Promise<PeerState>;
    /** Waits for changes of the store after the position. */
    readonly waitForChanges: (after: StorePosition) => Promise<RelayAnswer>;
    /** Waits for a configuration after the position. */
    readonly waitForCopy: (after: StorePosition) => Promise<CopyAnswer>;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const peerRouter = router({
    exchange: procedure.input(stateSchema).mutation(({ ctx, input }) =>
        ctx.exchangeState(input as unknown as PeerState)
    ),
    changes: procedure.input(z.object({ after: z.number(), era: z.number().default(unknownEra) })).query((
        { ctx, input },
    ) => ctx.waitForChanges({ era: toStoreEra(input.era), revision: input.after }).then(encodeRelayAnswer)),
    configuration: procedure.input(z.object({ after: z.number(), era: z.number() })).query(({ ctx, input }) =>
        ctx.waitForCopy({ era: toStoreEra(input.era), revision: input.after }).then(encodeCopyAnswer)
    ),
});

type PeerProcedure = keyof typeof peerRouter["_def"]["procedures"];

const timeoutsMs: { readonly [Name in PeerProcedure]: number; } = {
    exchange: callTimeoutMs,
    changes: changesTimeoutMs,
    configuration: copyTimeoutMs,
};
const isPeerProcedure = (name: string): name is PeerProcedure => Object.hasOwn(timeoutsMs, name);

interface PendingAnswers<Answer> {
    /** Posts the event of a call and resolves with its answer; rejects after the time-out. */
    wait(postCall: (call: CallId) => void): Promise<Answer>;
    answer(call: CallId, answer: Answer): void;
}

/** Calls of other processes that the systems have not answered yet. */
function createPendingAnswers<Answer>(timeoutMs: number): PendingAnswers<Answer> {
    const pending = new Map<CallId, (answer: Answer) => void>();
    return {
        wait: postCall =>
            new Promise((resolve, reject) => {
                const call = toCallId(randomUUID());
                const timer = setTimeout(() => {
                    pending.delete(call);
                    reject(new Error("The answer was not ready within the timeout."));
                }, timeoutMs);
                pending.set(call, answer => {
                    clearTimeout(timer);
                    pending.delete(call);
                    resolve(answer);
                });
                postCall(call);
            }),
        answer: (call, answer) => {
            pending.get(call)?.(answer);
        },
    };
}

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
                timeoutMs: isPeerProcedure(op.path) ? timeoutsMs[op.path] : callTimeoutMs,
                silenceMs: callTimeoutMs,
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
    readonly requestChanges: RequestChanges;
    answerRelayCall(effect: ForwardEffectOf<"answerRelayCall">): void;
    readonly requestCopy: RequestCopy;
    answerCopyCall(effect: ForwardEffectOf<"answerCopyCall">): void;
    close(): void;
}

export interface PeerLinkOptions {
    /** IP:PORT of this process. */
    readonly address: string;
    readonly post: (event: ForwardEvent) => void;
    /** The default are bounds of this listener alone. */
    readonly clientBounds?: ClientBounds;
    readonly reportFailure?: FailureReporter;
}

/** Creates the tRPC server and the clients of one process. */
export function createPeerLink(
    { address, post, clientBounds = createClientBounds(), reportFailure }: PeerLinkOptions,
): PeerLink {
    const pendingStates = createPendingAnswers<PeerState>(timeoutsMs.exchange);
    const pendingChanges = createPendingAnswers<RelayAnswer>(timeoutsMs.changes);
    const pendingCopies = createPendingAnswers<CopyAnswer>(timeoutsMs.configuration);
    const agent = createKeepAliveAgent();
    const clients = new Map<string, PeerClient>();

    const localCaller = peerRouter.createCaller({
        exchangeState: state =>
            pendingStates.wait(call => {
                post({ kind: "peerCallReceived", call, state });
            }),
        waitForChanges: after =>
            pendingChanges.wait(call => {
                post({ kind: "relayCallReceived", call, after });
            }),
        waitForCopy: after =>
            pendingCopies.wait(call => {
                post({ kind: "copyCallReceived", call, after });
            }),
    });

    async function handleCall(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        let reply: { readonly status: number; readonly body: unknown; };
        try {
            const name = request.url?.slice(1) ?? "";
            const bytes = await readBoundedBody(clientBounds, request, response, maxStateBytes);
            const input: unknown = JSON.parse(bytes?.toString() ?? "");
            reply = isPeerProcedure(name)
                ? { status: 200, body: await localCaller[name](input as never) }
                : { status: 404, body: { message: "There is no such procedure." } };
        }
        catch (error) {
            if (error instanceof BodyDiscardedError) {
                throw error;
            }
            const isBadRequest = error instanceof SyntaxError
                || (error instanceof TRPCError && error.code === "BAD_REQUEST");
            const message = error instanceof Error ? error.message : String(error);
            reply = { status: isBadRequest ? 400 : 504, body: { message } };
        }
        sendJson(response, reply.status, reply.body);
    }

    const server = createHttpServer({
        part: "peerLink",
        listener: "peers",
        clients: clientBounds,
        handle: handleCall,
        reportFailure,
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
            pendingStates.answer(call, state);
        },
        requestChanges: async (peer, after) => {
            const { era, revision } = after;
            const answer = relayAnswerSchema.safeParse(await getClient(peer).changes.query({ after: revision, era }));
            if (!answer.success) {
                throw new Error("The answer of the store reader is invalid.");
            }
            return decodeRelayAnswer(answer.data, era);
        },
        answerRelayCall: ({ call, answer }) => {
            pendingChanges.answer(call, answer);
        },
        requestCopy: async (peer, { era, revision }) => {
            const answer = copyAnswerSchema.safeParse(
                await getClient(peer).configuration.query({ after: revision, era }),
            );
            if (!answer.success) {
                throw new Error("The answer to a call for a configuration is invalid.");
            }
            return decodeCopyAnswer(answer.data);
        },
        answerCopyCall: ({ call, answer }) => {
            pendingCopies.answer(call, answer);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
            agent.destroy();
        },
    };
}
