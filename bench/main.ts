/**
 * `npm run bench`: the policy and the cost benchmark.
 *
 * Options: `--only policy|cost`, `--seed N`, `--requests N`, `--workers N`, `--deployment NAME`, `--case NAME` and
 * `--policy NAME` (these three can be repeated), `--json` to print the results as JSON, `--plot` to write an SVG plot.
 * Results are also written to `bench-results/`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { isMainThread, parentPort } from "node:worker_threads";
import { loadHasher } from "../src/adapters/hasher";
import type { DeploymentName, FaultCaseName } from "./cases";
import { formatCostResults, runCostBenchmark } from "./costBenchmark";
import { formatPlot } from "./plot";
import {
    deploymentNames,
    faultCaseNames,
    formatPolicyResults,
    listPolicyJobs,
    type PolicyJob,
    policyNames,
    runPolicyJob,
    runPolicyJobs,
} from "./policyBenchmark";
import type { PolicyName } from "./policyRun";

const resultsFolder = "bench-results";

function parseChoices<Name extends string>(option: string, given: readonly string[] | undefined, all: readonly Name[]) {
    const unknown = (given ?? []).filter(name => !all.includes(name as Name));
    if (unknown.length > 0) {
        throw new Error(`Unknown --${option} ${unknown.join(", ")}. Known: ${all.join(", ")}.`);
    }
    return given === undefined ? all : given as Name[];
}

async function runMain(): Promise<void> {
    const { values } = parseArgs({
        options: {
            only: { type: "string" },
            seed: { type: "string", default: "1" },
            requests: { type: "string", default: "3000" },
            workers: { type: "string", default: "4" },
            deployment: { type: "string", multiple: true },
            case: { type: "string", multiple: true },
            policy: { type: "string", multiple: true },
            json: { type: "boolean", default: false },
            plot: { type: "boolean", default: false },
        },
    });
    const print = (text: string): void => {
        process.stdout.write(`${text}\n`);
    };
    const selection = {
        seed: Number(values.seed),
        requests: Number(values.requests),
        deployments: parseChoices<DeploymentName>("deployment", values.deployment, deploymentNames),
        faults: parseChoices<FaultCaseName>("case", values.case, faultCaseNames),
        policies: parseChoices<PolicyName>("policy", values.policy, policyNames),
    };
    const script = process.argv[1] as string;
    const policy = values.only === "cost"
        ? []
        : await runPolicyJobs(listPolicyJobs(selection), { workers: Number(values.workers), script });
    const cost = values.only === "policy" ? undefined : runCostBenchmark(await loadHasher());
    const results = { seed: selection.seed, requests: selection.requests, policy, cost };
    mkdirSync(resultsFolder, { recursive: true });
    writeFileSync(`${resultsFolder}/results-seed-${selection.seed}.json`, JSON.stringify(results, undefined, 2));
    if (values.json) {
        print(JSON.stringify(results));
    }
    else {
        print(policy.length > 0 ? formatPolicyResults(policy, selection) : "");
        print(cost ? formatCostResults(cost) : "");
    }
    if (values.plot && policy.length > 0) {
        writeFileSync(`${resultsFolder}/policy-seed-${selection.seed}.svg`, formatPlot(policy));
    }
}

async function runWorker(): Promise<void> {
    const hasher = await loadHasher();
    parentPort?.on("message", (job: PolicyJob) => {
        parentPort?.postMessage(runPolicyJob(job, hasher));
    });
}

void (isMainThread ? runMain() : runWorker()).catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
});
