/** Parsers for files written by operators: settings in TOML, configuration documents in JSON or TOML. */
import { parse as parseToml, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { Fault } from "./document";

const buildFault = (message: string): Result<never, readonly Fault[]> => Err([{ path: "(file)", message }]);

/** Parses TOML. The fault gives the position but not the text, which may contain a secret. */
export function parseTomlText(text: string): Result<unknown, readonly Fault[]> {
    try {
        return Ok(parseToml(text));
    }
    catch (error) {
        const position = error instanceof TomlError ? ` at line ${error.line}, column ${error.column}` : "";
        return buildFault(`expected TOML, found a syntax error${position}`);
    }
}

/** Parses JSON. The fault does not quote the text, which may contain a secret. */
export function parseJsonText(text: string): Result<unknown, readonly Fault[]> {
    try {
        return Ok(JSON.parse(text) as unknown);
    }
    catch {
        return buildFault("expected JSON, found a syntax error");
    }
}

/**
 * Parses a file by the extension of its name: `.toml` is TOML, anything else JSON.
 *
 * @example
 * parseFileText("document.toml", "[accounts.shop]\nrate = 1\nburst = 2").unwrap();
 */
export const parseFileText = (name: string, text: string): Result<unknown, readonly Fault[]> =>
    name.endsWith(".toml") ? parseTomlText(text) : parseJsonText(text);

const identifyingSettings = ["vm", "listen", "store", "fleetSecret"];

/** True when the input is settings rather than a configuration document: it has one of the identifying fields. */
export const isSettings = (input: unknown): boolean =>
    typeof input === "object" && input !== null && identifyingSettings.some(name => Object.hasOwn(input, name));
