/** Messages between the processes of the fleet. */
import { z } from "zod";
import { type StoreEra, toFingerprint, toStoreEra } from "../ids";
import type { CopyAnswer, RelayAnswer, RelayedChanges } from "../storeChanges";

const routeAnswersSchema = z.tuple([
    z.string(),
    z.number().min(0),
    z.number().min(0),
    z.number().min(0),
    z.array(z.tuple([z.number().int().min(0), z.number().min(0)])).max(64),
]);
const serviceRolloutSchema = z.tuple([
    z.string(),
    z.number(),
    z.enum(["observing", "shifting", "completed", "rolledBack"]),
    z.number().min(0),
    z.boolean(),
    z.array(routeAnswersSchema).max(4096),
    z.array(z.tuple([z.string(), z.array(routeAnswersSchema).max(4096)])).max(16384),
]);

const tokenCounts = z.array(z.tuple([z.string(), z.number()])).max(4096);
export const stateSchema = z.object({
    vm: z.string(),
    startedAt: z.number(),
    usage: tokenCounts,
    assumedUsage: tokenCounts.optional(),
    knownStart: z.number(),
    earlier: tokenCounts.optional(),
    endedRuns: z.array(z.tuple([z.string(), z.number(), z.number().min(0), tokenCounts])).max(1024).optional(),
    named: z.array(z.tuple([z.string(), z.number(), z.number()])).max(1024),
    load: z.array(z.tuple([z.string(), z.number(), z.number()])).max(16384),
    queued: z.array(z.tuple([z.string(), z.array(z.tuple([z.number().int().min(0).max(9), z.number()])).max(16)])).max(
        16384,
    )
        .optional(),
    failures: z.array(
        z.tuple([z.string(), z.number().min(0), z.number().min(0), z.number().min(0), z.number().min(-1)]),
    )
        .max(16384).optional(),
    partsHeard: z.number(),
    partsTold: z.number(),
    parts: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()])).max(16384)])).max(4096),
    crashes: z.array(
        z.tuple([z.string(), z.number(), z.boolean(), z.array(z.tuple([z.string(), z.number()])).max(1024)]),
    ).max(256).optional(),
    answered: tokenCounts.optional(),
    quarantined: z.array(z.tuple([z.string(), z.number(), z.number()])).max(1024).optional(),
    limits: z.array(z.tuple([z.string(), z.number(), z.number()])).max(16384).optional(),
    endedLimits: z.array(z.tuple([z.string(), z.number()])).max(16384).optional(),
    departures: z.array(z.tuple([z.string(), z.number(), z.boolean()])).max(4096).optional(),
    requests: tokenCounts.optional(),
    serviceRollouts: z.array(serviceRolloutSchema).max(1024).optional(),
    configuration: z.object({
        era: z.number().int().min(0),
        revision: z.number().int().min(0),
        fingerprint: z.string().max(64),
    }).optional(),
});

/** Maximum number of changes in one answer. */
const maxChanges = 4096;

export const relayAnswerSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("changes"),
        changes: z.object({
            items: z.array(z.object({
                key: z.string(),
                value: z.string().optional(),
                createRevision: z.number(),
                revision: z.number(),
            })).max(maxChanges),
            revision: z.number(),
            /** Absent from processes that know no eras, as in calls. */
            era: z.number().optional(),
            confirmedAgeMs: z.number().min(0),
            reachableMs: z.number().min(0),
            rowsMayReturnMs: z.number().min(0).optional(),
        }),
    }),
    z.object({ kind: z.literal("readStore") }),
    z.object({ kind: z.literal("unavailable"), reason: z.enum(["not_a_reader", "outdated"]) }),
]);

/** Older processes read the revision and know no era, so the two are separate fields on the wire. */
export function encodeRelayAnswer(answer: RelayAnswer): z.input<typeof relayAnswerSchema> {
    if (answer.kind !== "changes") {
        return answer;
    }
    const { position, items, ...ages } = answer.changes;
    return { kind: "changes", changes: { items: [...items], ...position, ...ages } };
}

/** Decodes an answer; one without an era belongs to that of the call, as it did before there were eras. */
export function decodeRelayAnswer(answer: z.output<typeof relayAnswerSchema>, callEra: StoreEra): RelayAnswer {
    if (answer.kind !== "changes") {
        return answer;
    }
    const { era = callEra, revision, ...changes } = answer.changes;
    return { kind: "changes", changes: { ...changes, position: { era: toStoreEra(era), revision } } as RelayedChanges };
}

/** Maximum length of a compressed configuration. */
const maxPackedLength = 512 * 1024;

export const copyAnswerSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("copy"),
        era: z.number(),
        revision: z.number(),
        fingerprint: z.string(),
        packed: z.string().max(maxPackedLength),
    }),
    z.object({ kind: z.literal("absent") }),
]);

export function encodeCopyAnswer(answer: CopyAnswer): z.input<typeof copyAnswerSchema> {
    if (answer.kind === "absent") {
        return answer;
    }
    const { position, fingerprint, packed } = answer.copy;
    return { kind: "copy", ...position, fingerprint, packed };
}

export function decodeCopyAnswer(answer: z.output<typeof copyAnswerSchema>): CopyAnswer {
    if (answer.kind === "absent") {
        return answer;
    }
    const { era, revision, fingerprint, packed } = answer;
    const position = { era: toStoreEra(era), revision };
    return { kind: "copy", copy: { position, fingerprint: toFingerprint(fingerprint), packed } };
}
