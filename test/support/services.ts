/** Starts a fleet in front of plain services and sends calls through it. */
import { type Service, startService } from "../../standins/service";
import { type Fleet, hashKey, probeRoute, startFleet, waitForTokens, waitUntilReady } from "./fleet";

export const shopKey = "sk-test-shop-one";
export const otherKey = "sk-test-shop-two";

export interface ServiceFleet {
    readonly fleet: Fleet;
    readonly services: readonly Service[];
    stop(): Promise<void>;
}

/** Starts routers, and services behind the routes `orders` (not repeatable) and `lookup` (repeatable). */
export async function startServiceFleet(
    { nodes = 1, services: count = 1, overrides = {}, addresses = [] }: {
        readonly nodes?: number;
        readonly services?: number;
        readonly overrides?: Record<string, unknown>;
        /** Addresses of additional targets that are not stand-ins. */
        readonly addresses?: readonly string[];
    } = {},
): Promise<ServiceFleet> {
    const services = await Promise.all(Array.from({ length: count }, () => startService()));
    const targets = [...addresses, ...services.map(service => service.address)];
    const account = { rate: 10_000_000, burst: 10_000_000 };
    const document = {
        accounts: { shop: account, other: account },
        keys: { [hashKey(shopKey)]: { account: "shop" }, [hashKey(otherKey)]: { account: "other" } },
        routes: {
            orders: { kind: "service", service: "ledger" },
            lookup: { kind: "service", service: "ledger", repeatable: true },
            ...probeRoute,
        },
        targets: Object.fromEntries(targets.map((address, index) => [
            `ledger-${index}`,
            { kind: "service", service: "ledger", address, dataCentre: "dc-0" },
        ])),
    };
    const fleet = await startFleet({ count: nodes, document, overrides });
    await waitUntilReady(fleet);
    await Promise.all(
        fleet.nodes.flatMap(node => [shopKey, otherKey].map(key => waitForTokens(node.settings.listen.callers, key))),
    );
    return {
        fleet,
        services,
        stop: async () => {
            await fleet.stop();
            await Promise.all(services.map(service => service.stop()));
        },
    };
}

export interface ServiceAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
    readonly error: { readonly code?: string; readonly verdict?: string; };
}

export interface ServiceRequest {
    readonly node?: number;
    readonly route?: string;
    readonly path?: string;
    /** Idempotency key. */
    readonly id?: string;
    readonly body?: string;
    readonly bearer?: string;
    readonly headers?: Record<string, string>;
    readonly signal?: AbortSignal;
}

/** Sends one service call through a router. */
export async function sendCall({ fleet }: ServiceFleet, request: ServiceRequest = {}): Promise<ServiceAnswer> {
    const { node = 0, route = "orders", path = "/jobs", id, body = "job 1", bearer = shopKey, headers } = request;
    const response = await fetch(`http://${fleet.nodes[node]?.settings.listen.callers}/services/${route}${path}`, {
        method: "POST",
        headers: {
            "content-type": "text/plain",
            authorization: `Bearer ${bearer}`,
            ...(id === undefined ? {} : { "idempotency-key": id }),
            ...headers,
        },
        body,
        ...(request.signal ? { signal: request.signal } : {}),
    });
    const text = await response.text();
    const isRefusal = text.startsWith("{\"error\":{");
    const error = isRefusal ? (JSON.parse(text) as { error: ServiceAnswer["error"]; }).error : {};
    return { status: response.status, headers: response.headers, text, error };
}
