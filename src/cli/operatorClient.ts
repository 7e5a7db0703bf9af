/** Client for the operators' address of a process; prints the outcome of each call. */
import { z } from "zod";
import { HttpCallError, sendHttpCall } from "../adapters/httpClient";
import { isIpAndPort } from "../config/address";
import {
    type CommandInvocation,
    type CommandIo,
    type ExitCode,
    exitCodes,
    getRequiredOption,
    getStringOption,
    printFaults,
    readTextFile,
    UsageError,
} from "./command";

/** Timeout of a call; longer than a process takes to respond to any command. */
const timeoutMs = 15_000;

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
export function getAddress({ values }: CommandInvocation): string {
    const address = getRequiredOption(values, "address");
    if (!isIpAndPort(address)) {
        throw new UsageError("--address: expected IP:PORT");
    }
    return address;
}

/** Reads the operator key from a file or the environment. Arguments would be visible to other users of the VM. */
function readKey({ values, io }: CommandInvocation): string {
    const file = getStringOption(values, "key-file");
    const key = (file === undefined ? io.env[keyVariable] : readTextFile(file))?.trim();
    if (!key) {
        throw new UsageError(`give the operator key in ${keyVariable} or with --key-file`);
    }
    if (!/^[\x21-\x7e]+$/.test(key)) {
        throw new UsageError("the operator key must consist of printable ASCII characters without spaces");
    }
    return key;
}

const exitCodesByError: Readonly<Record<string, ExitCode>> = {
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
    return exitCodesByError[error.code] ?? exitCodes.failed;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Prints that no complete response arrived. A call that was not sent had no effect. */
function printNoResponse(
    invocation: CommandInvocation,
    request: OperatorRequest,
    address: string,
    mayHaveBeenSent: boolean,
): ExitCode {
    const isChange = request.method !== "GET";
    invocation.io.writeError(`${address} did not answer.\n`);
    if (isChange) {
        invocation.io.writeError(`${effectTexts[mayHaveBeenSent ? "unknown" : "none"]}\n`);
    }
    return exitCodes.unreachable;
}

async function sendRequest(
    invocation: CommandInvocation,
    address: string,
    request: OperatorRequest,
    key: string | undefined,
): Promise<{ readonly status: number; readonly body: unknown; } | ExitCode> {
    try {
        const { method, path, headers = {} } = request;
        const response = await sendHttpCall({
            method,
            address,
            path,
            timeoutMs,
            headers: { ...headers, ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) },
            ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
        });
        return { status: response.status, body: parseJson(response.text) };
    }
    catch (error) {
        return printNoResponse(
            invocation,
            request,
            address,
            !(error instanceof HttpCallError) || error.mayHaveBeenSent,
        );
    }
}

export interface OperatorCall<Body> extends OperatorRequest {
    readonly schema: z.ZodType<Body>;
    readonly format: (body: Body) => string;
    /** False for calls to the callers' address. The default is true. */
    readonly needsKey?: boolean;
}

/** Sends a request and prints the response as text, or with `--json` as received. */
export async function runOperatorCall<Body>(
    invocation: CommandInvocation,
    operatorCall: OperatorCall<Body>,
): Promise<ExitCode> {
    const { io, values } = invocation;
    const address = getAddress(invocation);
    const response = await sendRequest(
        invocation,
        address,
        operatorCall,
        operatorCall.needsKey === false ? undefined : readKey(invocation),
    );
    if (typeof response === "number") {
        return response;
    }
    if (values["json"]) {
        io.write(`${JSON.stringify(response.body)}\n`);
    }
    const error = errorSchema.safeParse(response.body);
    if (error.success) {
        return printError(io, error.data.error);
    }
    const body = operatorCall.schema.safeParse(response.body);
    if (response.status !== 200 || !body.success) {
        io.writeError(`${address} returned a response that this version cannot parse.\n`);
        return exitCodes.failed;
    }
    if (!values["json"]) {
        io.write(operatorCall.format(body.data));
    }
    return exitCodes.done;
}
