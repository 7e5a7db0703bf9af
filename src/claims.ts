/** Idempotency claims as recorded in the store. */
import { z } from "zod";
import type { RequestId, RouteId, VmId } from "./ids";
import type { AnswerRecord } from "./requests";
import type { Verdict } from "./verdict";

/** Outcome of the request that holds a claim. */
export interface ClaimEnd {
    readonly verdict: Verdict;
    /** Present when the request was answered and the answer is small enough to be replayed. */
    readonly answer?: AnswerRecord;
}

/** Value of a claim in the store. */
export interface ClaimRecord {
    /** Request that made the claim; no other request may run under it. */
    readonly request: RequestId;
    readonly vm: VmId;
    readonly route: RouteId;
    readonly bodyHash: string;
    /** Absent while the request may still be running. */
    readonly end?: ClaimEnd;
}

const recordSchema = z.object({
    request: z.string(),
    vm: z.string(),
    route: z.string(),
    bodyHash: z.string(),
    end: z.object({
        verdict: z.enum(["not_run", "may_have_run", "ran"]),
        answer: z.object({ status: z.number().int(), contentType: z.string(), body: z.string() }).optional(),
    }).optional(),
});

export const formatClaimRecord = (record: ClaimRecord): string => JSON.stringify(record);

/** Parses the value of a claim; undefined when this software version does not understand it. */
export function parseClaimRecord(text: string): ClaimRecord | undefined {
    try {
        return recordSchema.parse(JSON.parse(text)) as ClaimRecord;
    }
    catch {
        return undefined;
    }
}
