// Bundles the command line, which tests and the demo start as separate processes. Also a vitest global setup.
import { bundle } from "./bundle.mjs";

export async function setup() {
    await bundle("src/cli/main.ts", "build/marjoramvane.cjs");
}

if (process.argv[1]?.endsWith("bundleCli.mjs")) {
    await setup();
}
