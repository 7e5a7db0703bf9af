/** `check`: validates a settings file or a configuration document offline. */
import { parseDocument } from "../../config/document";
import { isSettings, parseFileText } from "../../config/files";
import { parseSettings } from "../../config/settings";
import { type Command, exitCodes, jsonOption, printFaults, readTextFile } from "../command";

export const checkCommand: Command = {
    summary: "Checks a settings file (TOML) or a configuration document (JSON or TOML).",
    arguments: ["FILE"],
    options: { json: jsonOption },
    run: async ({ values, positionals, io }) => {
        const file = positionals[0] ?? "";
        const parsed = parseFileText(file, readTextFile(file));
        const kind = parsed.ok && isSettings(parsed.val) ? "settings" : "document";
        const checked = parsed.ok ? (kind === "settings" ? parseSettings : parseDocument)(parsed.val) : parsed;
        const faults = checked.err ? checked.val : [];
        if (values["json"]) {
            io.write(`${JSON.stringify({ file, kind, faults })}\n`);
        }
        else if (faults.length === 0) {
            io.write(`${file}: valid ${kind}\n`);
        }
        printFaults(io, file, faults);
        return faults.length === 0 ? exitCodes.done : exitCodes.invalid;
    },
};
