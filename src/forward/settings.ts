/** Settings of one process in the forwarding mode, read from a TOML file. */
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { ipAndPort } from "../config/address";
import { clientSettings } from "../config/clientSettings";
import { type Fault, listSchemaFaults } from "../config/document";
import { parseTomlText } from "../config/files";
import type { DataCentreId, VmId } from "../ids";

const milliseconds = z.number().positive();

const settingsSchema = z.strictObject({
    /** Name of this VM; unique in the fleet. */
    vm: z.string().min(1).max(64),
    dataCentre: z.string().min(1),
    listen: z.strictObject({
        callers: ipAndPort,
        readiness: ipAndPort,
        directory: ipAndPort,
        metrics: ipAndPort,
        /** Address for the other processes of the fleet. */
        peers: ipAndPort,
    }),
    store: z.strictObject({ address: ipAndPort, timeoutMs: milliseconds.default(900) }),
    /** Limits that the platform's operators set. */
    bounds: z.strictObject({
        /** Time from the request to stop until the platform kills the process. */
        graceMs: milliseconds,
        /** Retries allowed, as a fraction of the requests. */
        retryRatio: z.number().min(0),
        /** Retries allowed in addition in one window, over the whole fleet. */
        retryMin: z.number().min(0),
        retryWindowMs: milliseconds,
        quotaWindowMs: milliseconds,
        /** Fraction of rate and burst that an account may use in excess. */
        quotaOverage: z.number().min(0),
        /** Tokens that an account may use in addition in one window, over the whole fleet. */
        quotaSlackTokens: z.number().min(0),
        /** Minimum time between orders of two successive rollout leaders. */
        dutyGuardMs: milliseconds,
        /** Time within which engines must serve a newly published version of the weights. */
        weightsMs: milliseconds,
        /** Time after a target's notice of leaving from which on no request may reach it. */
        drainMs: milliseconds.default(2000),
        /** Time within which a new configuration must be in force. */
        configurationMs: milliseconds.default(2000),
        /** Time after a start or the return of the store from which on the bounds hold for a process. */
        contactMs: milliseconds.default(3000),
        /** Interval at which targets report to the store; their rows lapse after three. */
        targetReportMs: milliseconds.default(1200),
        /**
         * Largest share of a service's requests that a version on trial may get. Absent where service versions are not
         * rolled out; servers of all versions are then used alike.
         */
        canaryShare: z.number().positive().max(1).optional(),
        /** Requests that a version on trial may get beyond the share. */
        canarySlack: z.number().min(0).default(0),
        /** Time after the first bad answers of a version by which no request may reach it any more. */
        rollbackMs: milliseconds.default(5000),
        /** Maximum time for which callers cache the list of addresses. */
        addressesKeepSeconds: z.number().positive(),
    }),
    /**
     * Terms of the platform that are in force, by its names, separated by commas. The platform's port says which settings
     * they ask for, and ignores others.
     */
    agreements: z.string().default("").transform(text => text.split(",").map(name => name.trim())),
    admission: z.strictObject({
        /**
         * Refuses at once what the slots of the engines cannot begin in time, instead of queueing it at the engines.
         * Without a value, the terms of the platform decide.
         */
        bySlots: z.boolean().optional(),
    }).prefault({}),
    routing: z.strictObject({
        /**
         * Estimates the present load of engines in a fleet whose exchange interval is above 300 ms. Without it, loads are
         * taken as last reported.
         */
        estimatesLoad: z.boolean().default(true),
        /** Tells the other processes of such a fleet which targets have failed requests. */
        sharesFailures: z.boolean().default(true),
    }).prefault({}),
    clients: clientSettings,
    log: z.strictObject({
        level: z.enum(["error", "warn", "info", "debug"]).default("info"),
        /** Maximum lines of level info per second; further ones are counted and dropped. */
        infoLinesPerSecond: z.number().int().positive().default(300),
        /** Maximum lines of level warn per second; further ones are counted and dropped. */
        warningLinesPerSecond: z.number().int().positive().default(300),
    }).prefault({}),
});

type ParsedSettings = z.output<typeof settingsSchema>;

export type ForwardSettings = Omit<ParsedSettings, "vm" | "dataCentre"> & {
    readonly vm: VmId;
    readonly dataCentre: DataCentreId;
};

/**
 * Parses a TOML settings file. Reports every fault at once.
 *
 * @example
 * const result = parseForwardSettings('vm = "front-1"');
 * if (result.err) { result.val.map(fault => fault.path); }
 */
export function parseForwardSettings(text: string): Result<ForwardSettings, readonly Fault[]> {
    const toml = parseTomlText(text);
    if (toml.err) {
        return toml;
    }
    const parsed = settingsSchema.safeParse(toml.val);
    return parsed.success ? Ok(parsed.data as ForwardSettings) : Err(listSchemaFaults(parsed.error));
}
