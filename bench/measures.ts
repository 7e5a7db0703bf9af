/** Measures of one policy run. The exact definitions are in docs/measurements.md. */
import { build } from "hdr-histogram-js";
import type { AccountId } from "../src/ids";
import { toMillis } from "../src/ids";
import { type Bucket, createBucket, reserveFromBucket, settleBucket, updateBucket } from "../src/policy/bucket";
import {
    type Arrival,
    blockTokens,
    computeAccountLimits,
    computePromptTokens,
    type Deployment,
    listAccounts,
} from "./workload";

export interface PolicyFigures {
    readonly requests: number;
    /** Cached tokens divided by prompt tokens, as counted by the engines. */
    readonly hitRate: number;
    readonly firstTokenMsP50: number;
    readonly firstTokenMsP95: number;
    readonly firstTokenMsP99: number;
    readonly firstTokenMsP999: number;
    readonly wastedTokens: number;
    /** Wasted tokens divided by prompt tokens. */
    readonly wastedShare: number;
    /** 95th percentile of the time to first token for the account with the highest one. */
    readonly worstAccountMsP95: number;
    readonly worstAccount: string;
    readonly refusedWithinRate: number;
    readonly refusedBeyondRate: number;
    /** Answers that began and did not finish. */
    readonly interrupted: number;
    /** Fraction of the time in which the engines computed prompts. */
    readonly busyShare: number;
}

export interface Measures {
    /** Records an arrival and whether it is within the account's rate. */
    recordArrival(number: number, arrival: Arrival): void;
    recordPrefill(
        number: number,
        prompt: { readonly promptTokens: number; readonly hits: number; },
        wasted: number,
    ): void;
    recordFirstToken(number: number, milliseconds: number): void;
    recordEnd(number: number, end: "finished" | "refused" | "interrupted"): void;
    hasEnded(number: number): boolean;
    countEnded(): number;
    buildFigures(busyShare: number): PolicyFigures;
}

interface RequestMeasure {
    readonly account: AccountId;
    readonly isWithinRate: boolean;
    readonly isMeasured: boolean;
    firstTokenMs: number | undefined;
    end: "finished" | "refused" | "interrupted" | undefined;
}

/** Time to first token that counts for an unanswered request in the figure of the worst-served account. */
const unansweredMs = 120_000;
/** Fraction of the requests, at the start of the run, that fill the caches and are not measured. */
export const warmUpShare = 0.15;

function createHistogram(): ReturnType<typeof build> {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: unansweredMs * 2,
        numberOfSignificantValueDigits: 3,
    });
}

export function createMeasures(deployment: Deployment, total: number): Measures {
    const rows = new Map<number, RequestMeasure>();
    const buckets = new Map<AccountId, Bucket>(
        listAccounts(deployment).map((account, index) => {
            const limits = computeAccountLimits(deployment, index);
            const bucket = createBucket({ ...limits, now: toMillis(0) });
            bucket.level = limits.burst;
            return [account, bucket];
        }),
    );
    let promptTokens = 0;
    let cachedTokens = 0;
    let wastedTokens = 0;
    let endedCount = 0;

    function isWithinRate(arrival: Arrival): boolean {
        const bucket = buckets.get(arrival.account) as Bucket;
        const tokens = computePromptTokens(arrival) + arrival.outputTokens;
        updateBucket(bucket, toMillis(arrival.at));
        const isWithin = reserveFromBucket(bucket, tokens);
        if (isWithin) {
            settleBucket(bucket, { spent: tokens });
        }
        return isWithin;
    }

    /** Lists the answered requests of each account, and how many refused ones its rate would have admitted. */
    function listAccountFigures(measured: readonly RequestMeasure[]) {
        return [...buckets.keys()].map(account => {
            const accountRows = measured.filter(row => row.account === account);
            const answered = accountRows.flatMap(row => row.firstTokenMs ?? []);
            const withinRateCount = accountRows.filter(row => row.isWithinRate).length;
            const refused = accountRows.filter(row => row.end === "refused").length;
            return {
                account,
                answered,
                refused,
                refusedWithin: Math.min(refused, Math.max(0, withinRateCount - answered.length)),
            };
        });
    }

    function computeWorstAccount(accounts: ReturnType<typeof listAccountFigures>) {
        const values = accounts.map(({ account, answered, refusedWithin }) => {
            const histogram = createHistogram();
            for (const value of [...answered, ...Array.from({ length: refusedWithin }, () => unansweredMs)]) {
                histogram.recordValue(Math.max(1, Math.round(value)));
            }
            return { worstAccount: account, worstAccountMsP95: histogram.getValueAtPercentile(95) };
        });
        return values.reduce((worst, value) => (value.worstAccountMsP95 > worst.worstAccountMsP95 ? value : worst));
    }

    return {
        recordArrival: (number, arrival) => {
            rows.set(number, {
                account: arrival.account,
                isWithinRate: isWithinRate(arrival),
                isMeasured: number >= total * warmUpShare,
                firstTokenMs: undefined,
                end: undefined,
            });
        },
        recordPrefill: (number, prompt, wasted) => {
            if (rows.get(number)?.isMeasured) {
                promptTokens += prompt.promptTokens;
                cachedTokens += Math.min(prompt.promptTokens, prompt.hits * blockTokens);
                wastedTokens += wasted;
            }
        },
        recordFirstToken: (number, milliseconds) => {
            const row = rows.get(number);
            if (row) {
                row.firstTokenMs ??= milliseconds;
            }
        },
        recordEnd: (number, end) => {
            const row = rows.get(number);
            if (row && row.end === undefined) {
                row.end = end;
                endedCount += 1;
            }
        },
        hasEnded: number => rows.get(number)?.end !== undefined,
        countEnded: () => endedCount,
        buildFigures: busyShare => {
            const measured = [...rows.values()].filter(row => row.isMeasured);
            const histogram = createHistogram();
            for (const { firstTokenMs } of measured) {
                if (firstTokenMs !== undefined) {
                    histogram.recordValue(Math.max(1, Math.round(firstTokenMs)));
                }
            }
            const accounts = listAccountFigures(measured);
            const refused = accounts.reduce((sum, { refused }) => sum + refused, 0);
            const within = accounts.reduce((sum, { refusedWithin }) => sum + refusedWithin, 0);
            return {
                requests: measured.length,
                hitRate: promptTokens === 0 ? 0 : cachedTokens / promptTokens,
                firstTokenMsP50: histogram.getValueAtPercentile(50),
                firstTokenMsP95: histogram.getValueAtPercentile(95),
                firstTokenMsP99: histogram.getValueAtPercentile(99),
                firstTokenMsP999: histogram.getValueAtPercentile(99.9),
                wastedTokens,
                wastedShare: promptTokens === 0 ? 0 : wastedTokens / promptTokens,
                ...computeWorstAccount(accounts),
                refusedWithinRate: within,
                refusedBeyondRate: refused - within,
                interrupted: measured.filter(row => row.end === "interrupted").length,
                busyShare,
            };
        },
    };
}
