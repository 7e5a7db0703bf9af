/** Sends requests to targets, reads plain answers whole and relays streams. */
import * as http from "node:http";
import { parseAddress, subscribeToBytesHanded } from "../../adapters/httpClient";
import type { RequestId, TargetId } from "../../ids";
import type { AttemptFault, ForwardCall, HeaderCodec } from "../calls";
import type { ForwardEffectOf } from "../effects";
import type { ForwardEvent } from "../events";
import { hasFraming, isWholeAnswer, removeFraming } from "./answerEnd";
import { createEventRelay, type EventRelay } from "./eventRelay";
import type { OpenForward, OpenForwards } from "./openForwards";
import { createTargetAgents } from "./targetAgents";

/** A target that accepts no connection within this time gets the request no more. */
const connectMs = 400;
/** Longest plain answer that is read. */
const maxAnswerBytes = 16 * 1024 * 1024;

export interface ForwardClientOptions {
    readonly codec: HeaderCodec;
    readonly post: (event: ForwardEvent) => void;
    readonly openForwards: OpenForwards;
    /** True when callers are to be told to close their connections. */
    readonly isClosing: () => boolean;
}

export interface ForwardClient {
    send(effect: ForwardEffectOf<"sendRequest">): void;
    relay(effect: ForwardEffectOf<"relayAnswer">): void;
    cancel(effect: ForwardEffectOf<"cancelAttempt">): void;
    move(effect: ForwardEffectOf<"moveAttempt">): void;
    forget(request: RequestId): void;
    closeTarget(target: TargetId): void;
    close(): void;
}

interface RunningAttempt {
    readonly attempt: number;
    readonly request: http.ClientRequest;
    answer: { readonly head: http.IncomingMessage; readonly body: Buffer; } | undefined;
    relay: EventRelay | undefined;
    head: http.IncomingMessage | undefined;
    isOver: boolean;
}

const bodylessMethods = new Set(["GET", "HEAD", "OPTIONS"]);

const isEventStream = (head: http.IncomingMessage): boolean =>
    head.statusCode === 200 && (head.headers["content-type"] ?? "").startsWith("text/event-stream");

