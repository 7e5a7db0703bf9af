/** `config check`: checks a configuration document before it is sent, and compares it with another one. */
import { z } from "zod";
import { isPlatformConfiguration, readPlatformView } from "../../../platform/configurationView";
import {
    checkDocument,
    type CheckReport,
    type DocumentMode,
    documentModes,
    type DocumentReaders,
    readCompletionsView,
} from "../../configCheck/checkDocument";
import { type FileContent, maxFileBytes, parseFileBytes } from "../../configCheck/input";
import { type CheckSettings, defaultCheckSettings } from "../../configCheck/limits";
import { formatReport, toPrintable } from "../../configCheck/report";
import type { ConfigView } from "../../configCheck/view";
import {
    type Command,
    type CommandInvocation,
    type ExitCode,
    exitCodes,
    getStringOption,
    type OptionValues,
    readFileBytes,
    UsageError,
} from "../command";
import { runOperatorCall } from "../operatorClient";

const readers: DocumentReaders = { serve: readCompletionsView, forward: readPlatformView };

/** Value of an option that names one of a few choices. */
function getChoice<Choice extends string>(
    values: OptionValues,
    name: string,
    choices: readonly Choice[],
): Choice | undefined {
    const value = getStringOption(values, name);
    const choice = choices.find(candidate => candidate === value);
    if (value !== undefined && choice === undefined) {
        throw new UsageError(`--${name}: expected ${choices.join(" or ")}`);
    }
    return choice;
}

function getCheckSettings(values: OptionValues): CheckSettings {
    const window = getStringOption(values, "window");
    if (window === undefined) {
        return defaultCheckSettings;
    }
    const windowSeconds = Number(window);
    if (!(windowSeconds > 0 && Number.isFinite(windowSeconds))) {
        throw new UsageError("--window: expected a number of seconds above 0");
    }
    return { windowSeconds };
}

/** Parses a file; the message of the error names it. */
function readContent(file: string): FileContent {
    const parsed = parseFileBytes(file, readFileBytes(file, maxFileBytes));
    if (parsed.err) {
        throw new UsageError(`${file}: ${parsed.val}`);
    }
    return parsed.val;
}

const findMode = ({ value }: FileContent): DocumentMode => (isPlatformConfiguration(value) ? "forward" : "serve");

const currentSchema = z.looseObject({ document: z.unknown() });

/** Asks a process for the document in force. Returns the exit code when it gives none. */
async function loadCurrent(invocation: CommandInvocation): Promise<ConfigView | ExitCode> {
    let document: unknown;
    // The response is not printed, whatever the format of the report.
    const quiet = { ...invocation, io: { ...invocation.io, write: () => undefined } };
    const code = await runOperatorCall(quiet, {
        method: "GET",
        path: "/operator/configuration",
        schema: currentSchema,
        format: body => {
            document = body.document;
            return "";
        },
    });
    if (code !== exitCodes.done) {
        // Code 1 means findings here, so a refused call is reported as a wrong one.
        return code === exitCodes.failed ? exitCodes.invalid : code;
    }
    const view = readers.serve(document);
    if (view.err) {
        throw new UsageError("this version cannot read the document in force");
    }
    return view.val;
}

function readAgainst(file: string, mode: DocumentMode): ConfigView {
    const view = readers[mode](readContent(file).value);
    if (view.err) {
        const [{ path, message } = { path: "", message: "" }] = view.val;
        throw new UsageError(`${file}: no document of \`${mode}\` to compare with: ${path}: ${message}`);
    }
    return view.val;
}

async function loadAgainst(
    invocation: CommandInvocation,
    mode: DocumentMode,
): Promise<ConfigView | ExitCode | undefined> {
    const against = getStringOption(invocation.values, "against");
    if (against !== "current") {
        return against === undefined ? undefined : readAgainst(against, mode);
    }
    if (mode === "forward") {
        throw new UsageError(
            "--against: processes of `forward` have no operators' address; give a file to compare with",
        );
    }
    return loadCurrent(invocation);
}

const formats: Readonly<Record<string, (file: string, report: CheckReport) => string>> = {
    text: formatReport,
    json: (file, report) => `${JSON.stringify({ file, ...report })}\n`,
};

const formatError = (file: string, error: string): string => `${JSON.stringify({ file, error: toPrintable(error) })}\n`;

async function runCheck(invocation: CommandInvocation): Promise<ExitCode> {
    const { values, positionals: [file = ""], io } = invocation;
    const format = getChoice(values, "format", Object.keys(formats)) ?? "text";
    const chosenMode = getChoice(values, "mode", documentModes);
    const settings = getCheckSettings(values);
    const content = readContent(file);
    const mode = chosenMode ?? findMode(content);
    if (mode === "forward" && content.isToml) {
        throw new UsageError(`${file}: expected JSON, as the store holds it for \`forward\``);
    }
    const against = await loadAgainst(invocation, mode);
    if (typeof against === "number") {
        if (format === "json") {
            io.write(formatError(file, "no document in force to compare with"));
        }
        return against;
    }
    const report = checkDocument({ content, mode, read: readers[mode], against, settings });
    io.write(formats[format]?.(file, report) ?? "");
    return report.findingCount === 0 ? exitCodes.done : exitCodes.failed;
}

export const configCheckCommand: Command = {
    summary: "Checks a configuration document before it is sent, and lists what it changes for callers.",
    arguments: ["FILE"],
    options: {
        "against": {
            type: "string",
            value: "FILE|current",
            help: "document to compare with; `current` asks a process",
        },
        "format": { type: "string", value: "text|json", help: "form of the report; default: text" },
        "mode": {
            type: "string",
            value: "serve|forward",
            help: "command that uses the document; default: by its content",
        },
        "window": { type: "string", value: "SECONDS", help: "window over which rates are counted; default: 60" },
        "address": {
            type: "string",
            value: "IP:PORT",
            help: "operators' address of a process, for `--against current`",
        },
        "key-file": { type: "string", value: "FILE", help: "file with the operator key, for `--against current`" },
    },
    run: async invocation => {
        try {
            return await runCheck(invocation);
        }
        catch (error) {
            if (error instanceof UsageError && getStringOption(invocation.values, "format") === "json") {
                invocation.io.write(formatError(invocation.positionals[0] ?? "", error.message));
            }
            throw error;
        }
    },
};
