/** `explain`: why a request was routed to its target, and its outcome. */
import { z } from "zod";
import { type Command, formatColumns, operatorOptions } from "../command";
import { runOperatorCall } from "../operatorClient";

const explanationSchema = z.looseObject({
    request: z.string(),
    account: z.string().optional(),
    route: z.string().optional(),
    state: z.string(),
    promptTokens: z.number(),
    retries: z.number(),
    reservations: z.array(z.looseObject({ source: z.string(), open: z.number(), spent: z.number() })),
    decisions: z.array(z.looseObject({
        attempt: z.number(),
        chosen: z.string(),
        candidates: z.array(z.looseObject({
            target: z.string(),
            scoreMs: z.number(),
            waitMs: z.number(),
            hitTokens: z.number(),
            missedTokens: z.number(),
        })),
    })),
    attempts: z.array(z.looseObject({ target: z.string(), outcome: z.string() })),
    refusal: z.string().optional(),
});
type Explanation = z.output<typeof explanationSchema>;

function formatDecision({ attempt, chosen, candidates }: Explanation["decisions"][number], outcome: string): string {
    const rows = candidates.map(row => [
        row.target === chosen ? `* ${row.target}` : `  ${row.target}`,
        ...[row.scoreMs, row.waitMs, row.hitTokens, row.missedTokens].map(value => String(Math.round(value))),
    ]);
    return `\nattempt ${attempt} on ${chosen}: ${outcome}\n${
        formatColumns([["  TARGET", "SCORE MS", "WAIT MS", "HIT TOKENS", "MISSED TOKENS"], ...rows])
    }`;
}

function formatExplanation(explanation: Explanation): string {
    const { account, route, state, refusal, promptTokens, retries, reservations, attempts } = explanation;
    return [
        `request ${explanation.request}: ${state}${refusal === undefined ? "" : `, refused with ${refusal}`}\n`,
        `account ${account ?? "(none)"}, route ${route ?? "(none)"}, `,
        `at most ${promptTokens} prompt tokens, ${retries} retries\n`,
        ...reservations.map(row => `tokens from ${row.source}: ${row.spent} spent, ${row.open} reserved\n`),
        ...explanation.decisions.map((decision, index) => formatDecision(decision, attempts[index]?.outcome ?? "")),
    ].join("");
}

export const explainCommand: Command = {
    summary: "Explains where a request went and why. Ask the VM that accepted it.",
    arguments: ["REQUEST_ID"],
    options: operatorOptions,
    run: invocation =>
        runOperatorCall(invocation, {
            method: "GET",
            path: `/operator/requests/${encodeURIComponent(invocation.positionals[0] ?? "")}`,
            schema: explanationSchema,
            format: formatExplanation,
        }),
};
