/** HTTP server for operators: posts commands as events and writes their answers as JSON. */
import { createHash, randomBytes, randomUUID, timingSafeEqual } from "node:crypto";
import type * as http from "node:http";
import { z } from "zod";
import type { Settings } from "../config/settings";
import type { EffectOf } from "../effects";
import type { Event } from "../events";
import { type CallId, toAccountId, toCallId, toConfigVersion, toKeyHash, toRequestId } from "../ids";
import type { OperatorAnswer, OperatorCommand } from "../operators";
import type { FailureReporter } from "../runner";
import type { ClientBounds } from "./clientBounds";
import { createHttpServer, readBoundedBody, sendJson, startListening } from "./httpServer";
import { parseRequestTarget } from "./requestTarget";

export interface OperatorServerOptions {
    readonly settings: Settings;
    readonly post: (event: Event) => void;
    readonly clients: ClientBounds;
    readonly reportFailure?: FailureReporter;
}

export interface OperatorServer {
    start(): Promise<void>;
    answer(effect: EffectOf<"answerOperator">): void;
    stop(): void;
}

/** A call that no system answers within this time ends with an unknown outcome. Systems answer within 9 s. */
const answerTimeoutMs = 12_000;
/** Random bytes of a key: 256 bits. */
const keyBytes = 32;

const hashSecret = (secret: string): string => createHash("sha256").update(secret).digest("hex");

const isSameText = (left: string, right: string): boolean =>
    timingSafeEqual(Buffer.from(hashSecret(left)), Buffer.from(hashSecret(right)));

interface ParsedCall {
    readonly pathSegments: readonly string[];
    readonly headers: http.IncomingHttpHeaders;
    readonly query: URLSearchParams;
    readonly body: unknown;
    readonly key: OperatorCommand["key"];
}

/** Command with the fields that are added to its answer. */
interface BuiltCommand {
    readonly command: OperatorCommand;
    /** New key, shown only in the answer to a successful change. */
    readonly created?: { readonly key: string; };
    /**
     * First digits of the new key's hash. Shown for every outcome, so that a key whose grant is uncertain can be found
     * and withdrawn.
     */
    readonly keyHash?: string;
}

type BuildResult = BuiltCommand | { readonly fault: string; };

interface OperatorRoute {
    readonly method: string;
    readonly path: RegExp;
    readonly build: (call: ParsedCall) => BuildResult;
}

const grantKeySchema = z.strictObject({ account: z.string().min(1), label: z.string().max(100).default("") });

/** Parses the version in `If-Match`, with or without quotes. */
function parseIfMatch(header: string | undefined): number | undefined {
    const match = /^"?(\d{1,15})"?$/.exec(header ?? "");
    return match ? Number(match[1]) : undefined;
}

function buildPutCommand({ body, headers, query, key }: ParsedCall): BuildResult {
    const ifMatch = headers["if-match"];
    const expected = parseIfMatch(ifMatch);
    if (ifMatch !== undefined && expected === undefined) {
        return { fault: "If-Match: expected a version number" };
    }
    const note = (query.get("note") ?? "").slice(0, 500);
    return {
        command: {
            kind: "putConfiguration",
            key,
            document: body,
            note,
            ...(expected === undefined ? {} : { expected: toConfigVersion(expected) }),
        },
    };
}

function buildGrantKeyCommand({ body, key }: ParsedCall): BuildResult {
    const parsed = grantKeySchema.safeParse(body);
    if (!parsed.success) {
        return { fault: "expected a body with `account` and optionally `label`" };
    }
    const newKey = `mv-${randomBytes(keyBytes).toString("base64url")}`;
    const hash = toKeyHash(hashSecret(newKey));
    const { account, label } = parsed.data;
    return {
        command: { kind: "grantKey", key, hash, account: toAccountId(account), label },
        created: { key: newKey },
        keyHash: hash.slice(0, 8),
    };
}

const operatorRoutes: readonly OperatorRoute[] = [
    {
        method: "GET",
        path: /^\/operator\/configuration$/,
        build: ({ key }) => ({ command: { kind: "getConfiguration", key } }),
    },
    { method: "PUT", path: /^\/operator\/configuration$/, build: buildPutCommand },
    {
        method: "GET",
        path: /^\/operator\/history$/,
        build: ({ key }) => ({ command: { kind: "listHistory", key } }),
    },
    { method: "POST", path: /^\/operator\/keys$/, build: buildGrantKeyCommand },
    {
        method: "DELETE",
        path: /^\/operator\/keys\/([^/]{1,200})$/,
        build: ({ key, pathSegments }) => ({ command: { kind: "withdrawKey", key, name: pathSegments[0] ?? "" } }),
    },
    {
        method: "GET",
        path: /^\/operator\/status$/,
        build: ({ key }) => ({ command: { kind: "getStatus", key } }),
    },
    {
        method: "GET",
        path: /^\/operator\/requests\/([^/]{1,100})$/,
        build: ({ key, pathSegments }) => ({
            command: { kind: "explainRequest", key, request: toRequestId(pathSegments[0] ?? "") },
        }),
    },
];

