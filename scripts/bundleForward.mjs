// Bundles the command line, minified, for the platform that starts it with Node.
import { bundle } from "./bundle.mjs";

await bundle("src/cli/main.ts", "target/marjoramvane.cjs", { sourcemap: false, minify: true });
