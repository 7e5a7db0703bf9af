/** Policy benchmark: runs every policy on every case of both deployments on worker threads. */
import { Worker } from "node:worker_threads";
import type { Hasher } from "../src/policy/prefix";
import { baselineNames } from "./baselines";
import { type DeploymentName, deployments, type FaultCaseName, faultCases } from "./cases";
import { checkGoals } from "./goals";
import type { PolicyFigures } from "./measures";
import { type PolicyName, routerPolicy, runPolicy } from "./policyRun";

/** Parameters of one run, which are sent to a worker thread. */
export interface PolicyJob {
    readonly deployment: DeploymentName;
    readonly fault: FaultCaseName;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly requests: number;
    /** Replaces the affinity weight of the deployment's route. */
    readonly affinityWeight?: number;
}

export interface PolicyResult extends PolicyJob {
    readonly figures: PolicyFigures;
    /** Requests without a recorded end; more than 0 means a fault in the simulation or in the router. */
    readonly unended: number;
}

export interface PolicySelection {
    readonly seed: number;
    readonly requests: number;
    readonly deployments: readonly DeploymentName[];
    readonly faults: readonly FaultCaseName[];
    readonly policies: readonly PolicyName[];
}

export const policyNames: readonly PolicyName[] = [...baselineNames, routerPolicy];
export const deploymentNames = Object.keys(deployments) as DeploymentName[];
export const faultCaseNames = Object.keys(faultCases) as FaultCaseName[];

/** Lowest and highest affinity weight; both are run on the calm case and shown in the table. */
const extremeWeights = [0, 10];

export function runPolicyJob(job: PolicyJob, hasher: Hasher): PolicyResult {
    const run = runPolicy({ ...job, deployment: deployments[job.deployment], fault: faultCases[job.fault], hasher });
    return { ...job, figures: run.figures, unended: run.arrivalCount - run.endedCount };
}

export function listPolicyJobs(selection: PolicySelection): PolicyJob[] {
    const { seed, requests, policies } = selection;
    return selection.deployments.flatMap(deployment =>
        selection.faults.flatMap(fault => {
            const base = { deployment, fault, seed, requests };
            const extremeJobs = fault === "calm" && policies.includes(routerPolicy)
                ? extremeWeights.map(affinityWeight => ({
                    ...base,
                    policy: routerPolicy as PolicyName,
                    affinityWeight,
                }))
                : [];
            return [...policies.map(policy => ({ ...base, policy })), ...extremeJobs];
        })
    );
}

/** Runs jobs on worker threads; each worker takes the next job when it has finished its last one. */
export async function runPolicyJobs(
    jobs: readonly PolicyJob[],
    { workers, script }: { readonly workers: number; readonly script: string; },
): Promise<readonly PolicyResult[]> {
    const results: PolicyResult[] = [];
    let next = 0;
    const runWorker = (): Promise<void> =>
        new Promise((resolve, reject) => {
            const worker = new Worker(script);
            const sendNext = (): void => {
                const index = next;
                next += 1;
                if (index >= jobs.length) {
                    void worker.terminate().then(() => {
                        resolve();
                    });
                    return;
                }
                worker.once("message", (result: PolicyResult) => {
                    results[index] = result;
                    sendNext();
                });
                worker.postMessage(jobs[index]);
            };
            worker.on("error", reject);
            sendNext();
        });
    await Promise.all(Array.from({ length: Math.min(workers, jobs.length) }, runWorker));
    return results;
}

const columns: readonly { readonly title: string; readonly get: (figures: PolicyFigures) => string; }[] = [
    { title: "hit rate", get: figures => figures.hitRate.toFixed(3) },
    { title: "p95 ms", get: figures => String(figures.firstTokenMsP95) },
    { title: "p99 ms", get: figures => String(figures.firstTokenMsP99) },
    { title: "p99.9 ms", get: figures => String(figures.firstTokenMsP999) },
    { title: "wasted ktok", get: figures => String(Math.round(figures.wastedTokens / 1000)) },
    { title: "wasted", get: figures => figures.wastedShare.toFixed(3) },
    { title: "worst acct p95", get: figures => String(figures.worstAccountMsP95) },
    { title: "refused in rate", get: figures => String(figures.refusedWithinRate) },
    { title: "beyond", get: figures => String(figures.refusedBeyondRate) },
    { title: "interrupted", get: figures => String(figures.interrupted) },
    { title: "busy", get: figures => figures.busyShare.toFixed(2) },
];

const formatRow = (name: string, cells: readonly string[]): string => `| ${name} | ${cells.join(" | ")} |`;

/** Formats the results of one case as a Markdown table with its goals. */
function formatCase(deployment: DeploymentName, fault: FaultCaseName, results: readonly PolicyResult[]): string {
    const lines = [
        `${deployments[deployment].name}, ${fault}`,
        "",
        formatRow("policy", columns.map(column => column.title)),
        formatRow("---", columns.map(() => "---")),
    ];
    for (const { policy, affinityWeight, figures } of results) {
        const name = affinityWeight === undefined ? policy : `${policy}, weight ${affinityWeight}`;
        lines.push(formatRow(name, columns.map(column => column.get(figures))));
    }
    const defaultWeightResults = results.filter(result => result.affinityWeight === undefined);
    const goals = checkGoals(Object.fromEntries(defaultWeightResults.map(result => [result.policy, result.figures])));
    lines.push("", ...goals.map(({ goal, isMet, detail }) => `${isMet ? "met   " : "MISSED"} ${goal}: ${detail}`));
    const unended = results.reduce((sum, result) => sum + result.unended, 0);
    if (unended > 0) {
        lines.push(`FAULT  ${unended} requests did not end`);
    }
    return lines.join("\n");
}

export function formatPolicyResults(results: readonly PolicyResult[], selection: PolicySelection): string {
    return selection.deployments.flatMap(deployment =>
        selection.faults.map(fault =>
            formatCase(
                deployment,
                fault,
                results.filter(result => result.deployment === deployment && result.fault === fault),
            )
        )
    ).join("\n\n");
}
