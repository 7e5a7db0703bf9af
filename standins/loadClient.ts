/** Client for callers of the router: caches the list of entries, connects to them and checks every answer. */
import { createEventParser } from "../src/codec/sse";
import { computeToken } from "./engineAnswers";

export interface CompletionCall {
    /** IP:PORT of the entry. */
    readonly address: string;
    readonly key: string;
    readonly route: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly stream: boolean;
    readonly timeoutMs?: number;
    readonly signal?: AbortSignal;
}

export interface Refusal {
    readonly code: string;
    readonly verdict: string;
    readonly retryAfterSeconds: number | undefined;
}

export type CompletionOutcome =
    /** The answer is complete and has the expected text. */
    | { readonly kind: "complete"; readonly firstTokenMs: number; readonly text: string; }
    /** The answer ended as complete, but its text is not the expected one. */
    | { readonly kind: "wrong"; readonly text: string; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    /** The answer began and ended early, with an error event or a closed connection. */
    | { readonly kind: "interrupted"; readonly code: string; }
    | { readonly kind: "unreachable"; };

interface ChunkBody {
    readonly choices: readonly { readonly text?: string; readonly finish_reason?: string | null; }[];
}

interface ErrorBody {
    readonly error: { readonly code: string; readonly verdict: string; };
}

export function computeAnswer(prompt: string, tokens: number): string {
    return Array.from({ length: tokens }, (_, index) => computeToken(prompt, index)).join("");
}

async function readRefusal(response: Response): Promise<CompletionOutcome> {
    const body = await response.json() as ErrorBody;
    const retryAfter = response.headers.get("retry-after");
    return {
        kind: "refused",
        refusal: {
            code: body.error.code,
            verdict: body.error.verdict,
            retryAfterSeconds: retryAfter === null ? undefined : Number(retryAfter),
        },
    };
}

async function readStream(response: Response, call: CompletionCall, startedAt: number): Promise<CompletionOutcome> {
    const parser = createEventParser();
    let text = "";
    let firstTokenMs: number | undefined;
    try {
        for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
            for (const event of parser.add(Buffer.from(chunk))) {
                if (event.event === "error") {
                    return { kind: "interrupted", code: (JSON.parse(event.data) as ErrorBody).error.code };
                }
                if (event.data === "[DONE]") {
                    const isCorrect = text === computeAnswer(call.prompt, call.maxTokens);
                    return isCorrect
                        ? { kind: "complete", firstTokenMs: firstTokenMs ?? 0, text }
                        : { kind: "wrong", text };
                }
                firstTokenMs ??= performance.now() - startedAt;
                text += (JSON.parse(event.data) as ChunkBody).choices[0]?.text ?? "";
            }
        }
    }
    catch {
        return { kind: "interrupted", code: "connection_closed" };
    }
    return { kind: "interrupted", code: "connection_closed" };
}

async function readWholeAnswer(
    response: Response,
    call: CompletionCall,
    startedAt: number,
): Promise<CompletionOutcome> {
    try {
        const body = await response.json() as ChunkBody;
        const text = body.choices[0]?.text ?? "";
        const isCorrect = text === computeAnswer(call.prompt, call.maxTokens);
        return isCorrect
            ? { kind: "complete", firstTokenMs: performance.now() - startedAt, text }
            : { kind: "wrong", text };
    }
    catch {
        return { kind: "interrupted", code: "connection_closed" };
    }
}

/** Sends one completion and compares the answer with the text that the stand-in engine computes for the prompt. */
export async function sendCompletion(call: CompletionCall): Promise<CompletionOutcome> {
    const startedAt = performance.now();
    const response = await fetch(`http://${call.address}/v1/completions`, {
        method: "POST",
        headers: {
            "content-type": "application/json",
            authorization: `Bearer ${call.key}`,
            ...(call.timeoutMs === undefined ? {} : { "x-request-timeout-ms": String(call.timeoutMs) }),
        },
        body: JSON.stringify({
            model: call.route,
            prompt: call.prompt,
            max_tokens: call.maxTokens,
            stream: call.stream,
        }),
        ...(call.signal ? { signal: call.signal } : {}),
    }).catch(() => undefined);
    if (!response) {
        return { kind: "unreachable" };
    }
    if (response.status !== 200) {
        return readRefusal(response).catch(() => ({ kind: "interrupted", code: "connection_closed" }));
    }
    return call.stream ? readStream(response, call, startedAt) : readWholeAnswer(response, call, startedAt);
}

/** Cached list of entry addresses. It is requested again when it has expired or an entry fails. */
export interface EntryList {
    get(): Promise<string>;
    /** Moves an entry that failed to the end of the list; the next `get` requests a new list. */
    recordFailure(address: string): void;
}

interface EntriesBody {
    readonly entries: readonly string[];
    readonly keep_seconds: number;
}

/** An entry that failed is listed last for this time, even if a new list contains it. */
const failedEntryPenaltyMs = 10_000;

/** Creates the list of entries of one caller, which begins with `initialAddresses`. */
export function createEntryList(
    { initialAddresses, key }: { readonly initialAddresses: readonly string[]; readonly key: string; },
): EntryList {
    const failedAt = new Map<string, number>();
    let entries = [...initialAddresses];
    let expiresAt = 0;

    const hasFailed = (address: string): boolean =>
        performance.now() - (failedAt.get(address) ?? Number.NEGATIVE_INFINITY) < failedEntryPenaltyMs;

    const listInOrder = (addresses: readonly string[]): string[] => [
        ...addresses.filter(address => !hasFailed(address)),
        ...addresses.filter(hasFailed),
    ];

    async function updateEntries(): Promise<void> {
        for (const address of listInOrder([...new Set([...entries, ...initialAddresses])])) {
            const response = await fetch(`http://${address}/v1/entries`, {
                headers: { authorization: `Bearer ${key}` },
                signal: AbortSignal.timeout(1000),
            }).catch(() => undefined);
            const body = response?.ok ? await response.json() as EntriesBody : undefined;
            if (body && body.entries.length > 0) {
                entries = [...body.entries];
                expiresAt = performance.now() + body.keep_seconds * 1000;
                return;
            }
        }
    }

    return {
        get: async () => {
            if (performance.now() >= expiresAt) {
                await updateEntries();
            }
            return listInOrder(entries)[0] ?? "";
        },
        recordFailure: address => {
            failedAt.set(address, performance.now());
            expiresAt = 0;
        },
    };
}
