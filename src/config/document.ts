/** Configuration document: schema, validation and default values. */
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import type { AccountId, DataCentreId, KeyHash, ModelId, ModelVersion, RouteId, TargetId } from "../ids";
import { ipAndPort as address } from "./address";

const id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, "expected 1 to 64 letters, digits, dots, dashes");
const keyHash = z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 hash in hexadecimal");
const tokens = z.number().int().positive();

const accountSchema = z.strictObject({
    /** Prompt and generated tokens a second, over the whole fleet. */
    rate: tokens,
    /** Capacity of the token bucket: tokens that may be used at once. */
    burst: tokens,
    /** Queued requests with a higher value are served first. */
    priority: z.number().int().min(0).max(9).default(5),
});

const keySchema = z.strictObject({ account: id, label: z.string().max(100).default("") });

const operatorSchema = z.strictObject({ label: z.string().max(100).default("") });

const modelSchema = z.strictObject({
    /** Minimum bytes of prompt text for each token; gives an upper bound on the prompt tokens of a request. */
    bytesPerToken: z.number().min(1).max(16).default(1),
    /** Tokens in one cache block of the engines. */
    blockTokens: z.number().int().min(1).max(65_536).default(4096),
    /** `max_tokens` of requests that do not set it. */
    defaultMaxTokens: tokens.default(512),
    /** Prompt tokens that an engine computes per second, for routing estimates. */
    prefillTokensPerSecond: tokens.default(20_000),
    /** Tokens that an engine generates per second for one request, for routing estimates. */
    decodeTokensPerSecond: tokens.default(50),
});

const modelRouteSchema = z.strictObject({
    kind: z.literal("model"),
    model: id,
    version: id,
    /** True when the route can be used without a key. */
    open: z.boolean().default(false),
    /** Accounts that may use the route; every account when absent. */
    accounts: z.array(id).optional(),
    /**
     * Weight of the prefill time of missed tokens relative to the waiting time. 0 minimizes only the waiting time, 1
     * the request's own time to first token. A cache miss also delays the requests queued behind it and evicts blocks
     * that others use: values of 2 to 4 gave the shortest times in the benchmark, while 8 and more build up queues on
     * engines with popular prefixes.
     */
    affinityWeight: z.number().min(0).max(10).default(3),
    repeatable: z.boolean().default(true),
});

const serviceRouteSchema = z.strictObject({
    kind: z.literal("service"),
    service: id,
    open: z.boolean().default(false),
    accounts: z.array(id).optional(),
    /** False for calls that may run at most once, such as print orders. GET and HEAD are always repeatable. */
    repeatable: z.boolean().default(false),
    /** Tokens charged for each call. */
    tokens: z.number().int().min(0).default(1),
});

const engineSchema = z.strictObject({
    kind: z.literal("engine"),
    address,
    dataCentre: id,
    /** Model and version that the engine should serve. */
    model: id,
    version: id,
    /** True when the engine refuses orders with an outdated fencing token. */
    checksFencing: z.boolean().default(false),
    /** Requests that the engine runs concurrently; further ones wait in its queue. */
    slots: z.number().int().positive().default(8),
    leaving: z.boolean().default(false),
});

const serviceTargetSchema = z.strictObject({
    kind: z.literal("service"),
    address,
    dataCentre: id,
    service: id,
    slots: z.number().int().positive().default(64),
    leaving: z.boolean().default(false),
});

const documentSchema = z.strictObject({
    accounts: z.record(id, accountSchema).default({}),
    keys: z.record(keyHash, keySchema).default({}),
    operators: z.record(keyHash, operatorSchema).default({}),
    models: z.record(id, modelSchema).default({}),
    routes: z.record(id, z.discriminatedUnion("kind", [modelRouteSchema, serviceRouteSchema])).default({}),
    targets: z.record(id, z.discriminatedUnion("kind", [engineSchema, serviceTargetSchema])).default({}),
});

export type Account = z.output<typeof accountSchema>;
export type KeyEntry = z.output<typeof keySchema>;
export type Model = z.output<typeof modelSchema>;
export type ModelRoute = z.output<typeof modelRouteSchema>;
export type ServiceRoute = z.output<typeof serviceRouteSchema>;
export type Route = ModelRoute | ServiceRoute;
export type EngineConfiguration = z.output<typeof engineSchema>;
export type ServiceConfiguration = z.output<typeof serviceTargetSchema>;
export type TargetConfiguration = EngineConfiguration | ServiceConfiguration;

