/** Verdicts: whether a request has run, or may have run, on a target. */
import { match } from "ts-pattern";

export type Verdict = "not_run" | "may_have_run" | "ran";

/** Evidence about one attempt to run a request on a target. */
export interface AttemptEvidence {
    /** True once the first byte of the request may have been written to a socket. */
    readonly hasWrittenBytes: boolean;
    /** `refused`: the target's protocol defines this answer as given without running the request. */
    readonly answer: "none" | "refused" | "answered";
}

function computeAttemptVerdict(attempt: AttemptEvidence): Verdict {
    if (!attempt.hasWrittenBytes) {
        return "not_run";
    }
    return match(attempt.answer)
        .with("none", () => "may_have_run" as const)
        .with("refused", () => "not_run" as const)
        .with("answered", () => "ran" as const)
        .exhaustive();
}

const verdictRank: Readonly<Record<Verdict, number>> = { not_run: 0, may_have_run: 1, ran: 2 };

/** Returns the stronger verdict: `ran` over `may_have_run` over `not_run`. */
export const mergeVerdicts = (left: Verdict, right: Verdict): Verdict =>
    verdictRank[right] > verdictRank[left] ? right : left;

/**
 * Derives the verdict of a request from all its attempts. The strongest verdict wins: one attempt that ran makes the
 * request `ran`.
 *
 * @example
 * computeVerdict([]); // "not_run"
 * computeVerdict([{ hasWrittenBytes: true, answer: "none" }]); // "may_have_run"
 */
export function computeVerdict(attempts: readonly AttemptEvidence[]): Verdict {
    return attempts.map(computeAttemptVerdict).reduce<Verdict>(mergeVerdicts, "not_run");
}
