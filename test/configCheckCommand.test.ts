/** The command `config check`: unreadable input, wrong use, and the examples of its documentation. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { runCommandLine } from "../src/cli/commandLine";
import { findingCodes } from "../src/configCheck/checks";
import { buildForwardText, buildServeDocument, measureCpuMs } from "./support/configCheck";

const documentation = readFileSync("docs/cli.md", "utf8").split(/^## /m).find(text => text.startsWith("config check\n"))
    ?? "";
const startFolder = process.cwd();
const folder = mkdtempSync(path.join(tmpdir(), "marjoramvane-config-check-"));

beforeAll(() => {
    // Reports name the file as it was given, so that the examples need it in the current folder.
    process.chdir(folder);
});

afterAll(() => {
    process.chdir(startFolder);
    rmSync(folder, { recursive: true });
});

async function runCheck(...args: readonly string[]) {
    let out = "";
    let err = "";
    const code = await runCommandLine(["config", "check", ...args], {
        write: text => (out += text),
        writeError: text => (err += text),
        env: {},
    });
    return { code, out, err };
}

/** Files whose content cannot be read as a document, with a part of the error. */
const unreadable: readonly [string, string, () => string | Buffer, RegExp][] = [
    ["empty", "empty.json", () => "", /expected JSON/],
    ["cut off", "cut.json", () => "{\"routes\": [", /expected JSON/],
    ["not TOML", "broken.toml", () => "[accounts", /expected TOML.* line 1/],
    ["larger than the bound", "large.json", () => "x".repeat(50_000_000), /at most 4194304 bytes/],
    ["TOML larger than the bound", "large.toml", () => "#\n".repeat(600_000), /at most 1048576 bytes/],
    ["of too many values", "many.json", () => `[${"1,".repeat(2_000_000)}1]`, /at most 120000 values/],
    ["of deeply nested lists", "lists.json", () => "[".repeat(4_000_000), /at most 32 levels/],
    ["of deeply nested objects", "objects.json", () => "{\"a\":".repeat(800_000), /at most 32 levels/],
    ["of deeply nested closed lists", "closed.json", () => "[".repeat(9999) + "]".repeat(9999), /at most 32 levels/],
    ["of deeply nested TOML", "deep.toml", () => `a${".a".repeat(500_000)} = 1\n`, /at most 32 levels/],
    ["of deeply nested inline TOML", "inline.toml", () => `a = ${"[".repeat(1_000_000)}`, /expected TOML/],
    ["UTF-16", "utf16.json", () => Buffer.from("\ufeff{}", "utf16le"), /found UTF-16/],
    ["UTF-16 without a mark", "plain16.json", () => Buffer.from("{}", "utf16le"), /found UTF-16/],
    ["UTF-32", "utf32.json", () => Buffer.from([0xff, 0xfe, 0, 0, 0x7b, 0, 0, 0]), /found UTF-32/],
    ["Latin-1", "latin.json", () => Buffer.from("{\"a\":\"\u00e9\"}", "latin1"), /another encoding/],
    ["marked UTF-8", "marked.json", () => "\ufeff{}", /byte order mark/],
    ["compressed", "packed.json", () => Buffer.from([0x1f, 0x8b, 8, 0]), /compressed/],
    ["TOML for `forward`", "forward.toml", () => "routes = []\n", /expected JSON/],
];

