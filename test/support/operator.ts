/** Sends operator commands over HTTP and builds a configuration document for tests. */
import type { Engine } from "../../standins/engine";
import { type Fleet, hashKey, probeRoute } from "./fleet";

export const operatorKey = "operator-key-of-the-tests";
export const fleetSecret = "a-secret-of-the-test-fleet";

export interface OperatorReply {
    readonly status: number;
    readonly body: {
        readonly state?: string;
        readonly version?: number;
        readonly key?: string;
        readonly key_hash?: string;
        readonly document?: unknown;
        readonly entries?: readonly {
            readonly version: number;
            readonly operator: string;
            readonly note: string;
            readonly changed: readonly string[];
        }[];
        readonly error?: {
            readonly code: string;
            readonly version?: number;
            readonly effect?: string;
            readonly faults?: readonly { readonly path: string; readonly message: string; }[];
        };
        readonly [name: string]: unknown;
    };
}

/** Sends a command to the operator address of a process; `methodAndPath` is for example `GET /operator/status`. */
export async function sendCommand(
    fleet: Fleet,
    node: number,
    methodAndPath: string,
    { body, key = operatorKey, headers = {} }: {
        readonly body?: unknown;
        readonly key?: string;
        readonly headers?: Record<string, string>;
    } = {},
): Promise<OperatorReply> {
    const [method = "GET", path = "/"] = methodAndPath.split(" ");
    const response = await fetch(`http://${fleet.nodes[node]?.settings.listen.operators}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, ...headers },
        ...(body === undefined ? {} : { body: typeof body === "string" ? body : JSON.stringify(body) }),
    });
    return { status: response.status, body: await response.json() as OperatorReply["body"] };
}

/** Builds a document with one account, one operator and, if given, one engine. */
export function buildOperatorDocument(engine?: Engine, keys: readonly string[] = []): Record<string, unknown> {
    return {
        accounts: { shop: { rate: 10_000_000, burst: 10_000_000 } },
        operators: { [hashKey(operatorKey)]: { label: "amelia" } },
        keys: Object.fromEntries(keys.map(key => [hashKey(key), { account: "shop", label: key }])),
        models: { copywriter: { bytesPerToken: 4, blockTokens: 256 } },
        routes: { ...probeRoute, catalogue: { kind: "model", model: "copywriter", version: "v1" } },
        targets: engine
            ? {
                "engine-0": {
                    kind: "engine",
                    address: engine.address,
                    dataCentre: "dc-0",
                    model: "copywriter",
                    version: "v1",
                },
            }
            : {},
    };
}

export async function sendCompletion(
    fleet: Fleet,
    node: number,
    key: string,
    body: Record<string, unknown> = {},
): Promise<Response> {
    return fetch(`http://${fleet.nodes[node]?.settings.listen.callers}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}` },
        body: JSON.stringify({ model: "catalogue", max_tokens: 2, prompt: "shelf talker", ...body }),
    });
}
