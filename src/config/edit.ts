/** Edits of the configuration document: adding and removing keys, replacing the whole document. */
import { Err, Ok, type Result } from "ts-results";
import type { AccountId, KeyHash } from "../ids";
import { applyChange } from "./change";
import { type ConfigurationDocument, type Fault, parseDocument } from "./document";

/** Minimum length of a hash prefix that identifies a key. */
const minHashDigits = 8;

/** Adds a key to a client account. */
export function addKey(
    document: ConfigurationDocument,
    { hash, account, label }: { readonly hash: KeyHash; readonly account: AccountId; readonly label: string; },
): Result<ConfigurationDocument, readonly Fault[]> {
    return applyChange(document, { keys: { set: { [hash]: { account, label } }, removed: [] } });
}

/**
 * Finds the keys with a given label, or with a hash that begins with the given digits, at least 8 of them.
 *
 * @example
 * findKeys(document, "till-3"); // [hash of the key labelled "till-3"]
 */
export function findKeys(document: ConfigurationDocument, name: string): KeyHash[] {
    const isHashPrefix = name.length >= minHashDigits && /^[0-9a-f]+$/.test(name);
    const entries = Object.entries(document.keys) as [KeyHash, ConfigurationDocument["keys"][KeyHash]][];
    return entries
        .filter(([hash, key]) => (isHashPrefix && hash.startsWith(name)) || (name !== "" && key?.label === name))
        .map(([hash]) => hash);
}

/** Removes a key. */
export function removeKey(document: ConfigurationDocument, hash: KeyHash): ConfigurationDocument {
    const keys = Object.fromEntries(Object.entries(document.keys).filter(([other]) => other !== hash));
    return { ...document, keys };
}

/** Checks a document with which an operator replaces the active one. */
export function checkReplacement(input: unknown): Result<ConfigurationDocument, readonly Fault[]> {
    const parsed = parseDocument(input);
    if (parsed.ok && Object.keys(parsed.val.operators).length === 0) {
        const message = "expected at least one operator; without one no further change could be made";
        return Err([{ path: "operators", message }]);
    }
    return parsed.ok ? Ok(parsed.val) : parsed;
}
