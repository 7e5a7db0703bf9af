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
    /** The same for warnings. */
    readonly warningLinesPerSecond?: number;
}

const allLevels = ["error", "warn", "info", "debug"];

/**
 * Creates the writer of log lines. Errors are never dropped. Warnings have a bound of their own: a client can cause one
 * with each request that it sends.
 */
export function createLogWriter(
    {
        log,
        vm,
        stream = "stderr",
        infoLinesPerSecond = Number.POSITIVE_INFINITY,
        warningLinesPerSecond = Number.POSITIVE_INFINITY,
    }: LogOptions,
): LogWriter {
    const logger = winston.createLogger({
        level: log.level,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        defaultMeta: { vm },
        transports: [new winston.transports.Console({ stderrLevels: stream === "stderr" ? allLevels : [] })],
    });
    let currentSecond = 0;
    const maxLines: Readonly<Record<string, number>> = { info: infoLinesPerSecond, warn: warningLinesPerSecond };
    const writtenLines: Record<string, number> = { info: 0, warn: 0 };
    const droppedLines: Record<string, number> = { info: 0, warn: 0 };

    function startSecond(second: number): void {
        currentSecond = second;
        if (droppedLines["info"]) {
            logger.log("warn", "log: Info lines above the rate limit were dropped.", { lines: droppedLines["info"] });
        }
        if (droppedLines["warn"]) {
            logger.log("warn", "log: Warnings above the rate limit were dropped.", { lines: droppedLines["warn"] });
        }
        for (const counts of [writtenLines, droppedLines]) {
            counts["info"] = 0;
            counts["warn"] = 0;
        }
    }

    function hasRoom(level: string): boolean {
        const limit = maxLines[level];
        if (limit === undefined) {
            return true;
        }
        const written = (writtenLines[level] ?? 0) + 1;
        writtenLines[level] = written;
        if (written > limit) {
            droppedLines[level] = (droppedLines[level] ?? 0) + 1;
        }
        return written <= limit;
    }

    return ({ level, prefix, message, fields }) => {
        const now = Math.floor(performance.now() / 1000);
        if (now !== currentSecond) {
            startSecond(now);
        }
        if (hasRoom(level)) {
            logger.log(level, `${prefix} ${message}`, fields);
        }
    };
}
