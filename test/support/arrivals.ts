/** Requests as a caller's server would post them, for simulations. */
import { type RequestId, toKeyHash, toRequestId } from "../../src/ids";
import type { RequestArrival } from "../../src/requests";
import type { SimulatedNode, Simulation } from "./virtualFleet";

export interface ArrivalOptions {
    readonly keyHash?: string;
    readonly promptBytes?: number;
    readonly maxTokens?: number;
    readonly timeoutMs?: number;
    readonly routeName?: string;
}

let nextNumber = 1;

/** Posts a completion request to the process and returns its id. */
export function postArrival(simulation: Simulation, node: SimulatedNode, options: ArrivalOptions = {}): RequestId {
    const { keyHash, promptBytes = 100, maxTokens = 10, timeoutMs, routeName = "catalogue" } = options;
    const request = toRequestId(`${node.settings.vm}-${nextNumber}`);
    nextNumber += 1;
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

export interface EngineEntry {
    readonly address: string;
    readonly leaving?: boolean;
}

/** A configuration with one open route to the engines; engine ids are `engine-0`, `engine-1` and so on. */
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
