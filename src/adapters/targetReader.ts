/** Reads the state of targets, follows their cache events and sends them orders. */
import * as http from "node:http";
import { decodeCacheEvent, decodeState, encodeOrder } from "../codec/engineState";
import { createEventParser } from "../codec/sse";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import type { TargetId } from "../ids";
import type { Clock } from "../runner";
import type { OrderOutcome } from "../targets";
import { createKeepAliveAgent, HttpCallError, parseAddress, sendHttpCall } from "./httpClient";

const stateTimeoutMs = 1000;
/** Cache events of one target are posted together after this time, so that many of them share a tick. */
const cacheBatchMs = 50;

export interface TargetReader {
    readState(effect: EffectOf<"readTarget">): void;
    followCacheEvents(effect: EffectOf<"followCacheEvents">): void;
    stopCacheEvents(target: TargetId): void;
    sendOrder(effect: EffectOf<"sendOrder">): void;
    close(): void;
}

const outdatedStatus = 409;

function toOrderOutcome(status: number): OrderOutcome {
    if (status < 300) {
        return "accepted";
    }
    return status === outdatedStatus ? "outdated" : "refused";
}

/** Creates the reader of target states. */
export function createTargetReader(
    { post, clock }: { readonly post: (event: Event) => void; readonly clock: Clock; },
): TargetReader {
    const agent = createKeepAliveAgent();
    const reading = new Set<TargetId>();
    const followers = new Map<TargetId, http.ClientRequest>();

    async function readState({ target, address }: EffectOf<"readTarget">): Promise<void> {
        if (reading.has(target)) {
            return;
        }
        reading.add(target);
        try {
            const answer = await sendHttpCall({
                method: "GET",
                address,
                path: "/state",
                timeoutMs: stateTimeoutMs,
                agent,
            });
            const report = answer.status === 200 ? decodeState(answer.text) : undefined;
            post(report ? { kind: "targetReported", target, report } : { kind: "targetUnreachable", target });
        }
        catch {
            post({ kind: "targetUnreachable", target });
        }
        finally {
            reading.delete(target);
        }
    }

    function stopCacheEvents(target: TargetId): void {
        const request = followers.get(target);
        followers.delete(target);
        request?.destroy();
    }

    function readCacheEvents(effect: EffectOf<"followCacheEvents">, response: http.IncomingMessage): void {
        const parser = createEventParser();
        let batch: NonNullable<ReturnType<typeof decodeCacheEvent>>[] = [];
        let timer: NodeJS.Timeout | undefined;
        const postBatch = (): void => {
            timer = undefined;
            const events = batch.filter(entry => entry.incarnation === effect.incarnation).map(entry => entry.event);
            batch = [];
            if (events.length > 0) {
                post({ kind: "cacheEventsReceived", target: effect.target, incarnation: effect.incarnation, events });
            }
        };
        response.on("data", (chunk: Buffer) => {
            for (const event of parser.add(chunk)) {
                const decoded = decodeCacheEvent(event.data);
                if (decoded) {
                    batch.push(decoded);
                }
            }
            timer ??= setTimeout(postBatch, cacheBatchMs);
        });
        response.on("close", () => {
            clearTimeout(timer);
        });
    }

    function followCacheEvents(effect: EffectOf<"followCacheEvents">): void {
        const { target, address, after } = effect;
        stopCacheEvents(target);
        const request = http.request({
            ...parseAddress(address),
            method: "GET",
            path: `/cache-events?after=${after}`,
            agent: false,
        });
        followers.set(target, request);
        request.on("response", response => {
            if (response.statusCode === 200) {
                readCacheEvents(effect, response);
            }
            else {
                response.destroy();
            }
        });
        request.on("error", () => undefined);
        request.on("close", () => {
            if (followers.get(target) === request) {
                followers.delete(target);
                post({ kind: "cacheEventsClosed", target });
            }
        });
        request.end();
    }

    async function sendOrder(effect: EffectOf<"sendOrder">): Promise<void> {
        const { target, address, order, timeoutMs, notAfter } = effect;
        const handleOutcome = (outcome: OrderOutcome): void => {
            post({ kind: "orderAnswered", target, order: order.order, outcome });
        };
        if (clock.getNow() >= notAfter) {
            handleOutcome("not_sent");
            return;
        }
        try {
            const answer = await sendHttpCall({
                method: "POST",
                address,
                path: "/orders",
                headers: { "content-type": "application/json" },
                body: encodeOrder(order),
                timeoutMs,
                agent,
            });
            handleOutcome(toOrderOutcome(answer.status));
        }
        catch (error) {
            handleOutcome(error instanceof HttpCallError && !error.wasSent ? "not_sent" : "unknown");
        }
    }

    return {
        readState: effect => {
            void readState(effect);
        },
        followCacheEvents,
        stopCacheEvents,
        sendOrder: effect => {
            void sendOrder(effect);
        },
        close: () => {
            for (const target of [...followers.keys()]) {
                stopCacheEvents(target);
            }
            agent.destroy();
        },
    };
}
