/** `serve`: runs one process of the router. */
import { type RunningNode, startNode } from "../../adapters/node";
import { parseSettingsFile } from "../../config/settings";
import { type Command, type ExitCode, exitCodes, getRequiredOption, printFaults, readTextFile } from "../command";
import { getProcessSignals } from "../signals";
import { subscribeToUncaughtErrors } from "../uncaughtErrors";

export const serveCommand: Command = {
    summary: "Runs one process of the router until SIGTERM or SIGINT.",
    arguments: [],
    options: { settings: { type: "string", value: "FILE", help: "settings of this process, in TOML" } },
    run: async ({ values, io }) => {
        const file = getRequiredOption(values, "settings");
        const settings = parseSettingsFile(readTextFile(file));
        if (settings.err) {
            printFaults(io, file, settings.val);
            return exitCodes.invalid;
        }
        // This mode logs to standard error.
        let runningNode: RunningNode | undefined;
        subscribeToUncaughtErrors({ write: io.writeError, stop: () => runningNode?.stop() });
        return new Promise<ExitCode>((resolve, reject) => {
            const handleExit = (code: number): void => {
                resolve(code === 0 ? exitCodes.done : exitCodes.failed);
            };
            startNode({ settings: settings.val, onExit: handleExit }).then(node => {
                runningNode = node;
                getProcessSignals().subscribe({
                    SIGTERM: node.drain,
                    SIGINT: node.drain,
                    // This mode reads its settings only once; without a handler SIGHUP would end the process.
                    SIGHUP: () => undefined,
                });
            }, reject);
        });
    },
};
