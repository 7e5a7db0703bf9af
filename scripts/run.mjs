// Bundles a TypeScript entry point and runs it in this process: node scripts/run.mjs FILE [ARGS].
import { createRequire } from "node:module";
import path from "node:path";
import { bundle } from "./bundle.mjs";

const [entry, ...args] = process.argv.slice(2);
const outfile = path.resolve("build", `${entry.replaceAll("/", "-").replace(/\.ts$/, "")}-${process.pid}.cjs`);
await bundle(entry, outfile);
process.argv = [process.argv[0], outfile, ...args];
createRequire(import.meta.url)(outfile);
