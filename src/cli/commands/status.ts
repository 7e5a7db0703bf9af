/** `status`: state of one process, and of the fleet as known to that process. */
import { z } from "zod";
import { type Command, formatColumns, operatorOptions } from "../command";
import { runOperatorCall } from "../operatorClient";

const ageSchema = z.number().optional();

const statusSchema = z.looseObject({
    vm: z.string(),
    dataCentre: z.string(),
    state: z.string(),
    configVersion: z.number(),
    confirmedAgeMs: ageSchema,
    freshness: z.string(),
    storeReachable: z.boolean(),
    members: z.array(
        z.looseObject({ vm: z.string(), state: z.string(), heardAgeMs: ageSchema, configVersion: z.number() }),
    ),
    targets: z.array(z.looseObject({
        target: z.string(),
        state: z.string(),
        model: z.string().optional(),
        version: z.string().optional(),
        inFlight: z.number(),
        reportAgeMs: ageSchema,
    })),
    rates: z.array(z.looseObject({
        account: z.string(),
        owner: z.boolean(),
        available: z.number(),
        reserved: z.number(),
    })),
    requests: z.looseObject({ waiting: z.number(), running: z.number() }),
});
type Status = z.output<typeof statusSchema>;

const formatAge = (ageMs: number | undefined): string => (ageMs === undefined ? "never" : `${ageMs} ms ago`);

function formatSection(title: string, header: readonly string[], rows: readonly (readonly string[])[]): string {
    return `\n${title} (${rows.length})\n${rows.length === 0 ? "" : formatColumns([header, ...rows])}`;
}

function formatStatus(status: Status): string {
    const { members, targets, rates, requests } = status;
    return [
        `${status.vm} in ${status.dataCentre}: ${status.state}\n`,
        `configuration: version ${status.configVersion}, ${status.freshness}, `,
        `confirmed ${formatAge(status.confirmedAgeMs)}\n`,
        `store: ${status.storeReachable ? "reachable" : "not reachable"}\n`,
        `requests: ${requests.waiting} waiting, ${requests.running} running\n`,
        formatSection(
            "members",
            ["VM", "STATE", "VERSION", "HEARD"],
            members.map(row => [row.vm, row.state, String(row.configVersion), formatAge(row.heardAgeMs)]),
        ),
        formatSection(
            "targets",
            ["TARGET", "STATE", "MODEL", "IN FLIGHT", "REPORTED"],
            targets.map(row => [
                row.target,
                row.state,
                row.model === undefined ? "-" : `${row.model}@${row.version}`,
                String(row.inFlight),
                formatAge(row.reportAgeMs),
            ]),
        ),
        formatSection(
            "rates",
            ["ACCOUNT", "OWNER", "AVAILABLE", "RESERVED"],
            rates.map(row => [row.account, row.owner ? "yes" : "no", String(row.available), String(row.reserved)]),
        ),
    ].join("");
}

export const statusCommand: Command = {
    summary: "Prints members, freshness of the configuration, targets, rates and whether the store is reachable.",
    arguments: [],
    options: operatorOptions,
    run: invocation =>
        runOperatorCall(invocation, {
            method: "GET",
            path: "/operator/status",
            schema: statusSchema,
            format: formatStatus,
        }),
};
