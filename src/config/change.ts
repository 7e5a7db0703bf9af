/** Configuration changes: the difference between two documents, entry by entry. */
import { Err, Ok, type Result } from "ts-results";
import {
    type ConfigurationDocument,
    type DocumentSection,
    documentSections,
    type Fault,
    listReferenceFaults,
    parseEntries,
} from "./document";

/** Entries to set and to remove, by section. */
export type ConfigurationChange = {
    readonly [Section in DocumentSection]?: {
        readonly set: Readonly<Record<string, unknown>>;
        readonly removed: readonly string[];
    };
};

type Entries = Readonly<Record<string, unknown>>;

function isSameEntry(left: unknown, right: unknown): boolean {
    return left === right || JSON.stringify(left) === JSON.stringify(right);
}

/**
 * Computes the change that turns one document into another.
 *
 * @example
 * computeChange(emptyDocument, { ...emptyDocument, accounts: { a: account } }).accounts?.set; // { a: account }
 */
export function computeChange(from: ConfigurationDocument, to: ConfigurationDocument): ConfigurationChange {
    const change: Partial<Record<DocumentSection, { set: Entries; removed: readonly string[]; }>> = {};
    for (const section of documentSections) {
        const oldEntries: Entries = from[section];
        const newEntries: Entries = to[section];
        const set = Object.fromEntries(
            Object.entries(newEntries).filter(([key, value]) => !isSameEntry(oldEntries[key], value)),
        );
        const removed = Object.keys(oldEntries).filter(key => !Object.hasOwn(newEntries, key));
        if (Object.keys(set).length > 0 || removed.length > 0) {
            change[section] = { set, removed };
        }
    }
    return change;
}

function applySection(entries: Entries, set: Entries, removed: readonly string[]): Entries {
    const result: Record<string, unknown> = { ...entries, ...set };
    for (const key of removed) {
        Reflect.deleteProperty(result, key);
    }
    return result;
}

/**
 * Applies a change to a valid document. Only the entries set by the change are parsed, because a document of the
 * target size has about 16,000 entries and changes every few seconds.
 *
 * @example
 * applyChange(document, computeChange(document, other)).unwrap(); // equals other
 */
export function applyChange(
    document: ConfigurationDocument,
    change: ConfigurationChange,
): Result<ConfigurationDocument, readonly Fault[]> {
    const parsed = parseEntries(
        Object.fromEntries(documentSections.map(section => [section, change[section]?.set ?? {}])),
    );
    if (parsed.err) {
        return parsed;
    }
    const set: Readonly<Record<DocumentSection, Entries>> = parsed.val;
    const result = Object.fromEntries(documentSections.map(section => {
        const sectionChange = change[section];
        const entries: Entries = document[section];
        return [section, sectionChange ? applySection(entries, set[section], sectionChange.removed) : entries];
    })) as unknown as ConfigurationDocument;
    const faults = listReferenceFaults(result);
    return faults.length > 0 ? Err(faults) : Ok(result);
}
