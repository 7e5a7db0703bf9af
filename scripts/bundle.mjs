// Bundles a TypeScript entry point into one CommonJS file.
import { build } from "esbuild";

export async function bundle(entry, outfile, { sourcemap = "inline", minify = false } = {}) {
    await build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // The CommonJS entry of ts-results cannot be bundled, so its module entry comes first.
        mainFields: ["module", "main"],
        sourcemap,
        minify,
        logLevel: "warning",
    });
}
