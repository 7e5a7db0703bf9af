/** Counts what was closed or refused because a client was outside the limits; log lines are sampled. */
import type { ListenerKind } from "../policy/clientLimits";
import type { LogWriter } from "./logger";
import type { Metrics } from "./metrics";

/** Why a connection was closed, or a request refused. */
export type ClientFault =
    | "too_many_connections"
    | "too_many_requests"
    | "unread_answers"
    | "unparsed_bytes"
    | "discarded_body"
    | "stalled";

export type ClientReporter = (listener: ListenerKind, fault: ClientFault) => void;

/** Minimum time between two log lines of one listener and fault. */
const lineIntervalMs = 5000;

/**
 * Creates the function that is called for each closed connection and each refused request. The first of its kind is
 * logged at once; further ones are counted, and the next line says how many there were.
 *
 * @example
 * const report = createClientReporter({ writeLog, metrics });
 * report("callers", "stalled");
 */
export function createClientReporter(
    { writeLog, metrics, getNow = () => performance.now() }: {
        readonly writeLog: LogWriter;
        readonly metrics: Pick<Metrics, "addCount">;
        readonly getNow?: () => number;
    },
): ClientReporter {
    const lines = new Map<string, { writtenAt: number; unwritten: number; }>();
    return (listener, fault) => {
        metrics.addCount({
            kind: "addCount",
            name: "clients_outside_limits_total",
            value: 1,
            labels: { listener, fault },
        });
        const key = `${listener} ${fault}`;
        const line = lines.get(key) ?? { writtenAt: Number.NEGATIVE_INFINITY, unwritten: 0 };
        lines.set(key, line);
        line.unwritten += 1;
        if (getNow() - line.writtenAt < lineIntervalMs) {
            return;
        }
        const fields = { listener, fault, count: line.unwritten };
        line.writtenAt = getNow();
        line.unwritten = 0;
        const message = "Clients are outside the limits.";
        writeLog({ kind: "writeLog", level: "warn", prefix: "clients:", message, fields });
    };
}
