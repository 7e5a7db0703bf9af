/** Builds and sends completion requests for tests and simulations. */
import { type RequestId, toKeyHash, toRequestId } from "../../src/ids";
import type { RequestArrival } from "../../src/requests";
import type { Fleet } from "./fleet";
import type { SimulatedNode, Simulation } from "./virtualFleet";

export interface ArrivalOptions {
    readonly keyHash?: string;
    readonly promptBytes?: number;
    readonly maxTokens?: number;
    readonly timeoutMs?: number;
    readonly routeName?: string;
}

let nextRequestNumber = 1;

/** Posts a `requestArrived` event for a completion request to the process and returns the request's id. */
export function postArrival(simulation: Simulation, node: SimulatedNode, options: ArrivalOptions = {}): RequestId {
    const { keyHash, promptBytes = 100, maxTokens = 10, timeoutMs, routeName = "catalogue" } = options;
    const request = toRequestId(`${node.settings.vm}-${nextRequestNumber}`);
    nextRequestNumber += 1;
    const arrival: RequestArrival = {
        request,
        keyHash: keyHash === undefined ? undefined : toKeyHash(keyHash),
        endpoint: "completions",
        routeName,
        method: "POST",
        path: "",
        stream: true,
        prompt: new Uint8Array(promptBytes),
        maxTokens,
        priority: undefined,
        bodyBytes: promptBytes,
        bodyHash: "",
        idempotencyKey: undefined,
        timeoutMs,
        arrivedAt: simulation.getNow(),
    };
    node.post({ kind: "requestArrived", arrival });
    return request;
}

/** Sends a completion request over HTTP to the first process of the fleet, on the route of `buildOpenDocument`. */
export function sendCompletion(
    fleet: Fleet,
    body: { readonly max_tokens: number; readonly prompt?: string; readonly stream?: boolean; },
    headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
    return fetch(`http://${fleet.nodes[0]?.settings.listen.callers}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: JSON.stringify({ model: "catalogue", prompt: "x", stream: true, ...body }),
    });
}

export interface EngineEntry {
    readonly address: string;
    readonly leaving?: boolean;
}

/** Builds a configuration with one open route to the engines, whose ids are `engine-0`, `engine-1` and so on. */
export function buildOpenDocument(engines: readonly EngineEntry[]): Record<string, unknown> {
    return {
        models: { copywriter: { blockTokens: 1000 } },
        routes: { catalogue: { kind: "model", model: "copywriter", version: "v1", open: true } },
        targets: Object.fromEntries(engines.map(({ address, leaving = false }, index) => [`engine-${index}`, {
            kind: "engine",
            address,
            dataCentre: "dc-1",
            model: "copywriter",
            version: "v1",
            leaving,
        }])),
    };
}
