/**
 * Demo: the platform, both deployments' targets and four entry processes on loopback, with real traffic. One entry
 * process is killed and one engine crashes part way. Prints a table and exits with 1 when a promise was broken.
 */
import { blockTokens, buildEntries, type DeploymentPlan, deployments, mergeEntries, startEngines } from "./deployments";
import type { Engine } from "./engine";
import { runLoad } from "./load";
import { createLoadRecord, type LoadRecord } from "./loadRecord";
import { buildReport, formatReport } from "./loadReport";
import { sendConfiguration } from "./operatorClient";
import { type Platform, startPlatform } from "./platform";
import { type RouterProcess, startRouter, stopRouter, waitForRouter } from "./processes";
import { type Service, startService } from "./service";

const entryCount = 4;
const loadMs = 24_000;
/** Time for the first token grants: a bucket owner starts with an empty bucket. */
const settleMs = 3000;
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

function buildDocument(parts: readonly Deployment[]): Record<string, unknown> {
    return mergeEntries(
        parts.map(({ plan, engines, services }) =>
            buildEntries(plan, engines.map(engine => engine.address), services.map(service => service.address))
        ),
    );
}

function startEntries(platform: Platform): Promise<RouterProcess[]> {
    return Promise.all(Array.from({ length: entryCount }, (_, index) =>
        startRouter({
            vm: `entry-${index + 1}`,
            dataCentre: `sulina-dc-${index % 3}`,
            storeAddress: platform.address,
            vmListAddress: platform.address,
            overrides: { membership: { leaseSeconds: 4 } },
        })));
}

/** Prints one line of progress each few seconds until stopped. */
function startProgress(parts: readonly Deployment[]): () => void {
    const startedAt = performance.now();
    const timer = setInterval(() => {
        const counts = parts.map(({ plan, record }) => {
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
async function runFaults(parts: readonly Deployment[], entries: readonly RouterProcess[]): Promise<void> {
    await wait(loadMs * 0.35);
    const killed = entries[1] as RouterProcess;
    printLine(`  killing ${killed.vm}`);
    await stopRouter(killed);
    await wait(loadMs * 0.25);
    for (const { plan, engines } of parts) {
        printLine(`  crashing engine 1 of ${plan.name}`);
        engines[0]?.crash();
    }
}

async function runDemo(): Promise<number> {
    printLine("Starting the platform, 14 engines, 6 plain services and 4 entry processes.");
    const platform = await startPlatform();
    const parts = await Promise.all(deployments.map(startDeployment));
    const entries = await startEntries(platform);
    try {
        await sendConfiguration(entries[0] as RouterProcess, buildDocument(parts));
        await Promise.all(entries.map(entry => waitForRouter(entry)));
        await wait(settleMs);
        printLine(`Sending traffic for ${loadMs / 1000} s.`);
        const stopProgress = startProgress(parts);
        const faults = runFaults(parts, entries);
        const addresses = entries.map(entry => entry.callers);
        await Promise.all(
            parts.map(({ plan, record }, index) =>
                runLoad({ plan, entries: addresses, durationMs: loadMs, seed: seed + index, record })
            ),
        );
        await faults;
        stopProgress();
        return printReports(parts);
    }
    finally {
        await Promise.all(entries.map(stopRouter));
        await Promise.all(
            parts.flatMap(({ engines, services }) => [...engines, ...services].map(target => target.stop())),
        );
        await platform.stop();
    }
}

function printReports(parts: readonly Deployment[]): number {
    let broken = 0;
    for (const part of parts) {
        const report = buildReport(part, blockTokens);
        printLine("");
        printLine(formatReport(part.plan.name, report.rows));
        for (const promise of report.brokenPromises) {
            printLine(`  BROKEN: ${promise}`);
        }
        broken += report.brokenPromises.length;
    }
    printLine(broken === 0 ? "All checked promises held." : `${broken} promises were broken.`);
    return broken === 0 ? 0 : 1;
}

void runDemo().then(code => process.exit(code), (error: unknown) => {
    printLine(error instanceof Error ? error.stack ?? error.message : String(error));
    process.exit(1);
});
