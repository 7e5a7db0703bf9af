/** A caller as the router's clients are: asks for entries, keeps the answer, connects itself, checks every answer. */
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

export interface RefusalSeen {
    readonly code: string;
    readonly verdict: string;
    readonly retryAfterSeconds: number | undefined;
}

export type CompletionOutcome =
    /** The whole answer came and is the right one. */
    | { readonly kind: "complete"; readonly firstTokenMs: number; readonly text: string; }
    /** The answer claims to be complete and is not the right one. */
    | { readonly kind: "wrong"; readonly text: string; }
    | { readonly kind: "refused"; readonly refusal: RefusalSeen; }
    /** The answer began and ended with an explicit error or a closed connection. */
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
            for (const event of parser.add(chunk)) {
                if (event.event === "error") {
                    return { kind: "interrupted", code: (JSON.parse(event.data) as ErrorBody).error.code };
                }
                if (event.data === "[DONE]") {
                    const isRight = text === computeAnswer(call.prompt, call.maxTokens);
                    return isRight
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

async function readWhole(response: Response, call: CompletionCall, startedAt: number): Promise<CompletionOutcome> {
    try {
        const body = await response.json() as ChunkBody;
        const text = body.choices[0]?.text ?? "";
        const isRight = text === computeAnswer(call.prompt, call.maxTokens);
        return isRight
            ? { kind: "complete", firstTokenMs: performance.now() - startedAt, text }
            : { kind: "wrong", text };
    }
    catch {
        return { kind: "interrupted", code: "connection_closed" };
    }
}

/** Sends one completion and checks the answer against what the stand-in engine computes for the prompt. */
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
    return call.stream ? readStream(response, call, startedAt) : readWhole(response, call, startedAt);
}

/** Entries a caller may use; asks again when the answer is too old or an entry fails. */
export interface EntryList {
    get(): Promise<string>;
    /** Puts an entry that failed at the end and asks for a new list. */
    recordFailure(address: string): void;
}

interface EntriesBody {
    readonly entries: readonly string[];
    readonly keep_seconds: number;
}

/** An entry that failed is used last for this long, also when a new list names it first. */
const failedEntryMs = 10_000;

/** Creates the list of entries of one caller. `first` are the addresses it knows at the start. */
export function createEntryList(
    { first, key }: { readonly first: readonly string[]; readonly key: string; },
): EntryList {
    const failedAt = new Map<string, number>();
    let entries = [...first];
    let expiresAt = 0;

    const hasFailed = (address: string): boolean =>
        performance.now() - (failedAt.get(address) ?? Number.NEGATIVE_INFINITY) < failedEntryMs;

    const listInOrder = (addresses: readonly string[]): string[] => [
        ...addresses.filter(address => !hasFailed(address)),
        ...addresses.filter(hasFailed),
    ];

    async function updateEntries(): Promise<void> {
        for (const address of listInOrder([...new Set([...entries, ...first])])) {
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
