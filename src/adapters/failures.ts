/** Reports unexpected errors as log lines and counts. */
import type { FailureReporter } from "../runner";
import type { LogWriter } from "./logger";
import type { Metrics } from "./metrics";

/** Where reports go. */
export interface ReporterOptions {
    readonly writeLog: LogWriter;
    readonly metrics: Pick<Metrics, "addCount">;
}

/** Creates the function that is called for each unexpected error that its owner has contained. */
export const createFailureReporter =
    ({ writeLog, metrics }: ReporterOptions): FailureReporter => ({ part, error, fields }) => {
        metrics.addCount({ kind: "addCount", name: "internal_failures_total", value: 1, labels: { part } });
        writeLog({
            kind: "writeLog",
            level: "error",
            prefix: "drain:",
            message: "Unexpected failure; the process goes on.",
            fields: {
                ...fields,
                part,
                error: error instanceof Error ? error.message : String(error),
                stack: error instanceof Error ? error.stack : undefined,
            },
        });
    };
