// Builds dist/marjoramvane: bundle, Node single-executable blob, postject.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { bundle } from "./bundle.mjs";

const binary = "dist/marjoramvane";
const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
mkdirSync("dist", { recursive: true });
await bundle("src/cli/main.ts", "dist/marjoramvane.cjs");
writeFileSync(
    "dist/sea.json",
    JSON.stringify({ main: "dist/marjoramvane.cjs", output: "dist/sea.blob", disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "inherit" });
rmSync(binary, { force: true });
copyFileSync(process.execPath, binary);
execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    binary,
    "NODE_SEA_BLOB",
    "dist/sea.blob",
    "--sentinel-fuse",
    fuse,
], { stdio: "inherit" });
chmodSync(binary, 0o755);
