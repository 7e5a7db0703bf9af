/** Files that operators write: settings in TOML, configuration documents in JSON or TOML. */
import { parse as parseToml, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { Fault } from "./document";

const buildFault = (message: string): Result<never, readonly Fault[]> => Err([{ path: "(file)", message }]);

/** Parses TOML. The fault names the place and not the text, which may hold a secret. */
export function parseTomlText(text: string): Result<unknown, readonly Fault[]> {
    try {
        return Ok(parseToml(text));
    }
    catch (error) {
        const place = error instanceof TomlError ? ` at line ${error.line}, column ${error.column}` : "";
        return buildFault(`expected TOML, found a syntax error${place}`);
    }
}

/** Parses JSON. The fault does not repeat the text, which may hold a secret. */
export function parseJsonText(text: string): Result<unknown, readonly Fault[]> {
    try {
        return Ok(JSON.parse(text) as unknown);
    }
    catch {
        return buildFault("expected JSON, found a syntax error");
    }
}

/**
 * Parses a file by its name: `.toml` is TOML, everything else JSON.
 *
 * @example
 * parseFileText("document.toml", "[accounts.shop]\nrate = 1\nburst = 2").unwrap();
 */
export const parseFileText = (name: string, text: string): Result<unknown, readonly Fault[]> =>
    name.endsWith(".toml") ? parseTomlText(text) : parseJsonText(text);

const settingsNames = ["vm", "listen", "store", "fleetSecret"];

/** True for parsed settings; anything else is taken for a configuration document. */
export const isSettings = (input: unknown): boolean =>
    typeof input === "object" && input !== null && settingsNames.some(name => Object.hasOwn(input, name));
