/** Ends a long-running command after an error that no owner has contained. */
import { exitCodes } from "./command";

/** Source of uncaught errors: the process, or a fake one in tests. */
export interface ErrorSource {
    on(event: "uncaughtException", handler: (error: Error) => void): unknown;
    exit(code: number): void;
}

export interface UncaughtErrorOptions {
    /** Writes a log line. */
    readonly write: (text: string) => void;
    /** Ends open responses so that their callers can tell that they are not complete. */
    readonly stop: () => void;
    readonly source?: ErrorSource;
}

/**
 * Writes uncaught errors as log lines and ends the process: its state is unknown after such an error. Without the line,
 * the logs would not show why the process ended.
 *
 * @example
 * subscribeToUncaughtErrors({ write: io.write, stop: () => node?.stop() });
 */
export function subscribeToUncaughtErrors({ write, stop, source = process }: UncaughtErrorOptions): void {
    source.on("uncaughtException", error => {
        write(`${JSON.stringify({ level: "error", message: "drain: Unexpected failure.", stack: error.stack })}\n`);
        try {
            stop();
        }
        finally {
            source.exit(exitCodes.failed);
        }
    });
}
