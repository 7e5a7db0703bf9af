/** Command line of marjoramvane. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { startNode } from "../adapters/node";
import { parseSettingsFile } from "../config/settings";

const version = "0.1.0";

async function runServe(file: string): Promise<void> {
    const settings = parseSettingsFile(readFileSync(file, "utf8"));
    if (settings.err) {
        for (const fault of settings.val) {
            process.stderr.write(`${file}: ${fault.path}: ${fault.message}\n`);
        }
        process.exitCode = 2;
        return;
    }
    const node = await startNode({
        settings: settings.val,
        onExit: code => {
            // Lets the last log lines and store calls leave the process.
            setTimeout(() => process.exit(code), 100);
        },
    });
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => {
            node.drain();
        });
    }
}

async function runMain(): Promise<void> {
    const { values, positionals } = parseArgs({
        allowPositionals: true,
        options: { settings: { type: "string" }, version: { type: "boolean" } },
    });
    if (values.version) {
        process.stdout.write(`marjoramvane ${version}\n`);
        return;
    }
    if (positionals[0] === "serve" && values.settings !== undefined) {
        await runServe(values.settings);
        return;
    }
    process.stderr.write("usage: marjoramvane serve --settings FILE\n");
    process.exitCode = 2;
}

void runMain();
