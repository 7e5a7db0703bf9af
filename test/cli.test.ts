/** The command line: exit codes, faults of files, and commands against a running fleet. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { runCommandLine } from "../src/cli/commandLine";
import { type Engine, startEngine } from "../standins/engine";
import { type Fleet, startFleet, waitUntilReady } from "./support/fleet";
import { buildOperatorDocument, fleetSecret, operatorKey, sendCompletion } from "./support/operator";

const directory = mkdtempSync(path.join(tmpdir(), "marjoramvane-cli-"));
afterAll(() => {
    rmSync(directory, { recursive: true });
});

function writeText(name: string, text: string): string {
    const file = path.join(directory, name);
    writeFileSync(file, text);
    return file;
}

async function runCli(args: readonly string[], key: string | undefined = operatorKey) {
    let out = "";
    let err = "";
    const code = await runCommandLine(args, {
        write: text => (out += text),
        writeError: text => (err += text),
        env: { MARJORAMVANE_OPERATOR_KEY: key },
    });
    return { code, out, err };
}

describe("command line without a process", () => {
    it("exits with code 0 for the help of a command group and lists its commands", async () => {
        for (const group of ["config", "key"]) {
            const { code, out, err } = await runCli([group, "--help"]);
            expect(code).toBe(0);
            expect(out).toContain(`${group} `);
            expect(out).not.toContain("serve");
            expect(err).toBe("");
        }
    });

    it("names every fault of the settings of the forwarding mode with exit code 2", async () => {
        const bad = writeText("forward.toml", "vm = \"\"\n[listen]\ncallers = \"here\"\n");
        const { code, err } = await runCli(["forward", "--settings", bad]);
        expect(code).toBe(2);
        for (const name of ["vm", "dataCentre", "listen.callers", "listen.peers", "store", "bounds"]) {
            expect(err).toContain(`${bad}: ${name}: `);
        }
        expect((await runCli(["forward"])).code).toBe(2);
    });

    it("names every fault of a settings file with exit code 2, and repeats no secret", async () => {
        const bad = writeText(
            "bad.toml",
            "vm = \"\"\nfleetSecret = \"short\"\n[listen]\ncallers = \"here\"\nport = 1\n",
        );
        for (const args of [["check", bad], ["serve", "--settings", bad]]) {
            const { code, err } = await runCli(args);
            expect(code).toBe(2);
            for (const name of ["vm", "dataCentre", "fleetSecret", "listen.callers", "listen.operators", "store"]) {
                expect(err).toContain(`${bad}: ${name}: `);
            }
            expect(err).not.toContain("short");
            expect(err).not.toContain("    at ");
        }
    });

    // The parser's own message shows the lines around a syntax error, which may contain the fleet secret.
    it("names the position of a syntax error without the text around it", async () => {
        const broken = writeText("broken.toml", "fleetSecret = \"secret-of-the-fleet\"\nvm = = 1\n");
        const { code, err } = await runCli(["serve", "--settings", broken]);
        expect(code).toBe(2);
        expect(err).toContain("line 2");
        expect(err).not.toContain("secret-of-the-fleet");
        const json = writeText("broken.json", "\"secret-of-the-fleet\" 1");
        expect((await runCli(["check", json])).err).not.toContain("secret-of-the-fleet");
    });

    it("checks documents in JSON and TOML", async () => {
        const good = writeText("good.json", JSON.stringify(buildOperatorDocument()));
        expect(await runCli(["check", good])).toMatchObject({ code: 0, out: `${good}: valid document\n` });
        const bad = writeText("bad-document.toml", "[accounts.shop]\nrate = -1\n");
        const { code, out } = await runCli(["check", "--json", bad]);
        expect(code).toBe(2);
        const faults = (JSON.parse(out) as { faults: { path: string; }[]; }).faults.map(fault => fault.path);
        expect(faults).toEqual(["accounts.shop.rate", "accounts.shop.burst"]);
    });

    it.each([
        [[]],
        [["config"]],
        [["unknown"]],
        [["status"]],
        [["status", "--address", "localhost"]],
        [["status", "--address", "127.0.0.1:1", "--operator-key=sk-argument"]],
        [["check"]],
        [["check", "/nonexistent/file"]],
        [["config", "put", "--address", "127.0.0.1:1", "--expect", "x", "/dev/null"]],
    ])("answers wrong usage %j with exit code 2", async args => {
        const { code, err } = await runCli(args);
        expect(code).toBe(2);
        expect(err).not.toContain("    at ");
        expect(err).not.toContain("sk-argument");
    });

    it("prints help, and exits with code 4 when the process does not answer", async () => {
        expect((await runCli(["config", "put", "--help"])).out).toContain("--expect VERSION");
        expect((await runCli(["--help"])).out).toContain("key withdraw");
        const good = writeText("offline.json", JSON.stringify(buildOperatorDocument()));
        const offline = ["config", "check", good, "--against", "current", "--address", "127.0.0.1:1"];
        expect((await runCli(offline)).code).toBe(4);
        const { code, err } = await runCli(["key", "grant", "--account", "shop", "--address", "127.0.0.1:1"]);
        expect(code).toBe(4);
        expect(err).toContain("Nothing was changed.");
        expect((await runCli(["status", "--address", "127.0.0.1:1"], "")).code).toBe(2);
    });
});

describe("command line with a fleet", () => {
    let engine: Engine;
    let fleet: Fleet;

    beforeAll(async () => {
        engine = await startEngine({ model: "copywriter", version: "v1", blockTokens: 256, decodeMs: 1 });
        fleet = await startFleet({ count: 2 });
    });

    afterAll(async () => {
        await fleet.stop();
        await engine.stop();
    });

    afterEach(() => {
        expect(fleet.logs.join("")).not.toContain(operatorKey);
    });

    const runAt = (args: readonly string[], key?: string) =>
        runCli([...args, "--address", fleet.nodes[0]?.settings.listen.operators ?? ""], key);

    it("runs an operator's commands from the first document to the withdrawal of a key", async () => {
        const document = writeText("document.json", JSON.stringify(buildOperatorDocument(engine)));
        expect(await runAt(["config", "put", document], fleetSecret)).toMatchObject({
            code: 0,
            out: expect.stringMatching(/^accepted: version 1, in force on [12] of [12] members\n$/) as string,
        });
        await waitUntilReady(fleet);
        expect((await runAt(["config", "get"], fleetSecret)).code).toBe(1);
        const granted = await runAt(["key", "grant", "--account", "shop", "--label", "till 3"]);
        const key = /^key (\S+)$/m.exec(granted.out)?.[1] ?? "";
        const answer = await sendCompletion(fleet, 0, key);
        expect(answer.status).toBe(200);
        const explained = await runAt(["explain", answer.headers.get("x-request-id") ?? ""]);
        expect(explained.out).toContain("attempt 1 on engine-0: finished");
        expect((await runAt(["key", "withdraw", "till 3"])).code).toBe(0);
        expect((await sendCompletion(fleet, 0, key)).status).toBe(401);
        const keyFile = writeText("key", `${operatorKey}\n`);
        const stale = ["config", "put", document, "--expect", "1", "--key-file", keyFile];
        expect(await runAt(stale, "")).toMatchObject({ code: 3, err: "The configuration is at version 3.\n" });
        const shorter = writeText("shorter.json", JSON.stringify({ ...buildOperatorDocument(engine), routes: {} }));
        const compared = await runAt(["config", "check", shorter, "--against", "current"]);
        expect(compared.out).toContain("requests that name catalogue are refused as unknown (before: copywriter@v1)");
        const refused = await runAt(["config", "check", shorter, "--against", "current"], fleetSecret);
        expect(refused).toMatchObject({ code: 2, out: "" });
        const history = await runAt(["config", "history"]);
        expect(history.out.trim().split("\n")).toHaveLength(4);
        const status = await runAt(["status"]);
        expect(status.out).toMatch(/configuration: version 3, fresh, .*\nstore: reachable/);
        expect(JSON.parse((await runAt(["status", "--json"])).out)).toMatchObject({ vm: "entry-0", configVersion: 3 });
        const entries = await runCli(["entries", "--address", fleet.nodes[1]?.settings.listen.callers ?? ""]);
        expect(entries.out).toContain(fleet.nodes[1]?.settings.listen.callers);
        expect([granted, explained, history, status].map(run => run.code)).toEqual([0, 0, 0, 0]);
        expect(status.out + history.out + explained.out).not.toContain(key);
    });
});
