// Runs all tests. Tests listed in KNOWN-RED.txt may fail and are printed; any other failure fails the run.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

const knownRedFile = "KNOWN-RED.txt";

/** Names of the listed tests, as `FILE > GROUP > TITLE`. */
function listKnownRed() {
    const text = existsSync(knownRedFile) ? readFileSync(knownRedFile, "utf8") : "";
    return new Set([...text.matchAll(/^test: (.+)$/gm)].map(([, name]) => name.trim()));
}

/** Results by name; a file that could not be loaded counts as a failed test with the file's name. */
function readResults(file) {
    const report = JSON.parse(readFileSync(file, "utf8"));
    return report.testResults.flatMap(({ name, status, assertionResults }) => {
        const testFile = path.relative(process.cwd(), name);
        const tests = assertionResults.map(({ ancestorTitles, title, status: result }) => ({
            name: [testFile, ...ancestorTitles, title].join(" > "),
            hasFailed: result === "failed",
        }));
        const isBroken = status === "failed" && !tests.some(({ hasFailed }) => hasFailed);
        return isBroken ? [...tests, { name: testFile, hasFailed: true }] : tests;
    });
}

/** Runs one set of tests; see `vitest.config.ts`. */
function runSet(name, extraArgs) {
    const folder = mkdtempSync(path.join(tmpdir(), "marjoramvane-tests-"));
    const reportFile = path.join(folder, "report.json");
    const args = [
        "node_modules/vitest/vitest.mjs",
        "run",
        "--passWithNoTests",
        "--reporter=default",
        "--reporter=json",
    ];
    const { status } = spawnSync(
        process.execPath,
        [...args, ...extraArgs, `--outputFile=${reportFile}`, ...process.argv.slice(2)],
        { stdio: "inherit", env: { ...process.env, MARJORAMVANE_TESTS: name } },
    );
    const results = existsSync(reportFile) ? readResults(reportFile) : undefined;
    rmSync(folder, { recursive: true });
    const hasOtherError = !results || (status !== 0 && !results.some(({ hasFailed }) => hasFailed));
    return { results: results ?? [], hasOtherError };
}

function runTests() {
    // Tests that load a process run after all others, one file and one test at a time.
    const sets = [runSet("others", []), runSet("loads", ["--no-file-parallelism", "--maxConcurrency=1"])];
    const results = sets.flatMap(set => set.results);
    const knownRed = listKnownRed();
    const failed = results.filter(({ hasFailed }) => hasFailed).map(({ name }) => name);
    const unexpected = failed.filter(name => !knownRed.has(name));
    for (const name of failed.filter(failedName => knownRed.has(failedName))) {
        console.log(`known red: ${name}`);
    }
    for (const name of unexpected) {
        console.log(`failed: ${name}`);
    }
    console.log(`${results.length - failed.length} passed, ${unexpected.length} failed`);
    const hasOtherError = sets.some(set => set.hasOtherError);
    return unexpected.length > 0 || hasOtherError || results.length === 0 ? 1 : 0;
}

process.exit(runTests());
