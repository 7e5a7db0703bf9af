/** Structured logs: one JSON object a line. */
import * as winston from "winston";
import type { EffectOf } from "../effects";

export type LogWriter = (effect: EffectOf<"writeLog">) => void;

export interface LogOptions {
    readonly log: { readonly level: string; };
    readonly vm: string;
    /** Output stream; the default is standard error. */
    readonly stream?: "stdout" | "stderr";
    /** Maximum number of info lines a second; further ones are counted and dropped. The default is no limit. */
    readonly infoLinesPerSecond?: number;
}

const allLevels = ["error", "warn", "info", "debug"];

/**
 * Creates the writer of log lines. Warnings and errors are never dropped; their number is bounded by the number of
 * requests.
 */
export function createLogWriter(
    { log, vm, stream = "stderr", infoLinesPerSecond = Number.POSITIVE_INFINITY }: LogOptions,
): LogWriter {
    const logger = winston.createLogger({
        level: log.level,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        defaultMeta: { vm },
        transports: [new winston.transports.Console({ stderrLevels: stream === "stderr" ? allLevels : [] })],
    });
    let currentSecond = 0;
    let writtenLines = 0;
    let droppedLines = 0;
    return ({ level, prefix, message, fields }) => {
        const now = Math.floor(performance.now() / 1000);
        if (now !== currentSecond) {
            if (droppedLines > 0) {
                logger.log("warn", "log: Info lines above the rate limit were dropped.", { lines: droppedLines });
            }
            currentSecond = now;
            writtenLines = 0;
            droppedLines = 0;
        }
        if (level === "info" && ++writtenLines > infoLinesPerSecond) {
            droppedLines += 1;
            return;
        }
        logger.log(level, `${prefix} ${message}`, fields);
    };
}
