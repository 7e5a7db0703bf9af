import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["test/**/*.test.ts"],
        server: { deps: { inline: ["ts-results"] } },
        testTimeout: 30_000,
        hookTimeout: 30_000,
        globalSetup: ["scripts/bundleCli.mjs"],
        pool: "forks",
        maxWorkers: 4,
    },
});
