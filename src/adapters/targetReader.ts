/** Client for engine management: reads state reports, follows cache events and sends orders. */
import * as http from "node:http";
import { decodeCacheEvent, decodeState, encodeOrder } from "../codec/engineState";
import { createEventParser } from "../codec/sse";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import type { TargetId } from "../ids";
import type { Clock, FailureReporter } from "../runner";
import type { OrderOutcome } from "../targets";
import { applyHeadLimit } from "./headLimit";
import { createKeepAliveAgent, HttpCallError, parseAddress, sendHttpCall, singleUseAgent } from "./httpClient";
import { createListenerGuard, type ListenerGuard } from "./listenerGuard";
import { createPieceCounter } from "./pieceCounter";
import { createResponseBuffers } from "./responseBuffers";

const stateTimeoutMs = 1000;
/** State reports and answers to orders have a few kilobytes. Longer ones would keep the call for as long as they go on. */
const maxAnswerBytes = 64 * 1024;
/** Cache events of one target are collected for this long and posted as one batch, to need fewer ticks. */
const cacheBatchMs = 50;
/** Events after which a target is not read until the batch is posted. */
const maxBatchEvents = 4096;
/** Maximum size of one cache event. */
const maxCacheEventBytes = 64 * 1024;

export interface TargetReader {
    readState(effect: EffectOf<"readTarget">): void;
    followCacheEvents(effect: EffectOf<"followCacheEvents">): void;
    stopCacheEvents(target: TargetId): void;
    sendOrder(effect: EffectOf<"sendOrder">): void;
    close(): void;
}

const outdatedOrderStatus = 409;

function toOrderOutcome(status: number): OrderOutcome {
    if (status < 300) {
        return "accepted";
    }
    return status === outdatedOrderStatus ? "outdated" : "refused";
}

export interface TargetReaderOptions {
    readonly post: (event: Event) => void;
    readonly clock: Clock;
    readonly reportFailure?: FailureReporter;
}

/** Creates the client for state reports, cache events and orders. */
export function createTargetReader({ post, clock, reportFailure }: TargetReaderOptions): TargetReader {
    const agent = createKeepAliveAgent();
    const pendingReads = new Set<TargetId>();
    const cacheEventRequests = new Map<TargetId, http.ClientRequest>();

    async function readState({ target, address }: EffectOf<"readTarget">): Promise<void> {
        if (pendingReads.has(target)) {
            return;
        }
        pendingReads.add(target);
        try {
            const answer = await sendHttpCall({
                method: "GET",
                address,
                path: "/state",
                timeoutMs: stateTimeoutMs,
                maxBytes: maxAnswerBytes,
                agent,
            });
            const report = answer.status === 200 ? decodeState(answer.text) : undefined;
            post(report ? { kind: "targetReported", target, report } : { kind: "targetUnreachable", target });
        }
        catch {
            post({ kind: "targetUnreachable", target });
        }
        finally {
            pendingReads.delete(target);
        }
    }

    function stopCacheEvents(target: TargetId): void {
        const request = cacheEventRequests.get(target);
        cacheEventRequests.delete(target);
        request?.destroy();
    }

    function readCacheEvents(
        effect: EffectOf<"followCacheEvents">,
        response: http.IncomingMessage,
        guard: ListenerGuard,
    ): void {
        const heldBytes = createResponseBuffers({ maxBytes: maxCacheEventBytes, maxTotalBytes: maxCacheEventBytes });
        const parser = createEventParser({ openHeldBytes: () => heldBytes.open() });
        const pieces = createPieceCounter();
        let batch: NonNullable<ReturnType<typeof decodeCacheEvent>>[] = [];
        let timer: NodeJS.Timeout | undefined;
        const postBatch = guard(() => {
            timer = undefined;
            const events = batch.filter(entry => entry.incarnation === effect.incarnation).map(entry => entry.event);
            batch = [];
            response.resume();
            if (events.length > 0) {
                post({ kind: "cacheEventsReceived", target: effect.target, incarnation: effect.incarnation, events });
            }
        });
        const handleData = (chunk: Buffer): void => {
            const isWithinPieces = pieces.add(chunk);
            for (const event of parser.add(chunk)) {
                const decoded = decodeCacheEvent(event.data);
                if (decoded) {
                    batch.push(decoded);
                }
            }
            if (!isWithinPieces || parser.hasOverflowed) {
                response.destroy();
                return;
            }
            if (batch.length > maxBatchEvents) {
                response.pause();
            }
            timer ??= setTimeout(postBatch, cacheBatchMs);
        };
        const handleClose = (): void => {
            clearTimeout(timer);
        };
        response.on("data", guard(handleData));
        response.on("error", () => undefined);
        response.on("close", guard(handleClose));
    }

    function followCacheEvents(effect: EffectOf<"followCacheEvents">): void {
        const { target, address, after } = effect;
        stopCacheEvents(target);
        const request = http.request({
            ...parseAddress(address),
            method: "GET",
            path: `/cache-events?after=${after}`,
            agent: singleUseAgent,
        });
        const guard = createListenerGuard({
            part: "targetReader",
            fields: { target },
            end: () => request.destroy(),
            reportFailure,
        });
        const handleHead = (response: http.IncomingMessage): void => {
            if (response.statusCode === 200) {
                readCacheEvents(effect, response, guard);
            }
            else {
                response.destroy();
            }
        };
        const handleClose = (): void => {
            if (cacheEventRequests.get(target) === request) {
                cacheEventRequests.delete(target);
                post({ kind: "cacheEventsClosed", target });
            }
        };
        cacheEventRequests.set(target, request);
        applyHeadLimit(request, { guard, onTooLong: () => request.destroy() });
        request.on("response", guard(handleHead));
        request.on("error", () => undefined);
        request.on("close", guard(handleClose));
        request.end();
    }

    async function sendOrder(effect: EffectOf<"sendOrder">): Promise<void> {
        const { target, address, order, timeoutMs, expiresAt } = effect;
        const postOutcome = (outcome: OrderOutcome): void => {
            post({ kind: "orderAnswered", target, order: order.order, outcome });
        };
        if (clock.getNow() >= expiresAt) {
            postOutcome("not_sent");
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
                maxBytes: maxAnswerBytes,
                agent,
            });
            postOutcome(toOrderOutcome(answer.status));
        }
        catch (error) {
            postOutcome(error instanceof HttpCallError && !error.mayHaveBeenSent ? "not_sent" : "unknown");
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
            for (const target of [...cacheEventRequests.keys()]) {
                stopCacheEvents(target);
            }
            agent.destroy();
        },
    };
}
