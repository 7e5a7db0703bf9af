/** Calls to the operators' address of a process, and how their outcomes are printed. */
import { z } from "zod";
import { HttpCallError, sendHttpCall } from "../adapters/httpClient";
import {
    type CommandCall,
    type CommandIo,
    type ExitCode,
    exitCodes,
    getRequiredText,
    getText,
    printFaults,
    readTextFile,
    UsageError,
} from "./command";

/** Longer than a process takes to answer any command. */
const timeoutMs = 15_000;
const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;

export const keyVariable = "MARJORAMVANE_OPERATOR_KEY";

const errorSchema = z.looseObject({
    error: z.looseObject({
        code: z.string(),
        message: z.string(),
        version: z.number().optional(),
        effect: z.enum(["none", "unknown"]).optional(),
        faults: z.array(z.object({ path: z.string(), message: z.string() })).optional(),
    }),
});
type ErrorBody = z.output<typeof errorSchema>["error"];

export interface OperatorRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Address from `--address`. */
export function getAddress({ values }: CommandCall): string {
    const address = getRequiredText(values, "address");
    if (!addressPattern.test(address)) {
        throw new UsageError("--address: expected IP:PORT");
    }
    return address;
}

/** Reads the operator key from the file or the environment, never from an argument, which other users can see. */
function readKey({ values, io }: CommandCall): string {
    const file = getText(values, "key-file");
    const key = (file === undefined ? io.env[keyVariable] : readTextFile(file))?.trim();
    if (!key) {
        throw new UsageError(`give the operator key in ${keyVariable} or with --key-file`);
    }
    if (!/^[\x21-\x7e]+$/.test(key)) {
        throw new UsageError("the operator key holds a character that a key cannot have");
    }
    return key;
}

const errorCodes: Readonly<Record<string, ExitCode>> = {
    bad_request: exitCodes.invalid,
    conflict: exitCodes.conflict,
    invalid: exitCodes.invalid,
    unavailable: exitCodes.unreachable,
};

const effectTexts = {
    none: "Nothing was changed.",
    unknown: "The change may have been made; look with `config history`.",
} as const;

function printError(io: CommandIo, error: ErrorBody): ExitCode {
    io.writeError(`${error.message}\n`);
    printFaults(io, "fault", error.faults ?? []);
    if (error.effect !== undefined) {
        io.writeError(`${effectTexts[error.effect]}\n`);
    }
    return errorCodes[error.code] ?? exitCodes.failed;
}

function parseAnswer(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Prints that no whole answer came. A call that was not sent had no effect. */
function printUnanswered(call: CommandCall, request: OperatorRequest, address: string, wasSent: boolean): ExitCode {
    const isChange = request.method !== "GET";
    call.io.writeError(`${address} did not answer.\n`);
    if (isChange) {
        call.io.writeError(`${effectTexts[wasSent ? "unknown" : "none"]}\n`);
    }
    return exitCodes.unreachable;
}

async function sendRequest(
    call: CommandCall,
    address: string,
    request: OperatorRequest,
    key: string | undefined,
): Promise<{ readonly status: number; readonly body: unknown; } | ExitCode> {
    try {
        const { method, path, headers = {} } = request;
        const answer = await sendHttpCall({
            method,
            address,
            path,
            timeoutMs,
            headers: { ...headers, ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) },
            ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
        });
        return { status: answer.status, body: parseAnswer(answer.text) };
    }
    catch (error) {
        return printUnanswered(call, request, address, !(error instanceof HttpCallError) || error.wasSent);
    }
}

export interface Exchange<Body> extends OperatorRequest {
    readonly schema: z.ZodType<Body>;
    readonly format: (body: Body) => string;
    /** False for calls to the callers' address. */
    readonly needsKey?: boolean;
}

/** Sends a request and prints its answer, as text or with `--json` as it came. */
export async function runExchange<Body>(call: CommandCall, exchange: Exchange<Body>): Promise<ExitCode> {
    const { io, values } = call;
    const address = getAddress(call);
    const answer = await sendRequest(call, address, exchange, exchange.needsKey === false ? undefined : readKey(call));
    if (typeof answer === "number") {
        return answer;
    }
    if (values["json"]) {
        io.write(`${JSON.stringify(answer.body)}\n`);
    }
    const error = errorSchema.safeParse(answer.body);
    if (error.success) {
        return printError(io, error.data.error);
    }
    const body = exchange.schema.safeParse(answer.body);
    if (answer.status !== 200 || !body.success) {
        io.writeError(`${address} gave an answer that this version does not understand.\n`);
        return exitCodes.failed;
    }
    if (!values["json"]) {
        io.write(exchange.format(body.data));
    }
    return exitCodes.done;
}
