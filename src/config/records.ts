/** Records of the configuration in the store: keys, shapes and checks. */
import { z } from "zod";
import { type ConfigVersion, toConfigVersion } from "../ids";
import type { ConfigurationChange } from "./change";
import { documentSections } from "./document";

export const headKey = "config/head";
export const snapshotKey = "config/snapshot";
export const changePrefix = "config/change/";

/** Key of a change; versions are padded so that keys sort by version. */
export const toChangeKey = (version: number): string => `${changePrefix}${String(version).padStart(12, "0")}`;

export interface ConfigurationHead {
    readonly version: ConfigVersion;
    /** Unique id of the write, by which a writer recognises its own change. */
    readonly changeId: string;
}

export interface ChangeRecord {
    readonly version: ConfigVersion;
    /** Unique id of the write, as in the head of this version. */
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
const recordSchema = z.looseObject({
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

/** Reads the head; undefined when the text is not a head. */
export const parseHead = (text: string): ConfigurationHead | undefined => parseRecord(headSchema, text);

/** Reads a change record; undefined when the text is not one. */
export const parseChangeRecord = (text: string): ChangeRecord | undefined => parseRecord(recordSchema, text);

/** Reads a snapshot; undefined when the text is not one. The document in it is not checked. */
export const parseSnapshot = (text: string): SnapshotRecord | undefined => parseRecord(snapshotSchema, text);

/** True for a change of the right shape; its entries are checked with the document that results. */
export const isChange = (input: unknown): input is ConfigurationChange => changeSchema.safeParse(input).success;

/** Shows the first digits of key hashes and leaves every other id as it is. */
export const formatEntryId = (section: string, id: string): string =>
    section === "keys" || section === "operators" ? id.slice(0, 8) : id;

/** Names in one list of changed entries; the first document of a large fleet sets thousands. */
const maxNames = 20;

/** Names the entries that a change sets or removes, the first ones of many. */
export function listChangedEntries(change: ConfigurationChange): string[] {
    const names = documentSections.flatMap(section => {
        const { set = {}, removed = [] } = change[section] ?? {};
        const format = (id: string): string => `${section}.${formatEntryId(section, id)}`;
        return [...Object.keys(set).map(format), ...removed.map(id => `-${format(id)}`)];
    });
    return names.length <= maxNames ? names : [...names.slice(0, maxNames), `and ${names.length - maxNames} more`];
}
