/** Changes of the configuration: the difference between two documents, entry by entry. */
import { type ConfigurationDocument, type DocumentSection, documentSections } from "./document";

/** Entries set and removed, by section. */
export type ConfigurationChange = {
    readonly [Section in DocumentSection]?: {
        readonly set: Readonly<Record<string, unknown>>;
        readonly removed: readonly string[];
    };
};

type Entries = Readonly<Record<string, unknown>>;

function isSameEntry(left: unknown, right: unknown): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
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
        const before: Entries = from[section];
        const after: Entries = to[section];
        const set = Object.fromEntries(
            Object.entries(after).filter(([key, value]) => !isSameEntry(before[key], value)),
        );
        const removed = Object.keys(before).filter(key => !Object.hasOwn(after, key));
        if (Object.keys(set).length > 0 || removed.length > 0) {
            change[section] = { set, removed };
        }
    }
    return change;
}

/** Applies a change to a document. The result still has to be checked with `parseDocument`. */
export function applyChange(document: ConfigurationDocument, change: ConfigurationChange): unknown {
    const result: Record<string, Entries> = {};
    for (const section of documentSections) {
        const removed = new Set(change[section]?.removed ?? []);
        const kept = Object.entries(document[section]).filter(([key]) => !removed.has(key));
        result[section] = { ...Object.fromEntries(kept), ...change[section]?.set };
    }
    return result;
}