describe("config check", () => {
    it.each(unreadable)("answers a file that is %s with exit code 2", async (_name, file, build, message) => {
        writeFileSync(file, build());
        const { code, out, err } = await runCheck(file);
        expect({ code, out }).toEqual({ code: 2, out: "" });
        expect(err).toMatch(message);
        expect(err.length).toBeLessThan(300);
        const json = await runCheck(file, "--format", "json");
        expect(JSON.parse(json.out)).toMatchObject({ file, error: expect.stringMatching(message) as string });
    });

    // The schema check is the most expensive step, and most so where it refuses every value.
    it.each([
        ["objects without fields", `{"version":1,"services":[],"routes":[${"{\"name\":\"a\"},".repeat(59_000)}1]}`],
        ["numbers", `{"version":1,"services":[],"routes":[${"1,".repeat(119_000)}1]}`],
        ["long texts", `{"version":1,"services":[],"routes":["${"\\n".repeat(2_000_000)}"]}`],
    ])("bounds memory and output for a list of %s", async (_name, text) => {
        writeFileSync("refused.json", text);
        const before = process.memoryUsage().heapUsed;
        const { code, out } = await runCheck("refused.json");
        expect(code).toBe(1);
        expect(process.memoryUsage().heapUsed - before).toBeLessThan(512 * 1024 * 1024);
        expect(out.length).toBeLessThan(1024 * 1024);
    });

    it("refuses a large and deeply nested file within a second of processor time", async () => {
        writeFileSync("slow.json", `{"a":${"[".repeat(31)}${"1,".repeat(2_000_000)}`);
        let running: ReturnType<typeof runCheck> | undefined;
        const cpuMs = measureCpuMs(() => {
            running = runCheck("slow.json");
        });
        expect((await running)?.code).toBe(2);
        expect(cpuMs).toBeLessThan(1000);
    });

    it.each([
        [[]],
        [["missing.json"]],
        [["."]],
        [["good.json", "--format", "xml"]],
        [["good.json", "--mode", "both"]],
        [["good.json", "--window", "0"]],
        [["good.json", "--against", "missing.json"]],
        [["good.json", "--against", "forward.json"]],
        [["good.json", "--against", "current"]],
        [["forward.json", "--against", "current", "--address", "127.0.0.1:1"]],
    ])("answers wrong use %j with exit code 2", async args => {
        writeFileSync("good.json", JSON.stringify(buildServeDocument()));
        writeFileSync("forward.json", buildForwardText());
        const { code, err } = await runCheck(...args);
        expect(code).toBe(2);
        expect(err).not.toContain("    at ");
    });

    it("takes the mode from the content, or from the option", async () => {
        writeFileSync("good.json", JSON.stringify(buildServeDocument()));
        writeFileSync("forward.json", buildForwardText());
        expect(await runCheck("good.json")).toMatchObject({
            code: 0,
            out: expect.stringContaining("`serve`") as string,
        });
        expect((await runCheck("forward.json")).out).toBe("forward.json: no findings (document of `forward`)\n");
        expect(await runCheck("forward.json", "--mode", "serve")).toMatchObject({ code: 1 });
    });

    it("writes no control characters of a document to the terminal", async () => {
        writeFileSync("control.json", buildForwardText({ services: [{ name: "\u001b]0;title\u0007\n\u2028" }] }));
        const { out } = await runCheck("control.json");
        expect(out).toContain("\\u001b]0;title\\u0007\\u000a\\u2028");
        expect(out).not.toContain("\u001b");
    });
});

/** Commands of a block of the documentation with what they print; `echo $?` stands for the exit code before it. */
function listExamples(block: string): readonly { readonly command: string; readonly output: string; }[] {
    return block.split(/^\$ /m).slice(1).map(text => {
        const [command = "", ...output] = text.split("\n");
        return { command, output: output.join("\n") };
    });
}

describe("documentation of config check", () => {
    it("shows what the command prints", async () => {
        for (const [, name = "", content = ""] of documentation.matchAll(/^```json (\S+)\n([^]*?)^```$/gm)) {
            writeFileSync(name, content);
        }
        let count = 0;
        for (const [, block = ""] of documentation.matchAll(/^```\n(\$ [^]*?)^```$/gm)) {
            let exitCode = 0;
            for (const { command, output } of listExamples(block)) {
                if (command === "echo $?") {
                    expect(output).toBe(`${exitCode}\n`);
                    continue;
                }
                const { code, out, err } = await runCheck(...command.split(" ").slice(3));
                expect(`${command}\n${err}${out}`).toBe(`${command}\n${output}`);
                exitCode = code;
                count += 1;
            }
        }
        expect(count).toBe(3);
    });

    it("names every code of a finding", () => {
        const named = new Set([...documentation.matchAll(/`([a-z-]+)`/g)].map(([, code]) => code));
        expect(findingCodes.filter(code => !named.has(code))).toEqual([]);
    });
});
