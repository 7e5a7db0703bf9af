/** `forward`: runs one process in the forwarding mode. */
import { platformPorts } from "../../../platform";
import { type RunningForwardNode, startForwardNode } from "../../forward/adapters/node";
import { parseForwardSettings } from "../../forward/settings";
import {
    type Command,
    type CommandIo,
    type ExitCode,
    exitCodes,
    getStringOption,
    printFaults,
    readTextFile,
    UsageError,
} from "../command";
import { getProcessSignals } from "../signals";
import { subscribeToUncaughtErrors } from "../uncaughtErrors";

const settingsVariable = "MARJORAMVANE_CONFIG";

/** Applies the settings file as a whole, or keeps the settings in force when it cannot be read or has a fault. */
function applySettingsFile(io: CommandIo, file: string, node: RunningForwardNode): void {
    try {
        const settings = parseForwardSettings(readTextFile(file));
        if (settings.ok) {
            node.reload(settings.val);
            return;
        }
        printFaults(io, file, settings.val);
    }
    catch (error) {
        printFaults(io, file, [{ path: "", message: error instanceof Error ? error.message : String(error) }]);
    }
    node.refuseReload();
}

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
        let runningNode: RunningForwardNode | undefined;
        subscribeToUncaughtErrors({ write: io.write, stop: () => runningNode?.stop() });
        return new Promise<ExitCode>((resolve, reject) => {
            const handleExit = (code: number): void => {
                resolve(code === 0 ? exitCodes.done : exitCodes.failed);
            };
            startForwardNode({ settings: settings.val, ports: platformPorts, onExit: handleExit }).then(node => {
                runningNode = node;
                getProcessSignals().subscribe({
                    SIGTERM: node.drain,
                    SIGINT: node.drain,
                    SIGHUP: () => {
                        applySettingsFile(io, file, node);
                    },
                });
            }, reject);
        });
    },
};
