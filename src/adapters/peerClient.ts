/** tRPC client for peers, on Node's `http`. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { Err, Ok } from "ts-results";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import type { PeerAnswer, PeerMessageKind } from "../peers";
import { createKeepAliveAgent, sendHttpCall } from "./httpClient";
import type { PeerRouter } from "./peerProtocol";

const timeoutMs = 1000;

export interface PeerClient {
    call(effect: EffectOf<"callPeer">): void;
    close(): void;
}

type Client = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** Creates the client for peers. */
export function createPeerClient(
    { fleetSecret, post }: { readonly fleetSecret: string; readonly post: (event: Event) => void; },
): PeerClient {
    const agent = createKeepAliveAgent();
    const clients = new Map<string, Client>();

    function createClient(address: string): Client {
        return createTRPCClient<PeerRouter>({
            links: [httpLink({
                url: `http://${address}`,
                headers: { authorization: `Bearer ${fleetSecret}` },
                fetch: async (input, init) => {
                    const url = new URL(String(input));
                    const answer = await sendHttpCall({
                        method: init?.method ?? "GET",
                        address,
                        path: `${url.pathname}${url.search}`,
                        headers: init?.headers as Record<string, string>,
                        body: String(init?.body ?? ""),
                        timeoutMs,
                        agent,
                    });
                    return new Response(answer.text, { status: answer.status });
                },
            })],
        });
    }

    function getClient(address: string): Client {
        const client = clients.get(address) ?? createClient(address);
        clients.set(address, client);
        return client;
    }

    async function sendRequest({ address, request }: EffectOf<"callPeer">): Promise<PeerAnswer> {
        const procedures = getClient(address) as unknown as Record<
            PeerMessageKind,
            { mutate: (body: unknown) => Promise<unknown>; }
        >;
        const body = await procedures[request.kind].mutate(request.body);
        return { kind: request.kind, body } as PeerAnswer;
    }

    return {
        call: effect => {
            const { purpose, address } = effect;
            sendRequest(effect).then(
                answer => {
                    post({ kind: "peerReplied", purpose, address, result: Ok(answer) });
                },
                (error: unknown) => {
                    const message = error instanceof Error ? error.message : "The call failed.";
                    post({ kind: "peerReplied", purpose, address, result: Err({ message }) });
                },
            );
        },
        close: () => {
            agent.destroy();
        },
    };
}
