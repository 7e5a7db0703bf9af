/** `entries`: the addresses that callers should use. */
import { z } from "zod";
import { type Command, jsonOption } from "../command";
import { runOperatorCall } from "../operatorClient";

export const entriesCommand: Command = {
    summary: "Prints the addresses that callers should use, in order.",
    arguments: [],
    options: {
        address: { type: "string", value: "IP:PORT", help: "callers' address of a process" },
        json: jsonOption,
    },
    run: invocation =>
        runOperatorCall(invocation, {
            method: "GET",
            path: "/v1/entries",
            needsKey: false,
            schema: z.looseObject({ entries: z.array(z.string()), keep_seconds: z.number() }),
            format: ({ entries }) => entries.map(entry => `${entry}\n`).join(""),
        }),
};
