/** Outcomes that the callers of a load run recorded, and the figures computed from them. */
import { build, type Histogram } from "hdr-histogram-js";
import type { AccountPlan } from "./deployments";
import type { CompletionOutcome } from "./loadClient";

/** State of an order as known to its caller. */
export interface OrderRecord {
    readonly id: string;
    readonly account: string;
    sends: number;
    /**
     * `done`: the service answered, or a refusal said that the order ran. `refused`: every send was refused with
     * not_run. `unknown`: at least one send may have run.
     */
    state: "open" | "done" | "refused" | "unknown";
}

export interface AccountRecord {
    readonly plan: AccountPlan;
    sent: number;
    complete: number;
    wrong: number;
    interrupted: number;
    unreachable: number;
    refused: number;
    refusedWithinRate: number;
    readonly firstToken: Histogram;
    /** Tokens left in a token bucket with the account's rate and burst that is charged for complete answers only. */
    idealBucketLevel: number;
    idealBucketUpdatedAt: number;
}

export interface LoadRecord {
    readonly accounts: Map<string, AccountRecord>;
    readonly refusals: Map<string, number>;
    readonly orders: Map<string, OrderRecord>;
    readonly firstToken: Histogram;
}

const createHistogram = (): Histogram => build({ highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });

/** Creates the record of a run with the given accounts. */
export function createLoadRecord(plans: readonly AccountPlan[], now: number): LoadRecord {
    const accounts = new Map(plans.map(plan => [plan.account, {
        plan,
        sent: 0,
        complete: 0,
        wrong: 0,
        interrupted: 0,
        unreachable: 0,
        refused: 0,
        refusedWithinRate: 0,
        firstToken: createHistogram(),
        idealBucketLevel: plan.burst,
        idealBucketUpdatedAt: now,
    }]));
    return { accounts, refusals: new Map(), orders: new Map(), firstToken: createHistogram() };
}

export function addRefusal(record: LoadRecord, code: string, verdict: string): void {
    const name = `${code} (${verdict})`;
    record.refusals.set(name, (record.refusals.get(name) ?? 0) + 1);
}

function updateIdealBucket(account: AccountRecord, now: number): void {
    const accrued = ((now - account.idealBucketUpdatedAt) / 1000) * account.plan.rate;
    account.idealBucketLevel = Math.min(account.plan.burst, account.idealBucketLevel + accrued);
    account.idealBucketUpdatedAt = now;
}

type OutcomeHandlers = {
    readonly [Kind in CompletionOutcome["kind"]]: (
        record: LoadRecord,
        account: AccountRecord,
        outcome: Extract<CompletionOutcome, { readonly kind: Kind; }>,
        tokens: number,
    ) => void;
};

const outcomeHandlers: OutcomeHandlers = {
    complete: (record, account, outcome, tokens) => {
        account.complete += 1;
        account.idealBucketLevel = Math.max(0, account.idealBucketLevel - tokens);
        account.firstToken.recordValue(Math.round(outcome.firstTokenMs));
        record.firstToken.recordValue(Math.round(outcome.firstTokenMs));
    },
    wrong: (_record, account) => {
        account.wrong += 1;
    },
    interrupted: (record, account, outcome) => {
        account.interrupted += 1;
        addRefusal(record, `interrupted: ${outcome.code}`, "in the answer");
    },
    unreachable: (_record, account) => {
        account.unreachable += 1;
    },
    refused: (record, account, outcome, tokens) => {
        account.refused += 1;
        addRefusal(record, outcome.refusal.code, outcome.refusal.verdict);
        if (outcome.refusal.code === "rate_limited" && account.idealBucketLevel >= tokens) {
            account.refusedWithinRate += 1;
        }
    },
};

/** Records the outcome of one completion of `tokens` tokens. */
export function recordOutcome(
    record: LoadRecord,
    account: AccountRecord,
    outcome: CompletionOutcome,
    tokens: number,
): void {
    updateIdealBucket(account, performance.now());
    (outcomeHandlers[outcome.kind] as (
        record: LoadRecord,
        account: AccountRecord,
        outcome: CompletionOutcome,
        tokens: number,
    ) => void)(record, account, outcome, tokens);
}
