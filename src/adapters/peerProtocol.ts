/** tRPC router for the messages between processes of the fleet, with the schemas of their requests. */
import { initTRPC, TRPCError } from "@trpc/server";
import { z } from "zod";
import type { PeerAnswer, PeerMessageKind, PeerProtocol, PeerRequest } from "../peers";

export interface PeerContext {
    readonly isAuthenticated: boolean;
    readonly handleRequest: (request: PeerRequest) => Promise<PeerAnswer>;
}

const { router, procedure } = initTRPC.context<PeerContext>().create();

const authenticated = procedure.use(({ ctx, next }) => {
    if (!ctx.isAuthenticated) {
        throw new TRPCError({ code: "UNAUTHORIZED", message: "The fleet secret is missing or wrong." });
    }
    return next();
});

const age = z.number().min(0);
const digest = z.object({
    vm: z.string(),
    incarnation: z.string(),
    dataCentre: z.string(),
    callerAddress: z.string(),
    peerAddress: z.string(),
    state: z.enum(["live", "draining"]),
    configVersion: z.number().int().min(0),
    vouches: z.boolean(),
    storeConfirmedAgeMs: age,
    headConfirmedAgeMs: age,
});
const count = z.number().min(0);
const reports = z.array(z.object({
    grant: z.string(),
    sequence: count,
    spent: count,
    returned: count,
    reserved: count,
    reservedForMs: z.number(),
})).max(64);

/** Schema of each request. `PeerProtocol` defines the branded types. */
const requestSchemas = {
    exchange: z.object({
        digest,
        heard: z.array(z.object({ digest, ageMs: age })).max(64),
        prefixes: z.array(z.object({ target: z.string(), incarnation: z.string(), prefix: z.string() })).max(1024),
        reach: z.object({ roster: z.string(), ages: z.string().max(16_384) }).optional(),
    }),
    requestGrant: z.object({
        vm: z.string(),
        incarnation: z.string(),
        account: z.string(),
        tokens: count,
        needed: count,
        atLeast: count,
        reports,
    }),
    returnGrant: z.object({ vm: z.string(), account: z.string(), reports }),
    pullConfiguration: z.object({ above: z.number().int().min(0) }),
    pushConfiguration: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("snapshot"), version: z.number().int(), document: z.unknown() }),
        z.object({ kind: z.literal("change"), version: z.number().int(), change: z.unknown() }),
    ]),
} as const satisfies Record<PeerMessageKind, z.ZodType>;

function createProcedure<Kind extends PeerMessageKind>(kind: Kind) {
    return authenticated
        .input(requestSchemas[kind])
        .mutation(async ({ ctx, input }): Promise<PeerProtocol[Kind]["answer"]> => {
            const answer = await ctx.handleRequest({ kind, body: input } as unknown as PeerRequest);
            return answer.body as PeerProtocol[Kind]["answer"];
        });
}

export const peerRouter = router({
    exchange: createProcedure("exchange"),
    requestGrant: createProcedure("requestGrant"),
    returnGrant: createProcedure("returnGrant"),
    pullConfiguration: createProcedure("pullConfiguration"),
    pushConfiguration: createProcedure("pushConfiguration"),
});

export type PeerRouter = typeof peerRouter;
