/** Settings of one process, read from a TOML file. */
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import type { DataCentreId, VmId } from "../ids";
import { ipAndPort } from "./address";
import { clientSettings } from "./clientSettings";
import { type Fault, listSchemaFaults } from "./document";
import { parseTomlText } from "./files";

const milliseconds = z.number().int().positive();

const settingsSchema = z.strictObject({
    /** Name of this VM; unique in the fleet. */
    vm: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, "expected 1 to 64 letters, digits, dots, dashes"),
    dataCentre: z.string().min(1),
    /** Secret shared by the processes of the fleet. Never logged. */
    fleetSecret: z.string().min(16, "expected at least 16 characters"),
    listen: z.strictObject({
        callers: ipAndPort,
        operators: ipAndPort,
        peers: ipAndPort,
        /** Address published to callers, when it differs from `callers`. */
        advertise: ipAndPort.optional(),
    }),
    store: z.strictObject({
        /** Address of the platform's key-value store. */
        address: ipAndPort,
        timeoutMs: milliseconds.default(1000),
    }),
    vmList: z.strictObject({ address: ipAndPort, everyMs: milliseconds.default(2000) }).optional(),
    /** Addresses of peers to contact in addition to the members registered in the store. */
    peers: z.array(ipAndPort).default([]),
    limits: z
        .strictObject({
            bodyBytes: z.number().int().positive().default(8 * 1024 * 1024),
            headerBytes: z.number().int().positive().default(16 * 1024),
            answerBytes: z.number().int().positive().default(16 * 1024 * 1024),
            /** Maximum connections of callers; the default is a share of `clients.maxDescriptors`. */
            connections: z.number().int().positive().optional(),
            /** Maximum requests of one account waiting for a target. */
            queuedRequests: z.number().int().positive().default(256),
            /** Maximum requests of one priority waiting for a target, over all accounts. */
            queuedTotal: z.number().int().positive().default(2048),
            prefixRows: z.number().int().positive().default(200_000),
        })
        .prefault({}),
    timeouts: z
        .strictObject({
            requestMs: milliseconds.default(120_000),
            connectMs: milliseconds.default(1000),
            /** Maximum time without data from a target during a request. */
            idleMs: milliseconds.default(30_000),
            /** Time between the start of a graceful shutdown and the first refusal of requests. */
            drainNoticeMs: milliseconds.default(3000),
        })
        .prefault({}),
    membership: z
        .strictObject({
            leaseSeconds: z.number().int().min(2).default(10),
            exchangeEveryMs: milliseconds.default(1000),
            /** Time for which a confirmation of the configuration is valid. */
            freshForMs: milliseconds.default(5000),
            /** Maximum prefix updates in one exchange, about 80 bytes each. */
            prefixUpdatesPerExchange: z.number().int().min(0).max(1024).default(32),
            /** Time in seconds for which callers may cache the list of entry addresses. */
            entriesKeepSeconds: z.number().int().positive().default(10),
        })
        .prefault({}),
    rates: z
        .strictObject({
            grantTtlMs: milliseconds.default(2000),
            /** Fraction of each account's rate and burst that is divided among the floor slots. */
            floorFraction: z.number().min(0).max(1).default(0.1),
            floorSlots: z.number().int().positive().default(5),
            floorLeaseSeconds: z.number().int().positive().default(7200),
        })
        .prefault({}),
    retries: z
        .strictObject({
            attempts: z.number().int().min(1).default(3),
            /** Retry budget: allowed retries as a fraction of the requests sent. */
            budgetFraction: z.number().min(0).max(1).default(0.1),
        })
        .prefault({}),
    claims: z.strictObject({ retentionHours: z.number().positive().default(168) }).prefault({}),
    clients: clientSettings,
    log: z
        .strictObject({
            level: z.enum(["error", "warn", "info", "debug"]).default("info"),
            /** Maximum lines of level info, and of level warn, per second; further ones are counted and dropped. */
            infoLinesPerSecond: z.number().int().positive().default(300),
            warningLinesPerSecond: z.number().int().positive().default(300),
        })
        .prefault({}),
});

type ParsedSettings = z.output<typeof settingsSchema>;

export type Settings = Omit<ParsedSettings, "vm" | "dataCentre"> & {
    readonly vm: VmId;
    readonly dataCentre: DataCentreId;
};

/** Checks settings given as a plain object and fills in defaults. */
export function parseSettings(input: unknown): Result<Settings, readonly Fault[]> {
    const parsed = settingsSchema.safeParse(input);
    return parsed.success ? Ok(parsed.data as Settings) : Err(listSchemaFaults(parsed.error));
}

/**
 * Parses a TOML settings file. Reports every fault at once.
 *
 * @example
 * const result = parseSettingsFile('vm = "entry-1"');
 * if (result.err) { result.val.map(fault => fault.path); }
 */
export function parseSettingsFile(text: string): Result<Settings, readonly Fault[]> {
    const parsed = parseTomlText(text);
    return parsed.ok ? parseSettings(parsed.val) : parsed;
}
