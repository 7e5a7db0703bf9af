/** Command interface: options, help texts and exit codes. */
import { closeSync, openSync, readFileSync, readSync } from "node:fs";
import type { ParseArgsConfig } from "node:util";
import type { Fault } from "../config/document";

/** Exit codes of all commands; docs/cli.md documents them. */
export const exitCodes = { done: 0, failed: 1, invalid: 2, conflict: 3, unreachable: 4 } as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Output streams and environment of a command; tests pass their own. */
export interface CommandIo {
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
    readonly env: Readonly<Record<string, string | undefined>>;
}

export type OptionValues = Readonly<Record<string, string | boolean | (string | boolean)[] | undefined>>;

export interface CommandInvocation {
    readonly values: OptionValues;
    readonly positionals: readonly string[];
    readonly io: CommandIo;
}

export interface CommandOption {
    readonly type: "string" | "boolean";
    /** Placeholder for the value of a string option in help. */
    readonly value?: string;
    readonly help: string;
}

export interface Command {
    readonly summary: string;
    /** Positional arguments, all required, as shown in help. */
    readonly arguments: readonly string[];
    readonly options: Readonly<Record<string, CommandOption>>;
    readonly run: (invocation: CommandInvocation) => Promise<ExitCode>;
}

/** Invalid use of a command; printed without a stack trace, exit code 2. */
export class UsageError extends Error {}

export const jsonOption: CommandOption = { type: "boolean", help: "print JSON for programs" };

/** Options of commands that call the operators' address of a process. */
export const operatorOptions: Readonly<Record<string, CommandOption>> = {
    "address": { type: "string", value: "IP:PORT", help: "operators' address of a process" },
    "key-file": { type: "string", value: "FILE", help: "file with the operator key" },
    "json": jsonOption,
};

export const toParseOptions = (options: Command["options"]): NonNullable<ParseArgsConfig["options"]> =>
    Object.fromEntries(Object.entries(options).map(([name, { type }]) => [name, { type }]));

/** Value of a string option. */
export function getStringOption(values: OptionValues, name: string): string | undefined {
    const value = values[name];
    return typeof value === "string" ? value : undefined;
}

/** Value of a required string option. */
export function getRequiredOption(values: OptionValues, name: string): string {
    const value = getStringOption(values, name);
    if (value === undefined || value === "") {
        throw new UsageError(`--${name} is required`);
    }
    return value;
}

/** Reads a file named on the command line. */
export function readTextFile(name: string): string {
    try {
        return readFileSync(name, "utf8");
    }
    catch {
        throw new UsageError(`cannot read the file ${name}`);
    }
}

const readStepBytes = 65_536;

/** Reads at most one byte more than `maxBytes` of a file, which may be a pipe or a device without an end. */
export function readFileBytes(name: string, maxBytes: number): Buffer {
    try {
        const file = openSync(name, "r");
        try {
            const pieces: Buffer[] = [];
            let total = 0;
            for (let isOpen = true; isOpen && total <= maxBytes;) {
                const piece = Buffer.alloc(Math.min(readStepBytes, maxBytes + 1 - total));
                const count = readSync(file, piece);
                pieces.push(piece.subarray(0, count));
                total += count;
                isOpen = count > 0;
            }
            return Buffer.concat(pieces);
        }
        finally {
            closeSync(file);
        }
    }
    catch {
        throw new UsageError(`cannot read the file ${name}`);
    }
}

/** Prints every fault of a file or a change on a line of its own. */
export function printFaults(io: CommandIo, source: string, faults: readonly Fault[]): void {
    for (const { path, message } of faults) {
        io.writeError(`${source}: ${path}: ${message}\n`);
    }
}

/** Aligns columns; the last one is not padded. */
export function formatColumns(rows: readonly (readonly string[])[]): string {
    const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    return rows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .map(line => `${line}\n`)
        .join("");
}
