/**
 * Demo: the platform, the targets of both deployments and four entry processes on loopback, with real traffic. One
 * entry process is killed and one engine of each deployment crashes during the run. Prints a table for each deployment
 * and exits with 1 when a guarantee was violated.
 */
import { type Platform, startPlatform } from "./completionsPlatform";
import {
    blockTokens,
    buildConfigurationEntries,
    type DeploymentPlan,
    deployments,
    mergeConfigurationEntries,
    startEngines,
} from "./deployments";
import type { Engine } from "./engine";
import { runLoad } from "./load";
import { createLoadRecord, type LoadRecord } from "./loadRecord";
import { buildReport, formatReport } from "./loadReport";
import { sendConfiguration } from "./operatorClient";
import { type RouterProcess, startRouter, stopRouter, waitForRouter } from "./processes";
import { type Service, startService } from "./service";

const entryCount = 4;
const loadMs = 24_000;
/** Time for the first token grants to arrive: the owner of a token bucket starts with an empty bucket. */
const initialGrantWaitMs = 3000;
const seed = 20_261_204;

interface Deployment {
    readonly plan: DeploymentPlan;
    readonly engines: readonly Engine[];
    readonly services: readonly Service[];
    readonly record: LoadRecord;
}

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

function printLine(text: string): void {
    process.stdout.write(`${text}\n`);
}

async function startDeployment(plan: DeploymentPlan): Promise<Deployment> {
    const engines = await startEngines(plan);
    const services = await Promise.all(Array.from({ length: plan.services }, () => startService()));
    return { plan, engines, services, record: createLoadRecord(plan.accounts, performance.now()) };
}

function buildDocument(runningDeployments: readonly Deployment[]): Record<string, unknown> {
    return mergeConfigurationEntries(
        runningDeployments.map(({ plan, engines, services }) =>
            buildConfigurationEntries(
                plan,
                engines.map(engine => engine.address),
                services.map(service => service.address),
            )
        ),
    );
}

function startEntryProcesses(platform: Platform): Promise<RouterProcess[]> {
    return Promise.all(Array.from({ length: entryCount }, (_, index) =>
        startRouter({
            vm: `entry-${index + 1}`,
            dataCentre: `sulina-dc-${index % 3}`,
            storeAddress: platform.address,
            vmListAddress: platform.address,
            overrides: { membership: { leaseSeconds: 4 } },
        })));
}

/** Prints a progress line every 4 seconds until the returned function is called. */
function startProgress(runningDeployments: readonly Deployment[]): () => void {
    const startedAt = performance.now();
    const timer = setInterval(() => {
        const counts = runningDeployments.map(({ plan, record }) => {
            const accounts = [...record.accounts.values()];
            const sent = accounts.reduce((sum, account) => sum + account.sent, 0);
            const complete = accounts.reduce((sum, account) => sum + account.complete, 0);
            return `${plan.name} ${complete}/${sent} complete, ${record.orders.size} orders`;
        });
        printLine(`  ${Math.round((performance.now() - startedAt) / 1000)} s: ${counts.join("; ")}`);
    }, 4000);
    return () => {
        clearInterval(timer);
    };
}

/** Kills one entry process and crashes one engine of each deployment while the load runs. */
async function runFaults(runningDeployments: readonly Deployment[], entries: readonly RouterProcess[]): Promise<void> {
    await wait(loadMs * 0.35);
    const killedEntry = entries[1] as RouterProcess;
    printLine(`  killing ${killedEntry.vm}`);
    await stopRouter(killedEntry);
    await wait(loadMs * 0.25);
    for (const { plan, engines } of runningDeployments) {
        printLine(`  crashing engine 1 of ${plan.name}`);
        engines[0]?.crash();
    }
}

async function runDemo(): Promise<number> {
    printLine("Starting the platform, 14 engines, 6 plain services and 4 entry processes.");
    const platform = await startPlatform();
    const runningDeployments = await Promise.all(deployments.map(startDeployment));
    const entries = await startEntryProcesses(platform);
    try {
        await sendConfiguration(entries[0] as RouterProcess, buildDocument(runningDeployments));
        await Promise.all(entries.map(entry => waitForRouter(entry)));
        await wait(initialGrantWaitMs);
        printLine(`Sending traffic for ${loadMs / 1000} s.`);
        const stopProgress = startProgress(runningDeployments);
        const faults = runFaults(runningDeployments, entries);
        const addresses = entries.map(entry => entry.callerAddress);
        await Promise.all(
            runningDeployments.map(({ plan, record }, index) =>
                runLoad({ plan, entries: addresses, durationMs: loadMs, seed: seed + index, record })
            ),
        );
        await faults;
        stopProgress();
        return printReports(runningDeployments);
    }
    finally {
        await Promise.all(entries.map(stopRouter));
        await Promise.all(
            runningDeployments.flatMap(({ engines, services }) =>
                [...engines, ...services].map(target => target.stop())
            ),
        );
        await platform.stop();
    }
}

function printReports(runningDeployments: readonly Deployment[]): number {
    let violationCount = 0;
    for (const deployment of runningDeployments) {
        const report = buildReport(deployment, blockTokens);
        printLine("");
        printLine(formatReport(deployment.plan.name, report.rows));
        for (const violation of report.violations) {
            printLine(`  VIOLATED: ${violation}`);
        }
        violationCount += report.violations.length;
    }
    printLine(violationCount === 0 ? "All checked guarantees held." : `${violationCount} guarantees were violated.`);
    return violationCount === 0 ? 0 : 1;
}

void runDemo().then(code => process.exit(code), (error: unknown) => {
    printLine(error instanceof Error ? error.stack ?? error.message : String(error));
    process.exit(1);
});
