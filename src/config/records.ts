/** Configuration records in the store: keys, schemas and parsers. */
import { z } from "zod";
import { type ConfigVersion, toConfigVersion } from "../ids";
import type { ConfigurationChange } from "./change";
import { documentSections } from "./document";

export const headKey = "config/head";
export const snapshotKey = "config/snapshot";
export const changePrefix = "config/change/";

/** Returns the key of a change. Versions are padded, so that the keys sort by version. */
export const toChangeKey = (version: number): string => `${changePrefix}${String(version).padStart(12, "0")}`;

export interface ConfigurationHead {
    readonly version: ConfigVersion;
    /** Unique id of the write, by which the writer identifies its own change. */
    readonly changeId: string;
}

export interface ChangeRecord {
    readonly version: ConfigVersion;
    /** Unique id of the write, the same as in the head of this version. */
    readonly changeId: string;
    readonly change: ConfigurationChange;
    readonly at: string;
    readonly operator: string;
    readonly note: string;
}

export interface SnapshotRecord {
    readonly version: ConfigVersion;
    /** Checked with `parseDocument` before it is applied. */
    readonly document: unknown;
}

const version = z.number().int().positive().transform(toConfigVersion);
const headSchema = z.looseObject({ version, changeId: z.string() });
const sectionSchema = z.looseObject({ set: z.record(z.string(), z.unknown()), removed: z.array(z.string()) });
const changeSchema = z.looseObject(
    Object.fromEntries(documentSections.map(section => [section, sectionSchema.optional()])),
);
const changeRecordSchema = z.looseObject({
    version,
    changeId: z.string().default(""),
    change: changeSchema,
    at: z.string().default(""),
    operator: z.string().default(""),
    note: z.string().default(""),
});
const snapshotSchema = z.looseObject({ version, document: z.unknown() });

function parseRecord<Value>(schema: z.ZodType, text: string): Value | undefined {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data as Value : undefined;
    }
    catch {
        return undefined;
    }
}

/** Parses a head; undefined when it is invalid. */
export const parseHead = (text: string): ConfigurationHead | undefined => parseRecord(headSchema, text);

/** Parses a change record; undefined when it is invalid. */
export const parseChangeRecord = (text: string): ChangeRecord | undefined => parseRecord(changeRecordSchema, text);

/** Parses a snapshot; undefined when it is invalid. Its document is not checked. */
export const parseSnapshot = (text: string): SnapshotRecord | undefined => parseRecord(snapshotSchema, text);

/** True when the input has the shape of a change. Its entries are checked when the change is applied. */
export const isChange = (input: unknown): input is ConfigurationChange => changeSchema.safeParse(input).success;

/** Shortens key hashes to their first digits and returns any other id unchanged. */
export const formatEntryId = (section: string, id: string): string =>
    section === "keys" || section === "operators" ? id.slice(0, 8) : id;

/** Maximum number of changed entries that are listed; the first document of a large fleet sets thousands. */
const maxListedEntries = 20;

/** Lists the entries that a change sets or removes, shortened after `maxListedEntries`. */
export function listChangedEntries(change: ConfigurationChange): string[] {
    const names = documentSections.flatMap(section => {
        const { set = {}, removed = [] } = change[section] ?? {};
        const format = (id: string): string => `${section}.${formatEntryId(section, id)}`;
        return [...Object.keys(set).map(format), ...removed.map(id => `-${format(id)}`)];
    });
    return names.length <= maxListedEntries
        ? names
        : [...names.slice(0, maxListedEntries), `and ${names.length - maxListedEntries} more`];
}
