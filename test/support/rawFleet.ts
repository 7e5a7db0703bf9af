/** A process of the forwarding mode in front of a target that writes its own bytes. */
import type * as net from "node:net";
import { apiKey, buildPlatformRoute } from "../../standins/platformConfiguration";
import { type FleetNode, type PlatformFleet, sendRequest, startPlatformFleet, waitUntil } from "./platformFleet";
import { type RawRequest, type RawTarget, type RawTargetOptions, startRawTarget } from "./rawConnections";

const rawService = "raw";

/** Builds routes to the raw target, by name; their prefixes are the names. */
const buildRawRoutes = (overrides: Readonly<Record<string, unknown>>) => [
    buildPlatformRoute("raw-order", "non_idempotent", rawService, overrides),
    buildPlatformRoute("raw-lookup", "idempotent", rawService, overrides),
    buildPlatformRoute("raw-stream", "streaming", rawService, overrides),
    buildPlatformRoute("raw-resumable", "streaming", rawService, { ...overrides, resumable: true }),
];

export interface RawFleet {
    readonly fleet: PlatformFleet;
    readonly node: FleetNode;
    /** Address for callers. */
    readonly address: string;
    readonly target: RawTarget;
    /** Registers a further target of the same service. */
    register(name: string, target: RawTarget): void;
    close(): Promise<void>;
}

export type RawFleetOptions = NonNullable<Parameters<typeof startPlatformFleet>[0]> & RawTargetOptions & {
    /** Maximum length of a request body; the default is that of the platform. */
    readonly maxBodyBytes?: number;
    /** Longest time limit of requests; the default is that of the platform's routes. */
    readonly timeoutMs?: number;
};

/** Starts a process and a target that answers `/raw-...` with the bytes that `answer` writes. */
export async function startRawFleet(
    answer: (socket: net.Socket, request: RawRequest) => void,
    { answersEarly = false, maxBodyBytes, timeoutMs, ...options }: RawFleetOptions = {},
): Promise<RawFleet> {
    const target = await startRawTarget((socket, request) => {
        if (request.path === "/raw-lookup/ready") {
            socket.write(formatSignedHead(request, "200 OK", ["Content-Length: 0"]));
            return;
        }
        answer(socket, request);
    }, { answersEarly });
    const fleet = await startPlatformFleet(options);
    fleet.writeConfiguration({
        routes: buildRawRoutes(timeoutMs === undefined ? {} : { "timeout-ms": timeoutMs }),
        services: [{ "name": rawService, "max-connections": 100 }],
        ...(maxBodyBytes === undefined ? {} : { limits: { "max-body-bytes": maxBodyBytes } }),
    });
    const registration = fleet.services[0]?.buildRegistration();
    const register = (name: string, { address: targetAddress }: RawTarget): void => {
        fleet.store.put(`servers/${name}`, { ...registration, service: rawService, address: targetAddress });
    };
    register("raw", target);
    const [node] = fleet.nodes as [FleetNode];
    const address = node.callerAddress;
    await waitUntil(async () =>
        (await sendRequest(address, { path: "/raw-lookup/ready", method: "GET" })).status === 200
    );
    target.requests.splice(0);
    return {
        fleet,
        node,
        address,
        target,
        register,
        close: async () => {
            target.close();
            await fleet.close();
        },
    };
}

/** Formats the head of a response that names the attempt of its request. */
export function formatHead({ getHeader }: RawRequest, status: string, headers: readonly string[]): string {
    const id = getHeader("x-marjoramvane-attempt-id");
    return [`HTTP/1.1 ${status}`, `x-marjoramvane-attempt-id: ${id}`, ...headers, "", ""].join("\r\n");
}

export const signatureHeader = "x-marjoramvane-response-signature: s";

/** Formats the head of a response as a sound target writes it. */
export const formatSignedHead = (request: RawRequest, status: string, headers: readonly string[]): string =>
    formatHead(request, status, [signatureHeader, ...headers]);

let lastAttempt = 0;

/** Formats a request with the headers that the platform's callers send. */
export function formatRequest(
    method: string,
    path: string,
    { version = "1.1", deadlineMs = 3000, body = "" } = {},
): string {
    lastAttempt += 1;
    return [
        `${method} ${path} HTTP/${version}`,
        "Host: shop.example",
        `X-Marjoramvane-Attempt-Id: a${lastAttempt}`,
        `X-Marjoramvane-Deadline-Ms: ${deadlineMs}`,
        `Authorization: Token ${apiKey}`,
        `Content-Length: ${body.length}`,
        "",
        body,
    ].join("\r\n");
}
