/** JSON codec for engine state reports, cache events and orders. */
import { z } from "zod";
import { type Incarnation, toIncarnation, toModelId, toModelVersion } from "../ids";
import { parsePrefixId } from "../policy/prefix";
import type { CacheEvent, EngineOrder, TargetReport } from "../targets";

const count = z.number().int().min(0);
const stateSchema = z.looseObject({
    incarnation: z.string().min(1),
    state: z.enum(["ready", "loading", "leaving"]),
    model: z.string(),
    version: z.string(),
    running_requests: count.default(0),
    waiting_requests: count.default(0),
    waiting_tokens: count.default(0),
});

/** Decodes a state report; undefined when it is invalid. */
export function decodeState(text: string): TargetReport | undefined {
    const parsed = stateSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        return undefined;
    }
    const { data } = parsed;
    return {
        incarnation: toIncarnation(data.incarnation),
        state: data.state,
        model: toModelId(data.model),
        version: toModelVersion(data.version),
        runningRequests: data.running_requests,
        waitingRequests: data.waiting_requests,
        waitingTokens: data.waiting_tokens,
    };
}

const cacheEventSchema = z.looseObject({
    seq: count,
    incarnation: z.string(),
    kind: z.enum(["stored", "removed", "cleared"]),
    blocks: z.array(z.string()).default([]),
});

/** Decodes a cache event; undefined when it is invalid. */
export function decodeCacheEvent(text: string): { incarnation: Incarnation; event: CacheEvent; } | undefined {
    const parsed = cacheEventSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        return undefined;
    }
    const { seq, kind, blocks, incarnation } = parsed.data;
    const event: CacheEvent = kind === "cleared"
        ? { seq, kind }
        : { seq, kind, blocks: blocks.map(parsePrefixId).filter(block => block !== undefined) };
    return { incarnation: toIncarnation(incarnation), event };
}

export function encodeOrder(order: EngineOrder): string {
    return JSON.stringify({
        order: order.order,
        fence: order.fencingToken,
        model: order.model,
        version: order.version,
    });
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
