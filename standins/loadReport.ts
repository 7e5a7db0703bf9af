/** Report of a load run: figures from callers and targets as rows to print, and the guarantees that were violated. */
import type { DeploymentPlan } from "./deployments";
import type { Engine, EngineRun } from "./engine";
import type { AccountRecord, LoadRecord } from "./loadRecord";
import type { Service } from "./service";

export interface ReportInput {
    readonly plan: DeploymentPlan;
    readonly record: LoadRecord;
    readonly engines: readonly Engine[];
    readonly services: readonly Service[];
}

export interface ReportRow {
    readonly name: string;
    readonly value: string;
}

export interface LoadReport {
    readonly rows: readonly ReportRow[];
    readonly violations: readonly string[];
}

const formatPercent = (part: number, whole: number): string =>
    whole === 0 ? "-" : `${((part / whole) * 100).toFixed(1)} %`;

const listRuns = (engines: readonly Engine[]): EngineRun[] => engines.flatMap(engine => [...engine.runs]);

/** Prompt tokens that were computed again although the same blocks had been computed before for the same account. */
function computeRecomputedTokens(runs: readonly EngineRun[], blockTokens: number): number {
    const computedBlocks = new Set<string>();
    let recomputed = 0;
    for (const run of [...runs].sort((left, right) => left.at - right.at)) {
        const blocks = String(run.headers["x-prefix-blocks"] ?? "").split(",").filter(block => block !== "");
        const cached = Math.floor(run.cachedTokens / blockTokens);
        recomputed += blocks.slice(cached).filter(block => computedBlocks.has(block)).length * blockTokens;
        for (const block of blocks) {
            computedBlocks.add(block);
        }
    }
    return recomputed;
}

/** Complete answers divided by the requests that the account's rate allowed. */
function computeServedFraction(account: AccountRecord): number {
    return account.sent === 0
        ? 1
        : account.complete / (account.sent - account.refused + account.refusedWithinRate || 1);
}

function findWorstServed(record: LoadRecord): AccountRecord | undefined {
    return [...record.accounts.values()].sort((left, right) =>
        computeServedFraction(left) - computeServedFraction(right)
        || right.firstToken.getValueAtPercentile(95) - left.firstToken.getValueAtPercentile(95)
    )[0];
}

interface OrderCounts {
    readonly doubled: number;
    readonly lost: number;
    readonly falseNotRun: number;
    readonly unknown: number;
}

function computeOrderCounts({ record, services }: ReportInput): OrderCounts {
    const runs = new Map<string, number>();
    for (const service of services) {
        for (const [id, count] of Object.entries(service.getRunCounts().byKey)) {
            runs.set(id, (runs.get(id) ?? 0) + count);
        }
    }
    const orders = [...record.orders.values()];
    return {
        doubled: orders.filter(order => (runs.get(order.id) ?? 0) > 1).length,
        lost: orders.filter(order => order.state === "done" && !runs.has(order.id)).length,
        falseNotRun: orders.filter(order => order.state === "refused" && runs.has(order.id)).length,
        unknown: orders.filter(order => order.state === "unknown").length,
    };
}

/** Highest excess over `burst + rate * window` of any time window, in tokens; 0 or less when the limit was kept. */
export function computeRateExcess(
    runs: readonly { readonly at: number; readonly tokens: number; }[],
    { rate, burst }: { readonly rate: number; readonly burst: number; },
): number {
    const sorted = [...runs].sort((left, right) => left.at - right.at);
    let highestExcess = Number.NEGATIVE_INFINITY;
    let level = 0;
    let lastRunAt = sorted[0]?.at ?? 0;
    for (const run of sorted) {
        level = Math.max(0, level - ((run.at - lastRunAt) / 1000) * rate) + run.tokens;
        lastRunAt = run.at;
        highestExcess = Math.max(highestExcess, level - burst);
    }
    return highestExcess;
}

/**
 * Requests reach the engines a varying time after their admission. Those admitted within one window can therefore
 * arrive within a window that is up to this much shorter.
 */
const admissionSkewMs = 300;

