/** Codec for OpenAI-compatible completions: requests of callers, requests to engines, answers and usage. */
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import type { Endpoint, TargetCall, Usage } from "../requests";

const textPart = z.looseObject({ type: z.string(), text: z.string().optional() });
const message = z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(textPart), z.null()]).optional(),
});
const commonFields = {
    model: z.string().min(1).max(200),
    stream: z.boolean().optional(),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
    n: z.number().int().min(1).max(16).nullish(),
    priority: z.number().int().min(0).max(9).nullish(),
};
const chatBody = z.looseObject({
    ...commonFields,
    messages: z.array(message).min(1),
    tools: z.array(z.unknown()).nullish(),
});
const completionBody = z.looseObject({ ...commonFields, prompt: z.union([z.string(), z.array(z.string()).min(1)]) });

type ChatBody = z.output<typeof chatBody>;
type CompletionBody = z.output<typeof completionBody>;

/** Caller's request body with the fields that the router uses. */
export interface DecodedCompletion {
    readonly body: Readonly<Record<string, unknown>>;
    readonly model: string;
    readonly stream: boolean;
    readonly prompt: Uint8Array;
    readonly maxTokens: number | undefined;
    readonly priority: number | undefined;
    /** True when the caller requested a usage event at the end of the stream. */
    readonly includeUsage: boolean;
}

/** Placeholder for the tokens that a chat template adds to each message. */
const messageSeparator = "\u0000".repeat(16);

function encodeChatPrompt(body: ChatBody): string {
    const tools = body.tools ? JSON.stringify(body.tools) : "";
    const messages = body.messages.map(({ role, content }) => {
        const text = typeof content === "string" ? content : JSON.stringify(content ?? "");
        return `${role}${messageSeparator}${text}`;
    });
    return `${tools}${messages.join("")}`;
}

const encodeCompletionPrompt = (body: CompletionBody): string =>
    typeof body.prompt === "string" ? body.prompt : body.prompt.join("");

function toDecodedCompletion(body: ChatBody | CompletionBody, prompt: string): DecodedCompletion {
    const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? undefined;
    return {
        body,
        model: body.model,
        stream: body.stream ?? false,
        prompt: Buffer.from(prompt),
        maxTokens: maxTokens === undefined ? undefined : maxTokens * (body.n ?? 1),
        priority: body.priority ?? undefined,
        includeUsage: body.stream_options?.include_usage ?? false,
    };
}

/**
 * Decodes and validates the body of a completion request.
 *
 * @example
 * const result = decodeCompletion("chat", Buffer.from('{"model":"m","messages":[{"role":"user","content":"hi"}]}'));
 */
export function decodeCompletion(
    endpoint: Exclude<Endpoint, "service">,
    bytes: Uint8Array,
): Result<DecodedCompletion, string> {
    let json: unknown;
    try {
        json = JSON.parse(Buffer.from(bytes).toString("utf8"));
    }
    catch {
        return Err("The body is not valid JSON.");
    }
    if (endpoint === "chat") {
        const parsed = chatBody.safeParse(json);
        return parsed.success
            ? Ok(toDecodedCompletion(parsed.data, encodeChatPrompt(parsed.data)))
            : Err(formatIssues(parsed.error));
    }
    const parsed = completionBody.safeParse(json);
    return parsed.success
        ? Ok(toDecodedCompletion(parsed.data, encodeCompletionPrompt(parsed.data)))
        : Err(formatIssues(parsed.error));
}

function formatIssues(error: z.ZodError): string {
    return error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
}

/** Encodes the body of a request to an engine: the caller's body with some fields set or removed by the router. */
export function encodeEngineBody(
    body: Readonly<Record<string, unknown>>,
    engine: NonNullable<TargetCall["engine"]>,
    stream: boolean,
): string {
    const {
        max_completion_tokens: _maxCompletionTokens,
        stream_options: _streamOptions,
        user: _user,
        ...rest
    } = body;
    return JSON.stringify({
        ...rest,
        model: engine.model,
        // Engines apply the limit to each of the n choices, whereas the router's limit covers all of them.
        max_tokens: Math.ceil(engine.maxTokens / (typeof body["n"] === "number" ? body["n"] : 1)),
        cache_salt: engine.cacheSalt,
        priority: engine.priority,
        stream,
        ...(stream ? { stream_options: { include_usage: true, continuous_usage_stats: true } } : {}),
    });
}

const usageSchema = z.looseObject({
    prompt_tokens: z.number().int().min(0),
    completion_tokens: z.number().int().min(0).optional(),
    prompt_tokens_details: z.looseObject({ cached_tokens: z.number().int().min(0).optional() }).nullish(),
});

const answerSchema = z.looseObject({
    id: z.string(),
    choices: z.array(z.looseObject({ finish_reason: z.string().nullish() })),
    usage: usageSchema.nullish(),
});

/** Answer, or one event of a streamed answer. */
export interface DecodedAnswer {
    readonly body: Readonly<Record<string, unknown>>;
    readonly id: string;
    readonly hasChoices: boolean;
    readonly isFinished: boolean;
    readonly usage: Usage | undefined;
}

/** Decodes an answer of an engine; undefined when it is invalid. */
export function decodeAnswer(text: string): DecodedAnswer | undefined {
    let json: unknown;
    try {
        json = JSON.parse(text);
    }
    catch {
        return undefined;
    }
    const parsed = answerSchema.safeParse(json);
    if (!parsed.success) {
        return undefined;
    }
    const { id, choices, usage } = parsed.data;
    return {
        body: parsed.data,
        id,
        hasChoices: choices.length > 0,
        isFinished: choices.some(choice => typeof choice.finish_reason === "string"),
        usage: usage
            ? {
                promptTokens: usage.prompt_tokens,
                completionTokens: usage.completion_tokens ?? 0,
                cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
            }
            : undefined,
    };
}

/** True when the answer belongs to the request: engines append the request id to `cmpl-` or `chatcmpl-`. */
export const isAnswerOf = (answerId: string, requestId: string): boolean => answerId.endsWith(`cmpl-${requestId}`);

export const doneMarker = "[DONE]";
