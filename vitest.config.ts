import { configDefaults, defineConfig } from "vitest/config";

/** Tests that load a process so much that they run alone, after all others; see `scripts/test.mjs`. */
const loadTests = "test/**/outsideLimits*.test.ts";
const testSet = process.env["MARJORAMVANE_TESTS"];

export default defineConfig({
    test: {
        include: testSet === "loads" ? [loadTests] : ["test/**/*.test.ts"],
        exclude: [...configDefaults.exclude, ...(testSet === "others" ? [loadTests] : [])],
        server: { deps: { inline: ["ts-results"] } },
        testTimeout: 30_000,
        hookTimeout: 30_000,
        globalSetup: ["scripts/bundleCli.mjs"],
        pool: "forks",
        maxWorkers: 4,
    },
});
