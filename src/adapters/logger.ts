/** Structured logs: one JSON line for each entry, on standard error. */
import * as winston from "winston";
import type { Settings } from "../config/settings";
import type { EffectOf } from "../effects";

export type LogWriter = (effect: EffectOf<"writeLog">) => void;

/** Creates the writer of log lines. */
export function createLogWriter(settings: Settings): LogWriter {
    const logger = winston.createLogger({
        level: settings.log.level,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        defaultMeta: { vm: settings.vm },
        transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
    return ({ level, prefix, message, fields }) => {
        logger.log(level, `${prefix} ${message}`, fields);
    };
}
