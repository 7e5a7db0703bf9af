/** Parses the command line and runs the command. */
import { parseArgs } from "node:util";
import {
    type Command,
    type CommandIo,
    type CommandOption,
    type ExitCode,
    exitCodes,
    toParseOptions,
    UsageError,
} from "./command";
import { checkCommand } from "./commands/check";
import { configGetCommand, configHistoryCommand, configPutCommand } from "./commands/config";
import { configCheckCommand } from "./commands/configCheck";
import { entriesCommand } from "./commands/entries";
import { explainCommand } from "./commands/explain";
import { forwardCommand } from "./commands/forward";
import { keyGrantCommand, keyWithdrawCommand } from "./commands/key";
import { serveCommand } from "./commands/serve";
import { statusCommand } from "./commands/status";

export const programName = "marjoramvane";
export const programVersion = "0.1.0";

const commands: Readonly<Record<string, Command>> = {
    "serve": serveCommand,
    "forward": forwardCommand,
    "check": checkCommand,
    "config get": configGetCommand,
    "config put": configPutCommand,
    "config history": configHistoryCommand,
    "config check": configCheckCommand,
    "key grant": keyGrantCommand,
    "key withdraw": keyWithdrawCommand,
    "entries": entriesCommand,
    "status": statusCommand,
    "explain": explainCommand,
};

const helpOption: CommandOption = { type: "boolean", help: "print this help" };

function formatOverview(group = ""): string {
    const listed = Object.entries(commands).filter(([name]) => name.startsWith(group));
    const width = Math.max(...listed.map(([name]) => name.length));
    const lines = listed.map(([name, { summary }]) => `  ${name.padEnd(width)}  ${summary}\n`);
    return `usage: ${programName} COMMAND [OPTIONS]\n\n${lines.join("")}\n`
        + `Run "${programName} COMMAND --help" for the options of a command.\n`;
}

function formatHelp(name: string, command: Command): string {
    const options = Object.entries({ ...command.options, help: helpOption });
    const labels = options.map(([option, { value }]) => (value === undefined ? `--${option}` : `--${option} ${value}`));
    const width = Math.max(...labels.map(label => label.length));
    const lines = options.map(([, { help }], index) => `  ${labels[index]?.padEnd(width)}  ${help}\n`);
    const usage = [programName, name, ...command.arguments, "[OPTIONS]"].join(" ");
    return `usage: ${usage}\n\n${command.summary}\n\n${lines.join("")}`;
}

/** Finds a command by its name, which has one or two words. */
function findCommand(args: readonly string[]): { readonly name: string; readonly rest: string[]; } | undefined {
    return [2, 1]
        .map(length => ({ name: args.slice(0, length).join(" "), rest: args.slice(length) }))
        .find(({ name }) => Object.hasOwn(commands, name));
}

async function runCommand(name: string, args: string[], io: CommandIo): Promise<ExitCode> {
    const command = commands[name] as Command;
    const options = toParseOptions({ ...command.options, help: helpOption });
    const { values, positionals } = parseArgs({ args, options, allowPositionals: true });
    if (values["help"]) {
        io.write(formatHelp(name, command));
        return exitCodes.done;
    }
    if (positionals.length !== command.arguments.length) {
        const expected = command.arguments.length === 0 ? "no arguments" : command.arguments.join(" ");
        throw new UsageError(`expected ${expected}`);
    }
    return command.run({ values, positionals, io });
}

const isUsageFault = (error: unknown): error is Error =>
    error instanceof UsageError
    || (error instanceof TypeError && String((error as { code?: unknown; }).code).startsWith("ERR_PARSE_ARGS"));

/**
 * Runs the command line and returns the exit code. Errors are printed without a stack trace.
 *
 * @example
 * await runCommandLine(["check", "settings.toml"], io); // 0 or 2
 */
export async function runCommandLine(args: readonly string[], io: CommandIo): Promise<ExitCode> {
    if (args[0] === "--version") {
        io.write(`${programName} ${programVersion}\n`);
        return exitCodes.done;
    }
    if (args[0] === "--help") {
        io.write(formatOverview());
        return exitCodes.done;
    }
    const [group = "", option] = args;
    if (option === "--help" && Object.keys(commands).some(name => name.startsWith(`${group} `))) {
        io.write(formatOverview(`${group} `));
        return exitCodes.done;
    }
    const found = findCommand(args);
    if (!found) {
        io.writeError(formatOverview());
        return exitCodes.invalid;
    }
    try {
        return await runCommand(found.name, found.rest, io);
    }
    catch (error) {
        const message = error instanceof Error ? error.message : "unexpected failure";
        io.writeError(`${programName} ${found.name}: ${message}\n`);
        return isUsageFault(error) ? exitCodes.invalid : exitCodes.failed;
    }
}
