/** Log line and count for responses without framing whose end was checked, in both modes. */
import type { RequestId } from "../ids";
import type { ReporterOptions } from "./failures";
import type { ListenerState } from "./listenerCheck";

/** Result of the check of a response that its target ended with its connection. */
export interface CheckedEnd {
    readonly request: RequestId;
    /** Id or address of the target. */
    readonly target: string;
    readonly state: ListenerState;
    /** Milliseconds for which the end of the response waited. */
    readonly waitedMs: number;
}

/**
 * Creates the function that counts checked ends and logs those whose target does not listen any more.
 *
 * @example
 * const client = createForwardClient({ ...options, onEndChecked: createEndReporter({ writeLog, metrics }) });
 */
export const createEndReporter = ({ writeLog, metrics }: ReporterOptions) => (end: CheckedEnd): void => {
    const { state } = end;
    metrics.addCount({ kind: "addCount", name: "unframed_ends_total", value: 1, labels: { state } });
    if (state !== "listening") {
        writeLog({
            kind: "writeLog",
            level: "warn",
            prefix: "stream:",
            message: "The response has no framing, and its target has ended or cannot be reached.",
            fields: { ...end },
        });
    }
};
