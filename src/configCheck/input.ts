/** Bounds and encoding of a configuration file, checked before it is parsed. */
import { Err, Ok, type Result } from "ts-results";
import { parseFileText } from "../config/files";
import type { Place } from "./finding";
import { checkJsonStructure } from "./jsonText";

/** Bodies that clients may send have the same bound. 1,400 routes of the forwarding mode take about 400,000 bytes. */
export const maxFileBytes = 4_194_304;
/** The TOML parser needs more time for each byte than the JSON parser. */
const maxTomlBytes = 1_048_576;
/** A document has at most seven levels. */
const maxDepth = 32;
/**
 * A document of the target size has about 16,000 entries, most of them engines with seven values and keys with three.
 * The schema check takes up to 10 us for each value that it refuses.
 */
const maxValues = 120_000;

/** Content of a file after parsing, not yet checked against a schema. */
export interface FileContent {
    readonly text: string;
    readonly isToml: boolean;
    readonly value: unknown;
    readonly repeatedNames: readonly Place[];
}

const hasStart = (bytes: Uint8Array, ...start: readonly number[]): boolean =>
    start.every((byte, index) => bytes[index] === byte);

/** Marks and patterns of encodings that editors write instead of UTF-8. */
const otherEncodings: readonly { readonly name: string; readonly hasForm: (bytes: Uint8Array) => boolean; }[] = [
    { name: "UTF-32", hasForm: bytes => hasStart(bytes, 0xff, 0xfe, 0, 0) || hasStart(bytes, 0, 0, 0xfe, 0xff) },
    { name: "UTF-16", hasForm: bytes => hasStart(bytes, 0xff, 0xfe) || hasStart(bytes, 0xfe, 0xff) },
    {
        name: "UTF-16 without a byte order mark",
        hasForm: bytes => bytes.length > 1 && (bytes[0] === 0) !== (bytes[1] === 0),
    },
    { name: "a byte order mark before the text", hasForm: bytes => hasStart(bytes, 0xef, 0xbb, 0xbf) },
    { name: "compressed data", hasForm: bytes => hasStart(bytes, 0x1f, 0x8b) },
];

function decodeText(bytes: Uint8Array): Result<string, string> {
    const found = otherEncodings.find(({ hasForm }) => hasForm(bytes));
    if (found) {
        return Err(`expected UTF-8, found ${found.name}`);
    }
    try {
        return Ok(new TextDecoder("utf-8", { fatal: true, ignoreBOM: true }).decode(bytes));
    }
    catch {
        return Err("expected UTF-8, found bytes of another encoding");
    }
}

/** True when a parsed value is nested deeper than the bound. Takes no recursion. */
function isTooDeep(value: unknown): boolean {
    let level: unknown[] = [value];
    for (let depth = 0; level.length > 0; depth += 1) {
        if (depth > maxDepth) {
            return true;
        }
        level = level.flatMap(item => (typeof item === "object" && item !== null ? Object.values(item) : []));
    }
    return false;
}

const tooDeep = `expected at most ${maxDepth} levels of nesting, found more`;

function parseToml(name: string, text: string): Result<FileContent, string> {
    const parsed = parseFileText(name, text);
    if (parsed.err) {
        return Err(parsed.val.map(({ message }) => message).join(", "));
    }
    return isTooDeep(parsed.val) ? Err(tooDeep) : Ok({ text, isToml: true, value: parsed.val, repeatedNames: [] });
}

function parseJson(name: string, text: string): Result<FileContent, string> {
    const structure = checkJsonStructure(text, { maxDepth, maxValues });
    if (structure.isTooDeep || structure.hasTooManyValues) {
        return Err(structure.isTooDeep ? tooDeep : `expected at most ${maxValues} values, found more`);
    }
    const parsed = parseFileText(name, text);
    return parsed.err
        ? Err(parsed.val.map(({ message }) => message).join(", "))
        : Ok({ text, isToml: false, value: parsed.val, repeatedNames: structure.repeatedNames });
}

/**
 * Parses the bytes of a file: JSON, or TOML by the extension of its name. The error does not quote the content, which
 * may contain a key.
 *
 * @example
 * parseFileBytes("document.json", Buffer.from("{}")).unwrap().value; // {}
 */
export function parseFileBytes(name: string, bytes: Uint8Array): Result<FileContent, string> {
    const isToml = name.endsWith(".toml");
    const maxBytes = isToml ? maxTomlBytes : maxFileBytes;
    if (bytes.length > maxBytes) {
        return Err(`expected at most ${maxBytes} bytes, found more`);
    }
    const text = decodeText(bytes);
    if (text.err) {
        return text;
    }
    return isToml ? parseToml(name, text.val) : parseJson(name, text.val);
}