/** Creates the client of a process. */
export function createForwardClient({ codec, post, openForwards, isClosing }: ForwardClientOptions): ForwardClient {
    const agents = createTargetAgents();
    const running = new Map<RequestId, RunningAttempt>();

    function postFailure(id: RequestId, entry: RunningAttempt, fault: AttemptFault): void {
        if (!entry.isOver && running.get(id) === entry) {
            entry.isOver = true;
            const lastEventId = entry.relay?.getLastEventId() ?? 0;
            post({ kind: "attemptFailed", request: id, attempt: entry.attempt, fault, lastEventId });
        }
    }

    function postAnswer(id: RequestId, entry: RunningAttempt, head: http.IncomingMessage, isOpenStream: boolean): void {
        const status = head.statusCode ?? 0;
        post({
            kind: "attemptAnswered",
            request: id,
            attempt: entry.attempt,
            status,
            facts: codec.decodeAnswer(status, head.headers),
            isOpenStream,
        });
    }

    function readWhole(id: RequestId, entry: RunningAttempt, head: http.IncomingMessage): void {
        const chunks: Buffer[] = [];
        let length = 0;
        head.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            length += chunk.length;
            if (length > maxAnswerBytes) {
                head.destroy();
            }
        });
        head.on("end", () => {
            if (isWholeAnswer(head) && !entry.isOver && running.get(id) === entry) {
                entry.isOver = true;
                entry.answer = { head, body: Buffer.concat(chunks) };
                postAnswer(id, entry, head, false);
            }
        });
        head.on("error", () => {
            postFailure(id, entry, "cut_short");
        });
        head.on("close", () => {
            postFailure(id, entry, "cut_short");
        });
    }

    function handleHead(open: OpenForward, entry: RunningAttempt, call: ForwardCall, head: http.IncomingMessage): void {
        const { id } = open;
        if (!isEventStream(head)) {
            readWhole(id, entry, head);
            return;
        }
        entry.head = head;
        entry.relay = createEventRelay({
            source: head,
            caller: open.response,
            lastEventId: call.resumeAfter,
            onFirstEvent: () => {
                post({ kind: "attemptFirstEvent", request: id, attempt: entry.attempt });
            },
            onFinished: () => {
                entry.isOver = true;
                post({ kind: "attemptFinished", request: id, attempt: entry.attempt });
            },
            onFailed: fault => {
                postFailure(id, entry, fault);
            },
        });
        postAnswer(id, entry, head, true);
    }

    function openAttempt(open: OpenForward, attempt: number, call: ForwardCall): RunningAttempt {
        const { id, body, method, path } = open;
        const hasBody = body.length > 0 || !bodylessMethods.has(method);
        const headers = codec.encodeRequest(open.rawHeaders, call);
        const request = http.request({
            ...parseAddress(call.address),
            method,
            path,
            headers: (hasBody ? [...headers, "Content-Length", String(body.length)] : headers) as never,
            agent: agents.get(call.target),
            setHost: false,
        });
        const entry: RunningAttempt = {
            attempt,
            request,
            answer: undefined,
            relay: undefined,
            head: undefined,
            isOver: false,
        };
        let wasSent = false;
        const connectTimer = setTimeout(() => {
            request.destroy();
        }, connectMs);
        subscribeToBytesHanded(request, () => {
            wasSent = true;
            clearTimeout(connectTimer);
            post({ kind: "attemptBytesHanded", request: id, attempt });
            request.socket?.setNoDelay(true);
        });
        request.on("error", () => {
            clearTimeout(connectTimer);
            postFailure(id, entry, wasSent ? "closed" : "connect");
        });
        request.on("response", head => {
            if (running.get(id) === entry) {
                if (call.silentMs !== undefined) {
                    request.setTimeout(call.silentMs, () => {
                        postFailure(id, entry, "silent");
                        request.destroy();
                    });
                }
                handleHead(open, entry, call, head);
            }
            else {
                head.destroy();
            }
        });
        request.end(hasBody ? body : undefined);
        return entry;
    }

    function closeAttempt(id: RequestId): void {
        const entry = running.get(id);
        running.delete(id);
        if (entry && !entry.answer) {
            entry.isOver = true;
            entry.relay?.stop();
            entry.request.destroy();
        }
    }

    function writeHead(open: OpenForward, head: http.IncomingMessage, extra: readonly string[]): void {
        const isFramed = hasFraming(head);
        if (!isFramed) {
            removeFraming(open.response);
        }
        const closing = isClosing() || !isFramed ? ["Connection", "close"] : [];
        open.response.writeHead(head.statusCode ?? 502, [...codec.encodeAnswer(head.rawHeaders), ...extra, ...closing]);
    }

    return {
        send: ({ request: id, attempt, call }) => {
            const open = openForwards.get(id);
            if (open) {
                running.set(id, openAttempt(open, attempt, call));
            }
        },
        relay: ({ request: id, attempt }) => {
            const entry = running.get(id);
            const open = openForwards.get(id);
            if (!entry || entry.attempt !== attempt || !open || open.response.destroyed) {
                return;
            }
            if (entry.answer && !open.response.headersSent) {
                const { head, body } = entry.answer;
                const isBodyless = open.method === "HEAD" || head.statusCode === 204 || head.statusCode === 304;
                const hasLength = hasFraming(head) && !isBodyless;
                writeHead(open, head, hasLength ? ["Content-Length", String(body.length)] : []);
                open.response.end(body);
                return;
            }
            if (entry.relay && entry.head) {
                if (!open.response.headersSent) {
                    writeHead(open, entry.head, []);
                    open.response.flushHeaders();
                }
                entry.relay.start();
            }
        },
        cancel: ({ request }) => {
            closeAttempt(request);
        },
        move: ({ request: id, attempt }) => {
            const entry = running.get(id);
            if (entry?.attempt === attempt && !entry.isOver) {
                postFailure(id, entry, "moved");
                entry.relay?.stop();
                entry.request.destroy();
            }
        },
        forget: id => {
            const entry = running.get(id);
            if (entry?.isOver) {
                running.delete(id);
            }
            else {
                closeAttempt(id);
            }
        },
        closeTarget: agents.close,
        close: () => {
            for (const id of [...running.keys()]) {
                closeAttempt(id);
            }
            agents.closeAll();
        },
    };
}
