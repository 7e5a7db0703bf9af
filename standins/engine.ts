/**
 * Stand-in for a model engine over HTTP: OpenAI-compatible completions, a limited prefix cache, prefill time for each
 * missed token, continuous batching, delayed load reports, delayed and lost cache events, and orders to load another
 * model version.
 */
import { randomUUID } from "node:crypto";
import type * as http from "node:http";
import { type CompletionBody, computePrompt, computeToken, createChoice, createUsage } from "./engineAnswers";
import { sendStream, type StreamLog } from "./engineStreams";
import { sendJson, type StandinCall, startStandinServer } from "./httpServer";
import { type CacheChange, createPrefixCache } from "./prefixCache";

export interface EngineOptions {
    /** Loopback address to listen on; engines that stand for separate VMs have separate addresses. */
    readonly host?: string;
    readonly port?: number;
    readonly model: string;
    readonly version: string;
    readonly slots?: number;
    readonly maxBlocks?: number;
    readonly blockTokens?: number;
    readonly bytesPerToken?: number;
    readonly prefillTokensPerSecond?: number;
    /** Milliseconds for each generated token. */
    readonly decodeMs?: number;
    /** Interval at which the report of `GET /state` is refreshed; a report is at most this old. */
    readonly reportLagMs?: number;
    readonly cacheEventDelayMs?: number;
    /** Fraction of the cache events that are dropped, 0 to 1. */
    readonly cacheEventLoss?: number;
    readonly checksFencing?: boolean;
    /** Milliseconds that loading another model version takes. */
    readonly loadMs?: number;
}

/** Faults that can be switched while the engine runs. */
export interface EngineFaults {
    /** Number of events after which a stream's connection is closed; 0 means never. */
    breakAfterEvents: number;
    /** Number of next answers that carry an id other than that of their request. */
    crossAnswers: number;
    /** Number of next streams in which one event is left out. */
    skipEvents: number;
    /** When false, streams cannot be resumed and generation ends when the caller disconnects. */
    canResume: boolean;
    /** Delay of each completion before it waits for a slot, in milliseconds. */
    delayMs: number;
    /** HTTP status with which completions are refused without running; 0 for none. */
    refuseWith: number;
}

export interface EngineRun {
    /** Time of arrival on the monotonic clock of this process, in milliseconds. */
    readonly at: number;
    readonly request: string;
    readonly cacheSalt: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    isCancelled: boolean;
    isFinished: boolean;
}