function listRateViolations({ plan, engines }: ReportInput): string[] {
    const runs = listRuns(engines);
    return plan.accounts.flatMap(account => {
        const accountRuns = runs
            .filter(run => run.body.includes(`of ${account.account}:`))
            .map(run => ({ at: run.at, tokens: run.promptTokens }));
        const slack = (account.rate * admissionSkewMs) / 1000;
        const excess = computeRateExcess(accountRuns, account) - slack;
        return excess > 0
            ? [`${account.account} received ${Math.round(excess)} tokens more than its rate and burst allow`]
            : [];
    });
}

function listViolations(input: ReportInput): string[] {
    const accounts = [...input.record.accounts.values()];
    const orders = computeOrderCounts(input);
    const wrong = accounts.reduce((sum, account) => sum + account.wrong, 0);
    const keys = input.plan.accounts.map(account => account.key);
    const hasLeakedKey = listRuns(input.engines).some(run =>
        keys.some(key => run.body.includes(key) || JSON.stringify(run.headers).includes(key))
    );
    return [
        ...(wrong > 0 ? [`${wrong} answers ended as complete with wrong text`] : []),
        ...(orders.doubled > 0 ? [`${orders.doubled} orders ran more than once`] : []),
        ...(orders.lost > 0 ? [`${orders.lost} orders were confirmed but did not run`] : []),
        ...(orders.falseNotRun > 0 ? [`${orders.falseNotRun} orders ran although every refusal said not_run`] : []),
        ...(hasLeakedKey ? ["a key reached an engine"] : []),
        ...listRateViolations(input),
    ];
}

/** Computes the report of one deployment. */
export function buildReport(input: ReportInput, blockTokens: number): LoadReport {
    const { record, engines } = input;
    const accounts = [...record.accounts.values()];
    const runs = listRuns(engines);
    const computeTotal = (getCount: (account: AccountRecord) => number): number =>
        accounts.reduce((sum, account) => sum + getCount(account), 0);
    const promptTokens = runs.reduce((sum, run) => sum + run.promptTokens, 0);
    const cachedTokens = runs.reduce((sum, run) => sum + run.cachedTokens, 0);
    const orders = computeOrderCounts(input);
    const worst = findWorstServed(record);
    const formatQuantile = (percent: number): string => `${record.firstToken.getValueAtPercentile(percent)} ms`;
    const rows = [
        {
            name: "requests sent / complete",
            value: `${computeTotal(account => account.sent)} / ${computeTotal(account => account.complete)}`,
        },
        {
            name: "refused / interrupted / unreachable",
            value: `${computeTotal(account => account.refused)} / ${computeTotal(account => account.interrupted)} / ${
                computeTotal(account => account.unreachable)
            }`,
        },
        { name: "refused although within rate", value: String(computeTotal(account => account.refusedWithinRate)) },
        { name: "prefix hit rate", value: formatPercent(cachedTokens, promptTokens) },
        {
            name: "first token p50 / p95 / p99",
            value: `${formatQuantile(50)} / ${formatQuantile(95)} / ${formatQuantile(99)}`,
        },
        {
            name: "wasted recomputation",
            value: formatPercent(computeRecomputedTokens(runs, blockTokens), promptTokens),
        },
        {
            name: "worst-served client account",
            value: worst
                ? `${worst.plan.account}: ${formatPercent(computeServedFraction(worst), 1)} complete, p95 ${
                    worst.firstToken.getValueAtPercentile(95)
                } ms`
                : "-",
        },
        {
            name: "orders sent / doubled / lost / unknown",
            value: `${record.orders.size} / ${orders.doubled} / ${orders.lost} / ${orders.unknown}`,
        },
        ...[...record.refusals].map(([code, count]) => ({ name: `refusal ${code}`, value: String(count) })),
    ];
    return { rows, violations: listViolations(input) };
}

/** Formats rows as a table with a title. */
export function formatReport(title: string, rows: readonly ReportRow[]): string {
    const width = Math.max(...rows.map(row => row.name.length));
    return [title, ...rows.map(row => `  ${row.name.padEnd(width)}  ${row.value}`), ""].join("\n");
}
