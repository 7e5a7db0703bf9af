/** Configuration of the forward mode for stand-ins, in the platform's format. */

export const engineService = "engines";
export const plainService = "orders";
export const modelName = "model-a";
export const apiKey = "key-of-the-shop";

export const buildPlatformRoute = (
    name: string,
    kind: string,
    service: string,
    overrides: Readonly<Record<string, unknown>> = {},
) => ({
    "name": name,
    "host": "shop.example",
    "prefix": `/${name}/`,
    "kind": kind,
    "timeout-ms": 3000,
    "target-latency-ms": 500,
    "priority": 1,
    "service": service,
    "max-attempts": 2,
    "no-auth": false,
    "resumable": false,
    ...overrides,
});

/** Builds a configuration with an engine service, a plain service and one client account; `changes` replaces fields. */
export function buildPlatformConfiguration(changes: Readonly<Record<string, unknown>>): Record<string, unknown> {
    return {
        routes: [
            buildPlatformRoute("review", "streaming", engineService),
            buildPlatformRoute("reply", "streaming", engineService, { resumable: true }),
            buildPlatformRoute("issue", "non_idempotent", plainService, { "max-attempts": 1 }),
            buildPlatformRoute("lookup", "idempotent", plainService),
            buildPlatformRoute("open", "idempotent", plainService, { "no-auth": true }),
        ],
        services: [
            {
                "name": engineService,
                "max-connections": 100,
                "engine": {
                    "slots": 8,
                    "kv-capacity": 100_000,
                    "max-concurrency": 12,
                    "models": [{ name: modelName }],
                },
            },
            { "name": plainService, "max-connections": 100 },
        ],
        tenants: [{ "name": "shop", "api-keys": [apiKey], "rate-per-s": 0, "burst": 0 }],
        ...changes,
    };
}

/** Builds a configuration with a number of plain routes that differ in name and prefix. */
export const buildManyRoutes = (
    { version, count, timeoutMs }: { readonly version: number; readonly count: number; readonly timeoutMs: number; },
): Record<string, unknown> => {
    const names = Array.from({ length: count }, (_, index) => `lookup-${index}`);
    const routes = names.map(name => buildPlatformRoute(name, "idempotent", plainService, { "timeout-ms": timeoutMs }));
    return buildPlatformConfiguration({
        version,
        routes,
        services: [{ "name": plainService, "max-connections": 100 }],
    });
};
