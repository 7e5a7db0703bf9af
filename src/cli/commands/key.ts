/** `key grant`, `key withdraw`: keys of client accounts. */
import { z } from "zod";
import { type Command, getRequiredOption, getStringOption, operatorOptions } from "../command";
import { runOperatorCall } from "../operatorClient";
import { changeResultSchema, formatChangeResult } from "./config";

export const keyGrantCommand: Command = {
    summary: "Grants a new key to a client account and prints it; it cannot be shown again.",
    arguments: [],
    options: {
        ...operatorOptions,
        account: { type: "string", value: "NAME", help: "client account" },
        label: { type: "string", value: "TEXT", help: "label by which the key can be withdrawn" },
    },
    run: invocation =>
        runOperatorCall(invocation, {
            method: "POST",
            path: "/operator/keys",
            body: {
                account: getRequiredOption(invocation.values, "account"),
                label: getStringOption(invocation.values, "label") ?? "",
            },
            schema: changeResultSchema.extend({ key: z.string(), key_hash: z.string() }),
            format: body => `${formatChangeResult(body)}key ${body.key}\nhash ${body.key_hash}\n`,
        }),
};

export const keyWithdrawCommand: Command = {
    summary: "Withdraws a key of a client account, by its label or the first 8 or more digits of its hash.",
    arguments: ["NAME"],
    options: operatorOptions,
    run: invocation =>
        runOperatorCall(invocation, {
            method: "DELETE",
            path: `/operator/keys/${encodeURIComponent(invocation.positionals[0] ?? "")}`,
            schema: changeResultSchema,
            format: formatChangeResult,
        }),
};