/** Validated configuration document. */
export interface ConfigurationDocument {
    readonly accounts: Readonly<Record<AccountId, Account>>;
    readonly keys: Readonly<Record<KeyHash, KeyEntry>>;
    readonly operators: Readonly<Record<KeyHash, { readonly label: string; }>>;
    readonly models: Readonly<Record<ModelId, Model>>;
    readonly routes: Readonly<Record<RouteId, Route>>;
    readonly targets: Readonly<Record<TargetId, TargetConfiguration>>;
}

/** Sections of the document; each maps ids to entries. */
export const documentSections = ["accounts", "keys", "operators", "models", "routes", "targets"] as const;
export type DocumentSection = (typeof documentSections)[number];

/** Validation fault of a document or of the settings: where it is and what was expected. */
export interface Fault {
    readonly path: string;
    readonly message: string;
}

/** Checks the references between entries. */
export function listReferenceFaults(document: ConfigurationDocument): Fault[] {
    const faults: Fault[] = [];
    const checkReference = (path: readonly [string, string, ...string[]], section: DocumentSection, name: string) => {
        if (!Object.hasOwn(document[section], name)) {
            faults.push({ path: formatPath(path), message: `expected an entry of ${section}, found "${name}"` });
        }
    };
    for (const [hash, key] of Object.entries<KeyEntry>(document.keys)) {
        checkReference(["keys", hash, "account"], "accounts", key.account);
    }
    for (const [name, route] of Object.entries<Route>(document.routes)) {
        if (route.kind === "model") {
            checkReference(["routes", name, "model"], "models", route.model);
        }
        for (const [index, account] of (route.accounts ?? []).entries()) {
            checkReference(["routes", name, "accounts", String(index)], "accounts", account);
        }
    }
    for (const [name, target] of Object.entries<TargetConfiguration>(document.targets)) {
        if (target.kind === "engine") {
            checkReference(["targets", name, "model"], "models", target.model);
        }
    }
    return faults;
}

/** Sections whose entries are identified by the hash of a key. */
const keyHashSections: ReadonlySet<unknown> = new Set<DocumentSection>(["keys", "operators"]);

/**
 * Formats the path of an issue. Key hashes are shortened to their first digits. Anything else in their place is left
 * out, because it may be a key in clear that was pasted by mistake.
 */
export function formatPath(path: readonly PropertyKey[]): string {
    const [section, name, ...rest] = path;
    if (!keyHashSections.has(section) || name === undefined) {
        return path.map(String).join(".") || "(document)";
    }
    const shownName = keyHash.safeParse(name).success ? String(name).slice(0, 8) : "(entry)";
    return [section, shownName, ...rest].map(String).join(".");
}

/** Converts the issues of a schema check to faults. */
export function listSchemaFaults(error: z.ZodError): Fault[] {
    return error.issues.map(issue => ({
        path: formatPath(issue.path),
        message: issue.code === "invalid_key"
            ? `invalid name: ${issue.issues.map(inner => inner.message).join(", ")}`
            : issue.message,
    }));
}

/** Checks the entries of a document and fills in defaults. References between entries are not checked. */
export function parseEntries(input: unknown): Result<ConfigurationDocument, readonly Fault[]> {
    const parsed = documentSchema.safeParse(input);
    return parsed.success ? Ok(parsed.data as ConfigurationDocument) : Err(listSchemaFaults(parsed.error));
}

/**
 * Checks a configuration document and fills in defaults. Reports every fault at once.
 *
 * @example
 * const result = parseDocument({ accounts: { shop: { rate: 1000, burst: 5000 } } });
 * result.ok; // true
 */
export function parseDocument(input: unknown): Result<ConfigurationDocument, readonly Fault[]> {
    const parsed = parseEntries(input);
    const faults = parsed.ok ? listReferenceFaults(parsed.val) : [];
    return faults.length > 0 ? Err(faults) : parsed;
}

export const emptyDocument: ConfigurationDocument = {
    accounts: {},
    keys: {},
    operators: {},
    models: {},
    routes: {},
    targets: {},
};

/** Model and version of a route or an engine. */
export interface ModelReference {
    readonly model: ModelId;
    readonly version: ModelVersion;
}

export const toModelReference = (entry: { readonly model: string; readonly version: string; }): ModelReference =>
    entry as unknown as ModelReference;

export const toDataCentre = (entry: { readonly dataCentre: string; }): DataCentreId => entry.dataCentre as DataCentreId;