export interface Engine {
    readonly address: string;
    readonly faults: EngineFaults;
    readonly runs: readonly EngineRun[];
    readonly orders: readonly { readonly fence: number; readonly version: string; readonly accepted: boolean; }[];
    getIncarnation(): string;
    /** Drops all state and connections and continues with a new incarnation. */
    crash(): void;
    startLeaving(): void;
    stop(): Promise<void>;
}

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Starts an engine on loopback. */
export async function startEngine(options: EngineOptions): Promise<Engine> {
    const {
        slots = 8,
        maxBlocks = 64,
        blockTokens = 4096,
        bytesPerToken = 4,
        prefillTokensPerSecond = 20_000,
        decodeMs = 5,
        reportLagMs = 200,
        cacheEventDelayMs = 50,
        cacheEventLoss = 0,
        checksFencing = false,
        loadMs = 200,
    } = options;
    const faults: EngineFaults = {
        breakAfterEvents: 0,
        crossAnswers: 0,
        skipEvents: 0,
        canResume: true,
        delayMs: 0,
        refuseWith: 0,
    };
    const runs: EngineRun[] = [];
    const orders: { fence: number; version: string; accepted: boolean; }[] = [];
    const streams = new Map<string, StreamLog>();
    const cacheListeners = new Set<http.ServerResponse>();
    let incarnation: string = randomUUID();
    let { model, version } = options;
    let state: "ready" | "loading" | "leaving" = "ready";
    let running = 0;
    let waitingTokens = 0;
    let cacheSeq = 0;
    let highestFencingToken = 0;
    let slotWaiters: (() => void)[] = [];
    let prefillQueue: Promise<void> = Promise.resolve();
    let lastReport = buildReport();
    const reportTimer = setInterval(() => {
        lastReport = buildReport();
    }, Math.max(10, reportLagMs));

    function buildReport(): Record<string, unknown> {
        return {
            incarnation,
            state,
            model,
            version,
            running_requests: running,
            waiting_requests: slotWaiters.length,
            waiting_tokens: waitingTokens,
        };
    }

    function sendCacheEvent(change: CacheChange): void {
        cacheSeq += 1;
        const event = JSON.stringify({ seq: cacheSeq, incarnation, ...change });
        if (Math.random() < cacheEventLoss) {
            return;
        }
        setTimeout(() => {
            for (const listener of cacheListeners) {
                listener.write(`data: ${event}\n\n`);
            }
        }, cacheEventDelayMs);
    }

    const cache = createPrefixCache({ maxBlocks, onChange: sendCacheEvent });

    async function waitForSlot(): Promise<void> {
        if (running < slots) {
            running += 1;
            return;
        }
        await new Promise<void>(resolve => {
            slotWaiters.push(resolve);
        });
    }

    function releaseSlot(): void {
        const next = slotWaiters.shift();
        if (next) {
            next();
            return;
        }
        running -= 1;
    }

    /** Waits for the prefill of the tokens that are not cached; prefills run one after the other. */
    function runPrefill(missedTokens: number): Promise<void> {
        const prefillEnd = prefillQueue.then(() => wait((missedTokens / prefillTokensPerSecond) * 1000));
        prefillQueue = prefillEnd;
        return prefillEnd;
    }

    function createRun(
        { request, body }: StandinCall,
        parsed: CompletionBody,
    ): EngineRun & { readonly blocks: string[]; } {
        const header = request.headers["x-prefix-blocks"];
        const blocks = typeof header === "string" && header !== "" ? header.split(",") : [];
        const promptTokens = Math.ceil(Buffer.byteLength(computePrompt(parsed)) / bytesPerToken);
        const hits = cache.findHits(blocks);
        return {
            at: performance.now(),
            request: String(request.headers["x-request-id"]),
            cacheSalt: parsed.cache_salt ?? "",
            headers: request.headers,
            body,
            promptTokens,
            cachedTokens: Math.min(promptTokens, hits * blockTokens),
            isCancelled: false,
            isFinished: false,
            blocks,
        };
    }

    async function handleCompletion(call: StandinCall, isChat: boolean): Promise<void> {
        const parsed = JSON.parse(call.body) as CompletionBody;
        if (faults.refuseWith > 0) {
            sendJson(call.response, faults.refuseWith, { error: { message: "Refused." } });
            return;
        }
        if (state !== "ready" || parsed.model !== `${model}@${version}`) {
            sendJson(call.response, 404, { error: { code: "model_not_found", message: "This model is not loaded." } });
            return;
        }
        const startIncarnation = incarnation;
        const run = createRun(call, parsed);
        runs.push(run);
        call.response.on("close", () => {
            run.isCancelled ||= !call.response.writableFinished;
        });
        const missedTokens = run.promptTokens - run.cachedTokens;
        waitingTokens += missedTokens;
        await wait(faults.delayMs);
        await waitForSlot();
        await runPrefill(missedTokens);
        waitingTokens = Math.max(0, waitingTokens - missedTokens);
        if (startIncarnation !== incarnation) {
            return;
        }
        cache.add(run.blocks);
        try {
            await runDecode(call, parsed, run, isChat, startIncarnation);
        }
        finally {
            if (startIncarnation === incarnation) {
                releaseSlot();
            }
        }
    }

    async function runDecode(
        call: StandinCall,
        parsed: CompletionBody,
        run: EngineRun,
        isChat: boolean,
        startIncarnation: string,
    ): Promise<void> {
        const hasWrongId = faults.crossAnswers > 0;
        faults.crossAnswers -= hasWrongId ? 1 : 0;
        const id = `${isChat ? "chatcmpl" : "cmpl"}-${hasWrongId ? randomUUID() : run.request}`;
        const prompt = computePrompt(parsed);
        const count = parsed.max_tokens ?? 16;
        const object = isChat ? "chat.completion" : "text_completion";
        if (!parsed.stream) {
            await wait(count * decodeMs);
            const text = Array.from({ length: count }, (_, index) => computeToken(prompt, index)).join("");
            run.isFinished = true;
            sendJson(call.response, 200, {
                id,
                object,
                model: parsed.model,
                choices: [createChoice(isChat, false, text, "stop")],
                usage: createUsage(run, count),
            });
            return;
        }
        const log: StreamLog = { events: [], isDone: false, listeners: new Set() };
        streams.set(run.request, log);
        sendStream(call.response, log, {
            after: 0,
            breakAfter: faults.breakAfterEvents,
            skipAt: chooseSkippedEvent(0),
        });
        for (let index = 0; index < count && startIncarnation === incarnation; index += 1) {
            await wait(decodeMs);
            const reason = index === count - 1 ? "stop" : null;
            log.events.push(JSON.stringify({
                id,
                object: isChat ? "chat.completion.chunk" : object,
                model: parsed.model,
                choices: [createChoice(isChat, true, computeToken(prompt, index), reason)],
                usage: createUsage(run, index + 1),
            }));
            log.listeners.forEach(listener => {
                listener();
            });
            if (run.isCancelled && !faults.canResume) {
                return;
            }
        }
        log.events.push(
            JSON.stringify({ id, object, model: parsed.model, choices: [], usage: createUsage(run, count) }),
        );
        log.events.push("[DONE]");
        log.isDone = true;
        run.isFinished = true;
        log.listeners.forEach(listener => {
            listener();
        });
    }

    /** Returns the number of the event that a stream leaves out, or 0 for none. */
    function chooseSkippedEvent(after: number): number {
        if (faults.skipEvents === 0) {
            return 0;
        }
        faults.skipEvents -= 1;
        return after + 2;
    }

    function handleResume({ request, response, url }: StandinCall): void {
        const id = url.pathname.slice("/v1/streams/".length);
        const log = streams.get(id);
        if (!log || !faults.canResume) {
            sendJson(response, 404, { error: { message: "No such stream." } });
            return;
        }
        const after = Number(request.headers["last-event-id"] ?? 0);
        sendStream(response, log, { after, breakAfter: 0, skipAt: chooseSkippedEvent(after) });
    }

    function handleOrder({ response, body }: StandinCall): void {
        const order = JSON.parse(body) as { fence: number; model: string; version: string; };
        const accepted = !checksFencing || order.fence >= highestFencingToken;
        orders.push({ fence: order.fence, version: order.version, accepted });
        if (!accepted) {
            sendJson(response, 409, {
                error: { message: "The fencing token is lower than that of an earlier order." },
            });
            return;
        }
        highestFencingToken = Math.max(highestFencingToken, order.fence);
        if (state === "ready" && (model !== order.model || version !== order.version)) {
            state = "loading";
            const startIncarnation = incarnation;
            setTimeout(() => {
                if (startIncarnation !== incarnation || state !== "loading") {
                    return;
                }
                ({ model, version } = order);
                state = "ready";
                cache.clear();
            }, loadMs);
        }
        sendJson(response, 202, {});
    }

    function handleCrash(): void {
        incarnation = randomUUID();
        running = 0;
        waitingTokens = 0;
        slotWaiters = [];
        prefillQueue = Promise.resolve();
        streams.clear();
        cache.clear();
        cacheSeq = 0;
        state = "ready";
        lastReport = buildReport();
        server.closeConnections();
    }

    const server = await startStandinServer({
        ...(options.host === undefined ? {} : { host: options.host }),
        port: options.port ?? 0,
        handlers: {
            "POST /v1/chat/completions": call => handleCompletion(call, true),
            "POST /v1/completions": call => handleCompletion(call, false),
            "GET /state": ({ response }) => {
                sendJson(response, 200, lastReport);
            },
            "GET /cache-events": ({ response }) => {
                response.writeHead(200, { "content-type": "text/event-stream" });
                response.flushHeaders();
                cacheListeners.add(response);
                response.on("close", () => cacheListeners.delete(response));
            },
            "POST /orders": handleOrder,
            "POST /control/faults": ({ response, body }) => {
                Object.assign(faults, JSON.parse(body));
                sendJson(response, 200, faults);
            },
            "POST /control/crash": ({ response }) => {
                response.end(handleCrash);
            },
            "POST /control/leave": ({ response }) => {
                state = "leaving";
                sendJson(response, 200, {});
            },
            "GET /control/runs": ({ response }) => {
                sendJson(response, 200, runs.map(run => ({ ...run, body: undefined })));
            },
            "*": call => {
                if (call.url.pathname.startsWith("/v1/streams/")) {
                    handleResume(call);
                    return;
                }
                sendJson(call.response, 404, { error: { message: "No such path." } });
            },
        },
    });

    return {
        address: server.address,
        faults,
        runs,
        orders,
        getIncarnation: () => incarnation,
        crash: handleCrash,
        startLeaving: () => {
            state = "leaving";
            lastReport = buildReport();
        },
        stop: () => {
            clearInterval(reportTimer);
            return server.stop();
        },
    };
}
