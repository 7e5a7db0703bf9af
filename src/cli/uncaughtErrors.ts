/** Ends a long-running command after an error that no owner has contained. */
import { exitCodes } from "./command";

/**
 * Writes uncaught errors as log lines and ends the process: its state is unknown after such an error. Without the line,
 * the logs would not show why the process ended.
 */
export function subscribeToUncaughtErrors(write: (text: string) => void): void {
    process.on("uncaughtException", error => {
        write(`${JSON.stringify({ level: "error", message: "drain: Unexpected failure.", stack: error.stack })}\n`);
        process.exit(exitCodes.failed);
    });
}
