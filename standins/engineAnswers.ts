/** Bodies of the completions that the engine stand-in receives and sends. */
import { createHash } from "node:crypto";
import type { EngineRun } from "./engine";

export interface CompletionBody {
    readonly model: string;
    readonly stream?: boolean;
    readonly max_tokens?: number;
    readonly cache_salt?: string;
    readonly prompt?: string | string[];
    readonly messages?: readonly { readonly role: string; readonly content?: unknown; }[];
}

export function computePrompt(body: CompletionBody): string {
    if (body.messages) {
        return body.messages.map(message => `${message.role}\n${String(message.content)}`).join("\n");
    }
    return Array.isArray(body.prompt) ? body.prompt.join("") : body.prompt ?? "";
}

/** Returns the text of the generated token at `index`. It depends on the prompt, so that callers can check answers. */
export function computeToken(prompt: string, index: number): string {
    return ` ${createHash("sha256").update(`${prompt}#${index}`).digest("hex").slice(0, 4)}`;
}

export function createUsage(run: EngineRun, completionTokens: number): Record<string, unknown> {
    return {
        prompt_tokens: run.promptTokens,
        completion_tokens: completionTokens,
        total_tokens: run.promptTokens + completionTokens,
        prompt_tokens_details: { cached_tokens: run.cachedTokens },
    };
}

export function createChoice(isChat: boolean, isStream: boolean, text: string, finishReason: string | null): unknown {
    if (!isChat) {
        return { index: 0, text, finish_reason: finishReason };
    }
    return {
        index: 0,
        [isStream ? "delta" : "message"]: { role: "assistant", content: text },
        finish_reason: finishReason,
    };
}
