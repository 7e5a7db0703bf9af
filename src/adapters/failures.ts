/** Reports unexpected errors of systems and effects as log lines and counts. */
import type { TickFailure } from "../runner";
import type { LogWriter } from "./logger";
import type { Metrics } from "./metrics";

export interface FailureReporterOptions {
    readonly writeLog: LogWriter;
    readonly metrics: Pick<Metrics, "addCount">;
}

/** Creates the function that a runner calls for each unexpected error. */
export const createFailureReporter =
    ({ writeLog, metrics }: FailureReporterOptions) => ({ part, error }: TickFailure): void => {
        metrics.addCount({ kind: "addCount", name: "internal_failures_total", value: 1, labels: { part } });
        writeLog({
            kind: "writeLog",
            level: "error",
            prefix: "drain:",
            message: "Unexpected failure; the process goes on.",
            fields: {
                part,
                error: error instanceof Error ? error.message : String(error),
                stack: error instanceof Error ? error.stack : undefined,
            },
        });
    };
