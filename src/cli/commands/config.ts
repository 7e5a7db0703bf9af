/** `config get`, `config put`, `config history`: the configuration document of the fleet. */
import { z } from "zod";
import { parseDocument } from "../../config/document";
import { parseFileText } from "../../config/files";
import {
    type Command,
    exitCodes,
    formatColumns,
    getStringOption,
    operatorOptions,
    printFaults,
    readTextFile,
    UsageError,
} from "../command";
import { runOperatorCall } from "../operatorClient";

export const changeResultSchema = z.looseObject({
    state: z.enum(["accepted", "committed"]),
    version: z.number(),
    confirmed: z.number(),
    members: z.number(),
});

/** Formats the result of a change: its state, its version and the number of members that apply it. */
export function formatChangeResult(
    { state, version, confirmed, members }: z.output<typeof changeResultSchema>,
): string {
    const reach = `in force on ${confirmed} of ${members} members`;
    return state === "accepted"
        ? `accepted: version ${version}, ${reach}\n`
        : `committed: version ${version}, ${reach}; the others follow when they can be reached\n`;
}

export const configGetCommand: Command = {
    summary: "Prints the active configuration; with --json its version as well.",
    arguments: [],
    options: operatorOptions,
    run: invocation =>
        runOperatorCall(invocation, {
            method: "GET",
            path: "/operator/configuration",
            schema: z.looseObject({ version: z.number(), document: z.unknown() }),
            format: ({ version, document }) => {
                invocation.io.writeError(`version ${version}\n`);
                return `${JSON.stringify(document, undefined, 4)}\n`;
            },
        }),
};

export const configPutCommand: Command = {
    summary: "Replaces the active configuration with a configuration document.",
    arguments: ["FILE"],
    options: {
        ...operatorOptions,
        expect: { type: "string", value: "VERSION", help: "version that the document was edited from" },
        note: { type: "string", value: "TEXT", help: "note for the history" },
    },
    run: async invocation => {
        const { values, positionals, io } = invocation;
        const file = positionals[0] ?? "";
        const expected = getStringOption(values, "expect");
        if (expected !== undefined && !/^\d{1,15}$/.test(expected)) {
            throw new UsageError("--expect: expected a version number");
        }
        const parsed = parseFileText(file, readTextFile(file));
        const checked = parsed.ok ? parseDocument(parsed.val) : parsed;
        if (checked.err) {
            printFaults(io, file, checked.val);
            return exitCodes.invalid;
        }
        return runOperatorCall(invocation, {
            method: "PUT",
            path: `/operator/configuration?note=${encodeURIComponent(getStringOption(values, "note") ?? "")}`,
            body: checked.val,
            ...(expected === undefined ? {} : { headers: { "if-match": expected } }),
            schema: changeResultSchema,
            format: formatChangeResult,
        });
    },
};

const historySchema = z.looseObject({
    entries: z.array(z.looseObject({
        version: z.number(),
        at: z.string(),
        operator: z.string(),
        note: z.string(),
        changed: z.array(z.string()),
    })),
});

export const configHistoryCommand: Command = {
    summary: "Lists the latest changes of the configuration; entries that a change removed begin with a dash.",
    arguments: [],
    options: operatorOptions,
    run: invocation =>
        runOperatorCall(invocation, {
            method: "GET",
            path: "/operator/history",
            schema: historySchema,
            format: ({ entries }) =>
                formatColumns([
                    ["VERSION", "AT", "OPERATOR", "CHANGED", "NOTE"],
                    ...entries.map(entry => [
                        String(entry.version),
                        entry.at,
                        entry.operator,
                        entry.changed.join(" "),
                        entry.note,
                    ]),
                ]),
        }),
};
