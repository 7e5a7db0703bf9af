// Installs the locked dependencies when they are missing.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/vitest")) {
    const result = spawnSync("npm", ["ci"], { stdio: "inherit" });
    process.exitCode = result.status ?? 1;
}