interface HttpAnswer {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
}

const buildError = (code: string, message: string, rest: object = {}): HttpAnswer["body"] => ({
    error: { code, message, ...rest },
});

const answerEncoders: {
    readonly [Kind in OperatorAnswer["kind"]]: (
        answer: Extract<OperatorAnswer, { readonly kind: Kind; }>,
    ) => HttpAnswer;
} = {
    configuration: ({ version, document }) => ({ status: 200, body: { version, document } }),
    changed: ({ state, version, confirmed, members }) => ({
        status: 200,
        body: { state, version, confirmed, members },
    }),
    conflict: ({ version }) => ({
        status: 409,
        body: buildError("conflict", `The configuration is at version ${version}.`, { version }),
    }),
    invalid: ({ faults }) => ({ status: 422, body: buildError("invalid", "The change is invalid.", { faults }) }),
    history: ({ entries }) => ({ status: 200, body: { entries } }),
    status: ({ status }) => ({ status: 200, body: { ...status } }),
    explanation: ({ explanation }) => ({ status: 200, body: { ...explanation } }),
    unauthorized: () => ({
        status: 401,
        body: buildError("unauthorized", "Send an operator key in the Authorization header as a bearer token."),
    }),
    not_found: ({ message }) => ({ status: 404, body: buildError("not_found", message) }),
    unavailable: ({ effect, message }) => ({ status: 503, body: buildError("unavailable", message, { effect }) }),
};

const encodeAnswer = (answer: OperatorAnswer): HttpAnswer =>
    (answerEncoders[answer.kind] as (answer: OperatorAnswer) => HttpAnswer)(answer);

function readBearer(request: http.IncomingMessage): string | undefined {
    return /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? "")?.[1];
}

/** Parses a JSON body; undefined when it is invalid. No error is returned, since its text may contain a secret. */
function parseBody(body: Buffer): { readonly value: unknown; } | undefined {
    try {
        return { value: body.length === 0 ? undefined : JSON.parse(body.toString("utf8")) as unknown };
    }
    catch {
        return undefined;
    }
}

function decodePathSegment(segment: string): string {
    try {
        return decodeURIComponent(segment);
    }
    catch {
        return segment;
    }
}

/** Creates the server for operators. */
export function createOperatorServer(options: OperatorServerOptions): OperatorServer {
    const { settings, post, clients, reportFailure } = options;
    const pendingCalls = new Map<CallId, (answer: OperatorAnswer) => void>();

    function sendFault(response: http.ServerResponse, status: number, message: string): void {
        sendJson(response, status, buildError("bad_request", message));
    }

    function sendCommand(response: http.ServerResponse, builtCommand: BuiltCommand, hasFleetSecret: boolean): void {
        const call = toCallId(randomUUID());
        const endCall = (answer: OperatorAnswer): void => {
            clearTimeout(timer);
            pendingCalls.delete(call);
            const { status, body } = encodeAnswer(answer);
            const created = answer.kind === "changed" ? builtCommand.created : undefined;
            const hashFields = builtCommand.keyHash === undefined ? {} : { key_hash: builtCommand.keyHash };
            sendJson(response, status, { ...body, ...created, ...hashFields }, { "x-request-id": call });
        };
        const timer = setTimeout(() => {
            endCall({ kind: "unavailable", effect: "unknown", message: "No answer in time." });
        }, answerTimeoutMs);
        timer.unref();
        pendingCalls.set(call, endCall);
        post({ kind: "operatorCommandReceived", call, command: builtCommand.command, hasFleetSecret });
    }

    async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { path, query } = parseRequestTarget(request.url ?? "/");
        const route = operatorRoutes.find(candidate =>
            candidate.method === request.method && candidate.path.test(path)
        );
        if (!route) {
            sendJson(response, 404, buildError("not_found", "There is no such path."));
            return;
        }
        const bytes = await readBoundedBody(clients, request, response, settings.limits.bodyBytes);
        const body = bytes && parseBody(bytes);
        if (!body) {
            sendFault(response, bytes ? 400 : 413, bytes ? "expected a JSON body" : "The body is too large.");
            return;
        }
        const bearerToken = readBearer(request);
        const pathSegments = (route.path.exec(path) ?? []).slice(1).map(decodePathSegment);
        const built = route.build({
            pathSegments,
            headers: request.headers,
            query,
            body: body.value,
            key: bearerToken === undefined ? undefined : toKeyHash(hashSecret(bearerToken)),
        });
        if ("fault" in built) {
            sendFault(response, 400, built.fault);
            return;
        }
        sendCommand(response, built, bearerToken !== undefined && isSameText(bearerToken, settings.fleetSecret));
    }

    const server = createHttpServer({
        part: "operatorServer",
        listener: "operators",
        clients,
        handle: handleRequest,
        reportFailure,
        maxHeaderSize: settings.limits.headerBytes,
        headersTimeout: 10_000,
        requestTimeout: 30_000,
    });

    return {
        start: () => startListening(server, settings.listen.operators),
        answer: ({ call, answer }) => {
            pendingCalls.get(call)?.(answer);
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
