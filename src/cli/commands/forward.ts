/** `forward`: runs one process in the forwarding mode. */
import { platformPorts } from "../../../platform";
import { startForwardNode } from "../../forward/adapters/node";
import { parseForwardSettings } from "../../forward/settings";
import {
    type Command,
    type ExitCode,
    exitCodes,
    getStringOption,
    printFaults,
    readTextFile,
    UsageError,
} from "../command";
import { getProcessSignals } from "../signals";

const settingsVariable = "MARJORAMVANE_CONFIG";

export const forwardCommand: Command = {
    summary: "Passes requests on to registered targets until SIGTERM or SIGINT; SIGHUP reads the settings again.",
    arguments: [],
    options: {
        settings: { type: "string", value: "FILE", help: `settings in TOML; default: $${settingsVariable}` },
    },
    run: async ({ values, io }) => {
        const file = getStringOption(values, "settings") ?? io.env[settingsVariable];
        if (file === undefined) {
            throw new UsageError(`--settings or ${settingsVariable} is required`);
        }
        const settings = parseForwardSettings(readTextFile(file));
        if (settings.err) {
            printFaults(io, file, settings.val);
            return exitCodes.invalid;
        }
        process.on("uncaughtException", error => {
            // Writes the error as a log line; otherwise the platform's logs would not show why the process ended.
            io.write(
                `${JSON.stringify({ level: "error", message: "drain: Unexpected failure.", stack: error.stack })}\n`,
            );
            process.exit(exitCodes.failed);
        });
        return new Promise<ExitCode>((resolve, reject) => {
            const handleExit = (code: number): void => {
                resolve(code === 0 ? exitCodes.done : exitCodes.failed);
            };
            startForwardNode({ settings: settings.val, ports: platformPorts, onExit: handleExit }).then(node => {
                getProcessSignals().subscribe({
                    SIGTERM: node.drain,
                    SIGINT: node.drain,
                    SIGHUP: () => {
                        const newSettings = parseForwardSettings(readTextFile(file));
                        if (newSettings.ok) {
                            node.reload(newSettings.val);
                            return;
                        }
                        printFaults(io, file, newSettings.val);
                    },
                });
            }, reject);
        });
    },
};
