/** Configuration checks: every finding, differences from another document, and agreement with the processes. */
import fc from "fast-check";
import { isDeepStrictEqual } from "node:util";
import { describe, expect, it } from "vitest";
import { decodeConfiguration } from "../platform/documents";
import { parseDocument } from "../src/config/document";
import { parseFileText } from "../src/config/files";
import type { DocumentMode } from "../src/configCheck/checkDocument";
import { type FindingCode, findingCodes } from "../src/configCheck/checks";
import { createForwardConfigurationTable } from "../src/forward/tables/configuration";
import {
    buildManyRoutes,
    buildPlatformConfiguration,
    buildPlatformRoute,
    plainService,
} from "../standins/platformConfiguration";
import {
    buildForwardText,
    buildServeDocument,
    checkDifferences,
    checkText,
    checkValue,
    listCodes,
    measureCpuMs,
    type Values,
} from "./support/configCheck";
import { hashKey } from "./support/fleet";

interface FindingCase {
    readonly mode: DocumentMode;
    readonly document: Values | string;
    readonly path: string;
    readonly against?: Values;
}

const buildLookup = (overrides: Values = {}) => buildPlatformRoute("lookup", "idempotent", plainService, overrides);
const buildRoutes = (...routes: readonly unknown[]): Values => ({
    routes: [...routes, buildPlatformRoute("engines", "streaming", "engines", { "max-attempts": 1 })],
});
const buildForwardCase = (changes: Values, path: string): FindingCase => ({ mode: "forward", document: changes, path });
const buildAccount = (overrides: Values): Values => ({
    tenants: [{ "name": "shop", "api-keys": ["key-1"], ...overrides }],
});
const buildTwoAccounts = (overrides: Values): Values => ({
    tenants: [
        { "name": "shop", "api-keys": ["key-1"] },
        { "name": "press", "api-keys": ["key-2"], ...overrides },
    ],
});

/** One document for each code, with the path at which it is found. Other parts of it have no finding. */
const findingCases: Readonly<Record<FindingCode, FindingCase>> = {
    "invalid-value": buildForwardCase(buildRoutes(buildLookup({ "timeout-ms": "3000" })), "routes.0.timeout-ms"),
    "repeated-name": {
        mode: "forward",
        document: buildForwardText().replace("\"version\":1", "\"version\":2,\"version\":1"),
        path: "version",
    },
    "version-not-newer": { ...buildForwardCase({ version: 4 }, "version"), against: { version: 4 } },
    "repeated-entry": buildForwardCase(buildRoutes(buildLookup(), buildLookup({ prefix: "/other/" })), "routes.1"),
    "missing-target": {
        mode: "serve",
        document: {
            routes: {
                catalogue: { kind: "model", model: "copywriter", version: "v1" },
                issue: { kind: "service", service: "gone" },
            },
        },
        path: "routes.issue.service",
    },
    "unknown-service": buildForwardCase(
        buildRoutes(buildLookup(), buildLookup({ name: "in", prefix: "/in/", service: "gone" })),
        "routes.1.service",
    ),
    "no-destination": buildForwardCase(
        buildRoutes(
            buildLookup(),
            buildLookup({ "name": "none", "prefix": "/none/", "service": undefined, "traffic-split": [] }),
        ),
        "routes.1",
    ),
    "value-out-of-range": buildForwardCase(buildRoutes(buildLookup({ "timeout-ms": 2 ** 31 })), "routes.0.timeout-ms"),
    "repeated-key": buildForwardCase(buildAccount({ "api-keys": ["key-1", "key-1"] }), "tenants.0.api-keys.0"),
    "route-unreachable": buildForwardCase(buildRoutes(buildLookup({ host: "shop.example:80" })), "routes.0.host"),
    "route-shadowed": buildForwardCase(
        buildRoutes(buildLookup(), buildLookup({ name: "late", host: "SHOP.example" })),
        "routes.1",
    ),
    "route-closed": { mode: "serve", document: { keys: {}, accounts: {} }, path: "routes.catalogue" },
    "key-unusable": buildForwardCase(buildAccount({ "api-keys": ["key-1", "two words"] }), "tenants.0.api-keys.1"),
    "account-without-key": {
        mode: "serve",
        document: { accounts: { shop: { rate: 1000, burst: 5000 }, press: { rate: 1000, burst: 5000 } } },
        path: "accounts.press",
    },
    "unused-service": buildForwardCase({ routes: [buildLookup()] }, "services.0"),
    "unused-model": { mode: "serve", document: { models: { copywriter: {}, old: {} } }, path: "models.old" },
    "zero-weight": buildForwardCase(
        buildRoutes(buildLookup({
            "service": undefined,
            "traffic-split": [{ service: plainService, weight: 1 }, { service: "engines", weight: 0 }],
        })),
        "routes.0.traffic-split.1.weight",
    ),
    "ignored-value": buildForwardCase(
        buildRoutes(buildLookup({ "traffic-split": [{ service: plainService, weight: 1 }] })),
        "routes.0.service",
    ),
    "open-prefix": buildForwardCase(buildRoutes(buildLookup({ prefix: "/lookup" })), "routes.0.prefix"),
    "keys-not-needed": buildForwardCase({ tenants: [] }, "(document)"),
    "timeout-below-objective": buildForwardCase(buildRoutes(buildLookup({ "timeout-ms": 499 })), "routes.0.timeout-ms"),
    "unused-attempts": buildForwardCase(buildRoutes(buildLookup({ kind: "non_idempotent" })), "routes.0.max-attempts"),
    "unused-resume": buildForwardCase(buildRoutes(buildLookup({ resumable: true })), "routes.0.resumable"),
    "burst-above-window": buildForwardCase(buildAccount({ "rate-per-s": 10, "burst": 601 }), "tenants.0.burst"),
    "call-above-burst": {
        mode: "serve",
        document: { accounts: { shop: { rate: 100, burst: 511 } } },
        path: "accounts.shop.burst",
    },
    "rates-above-capacity": {
        mode: "serve",
        document: { accounts: { shop: { rate: 20_401, burst: 5000 } } },
        path: "accounts.shop",
    },
};

describe("configuration check", () => {
    it("finds nothing in valid documents of both modes", () => {
        expect(listCodes(checkValue("forward", {}))).toEqual([]);
        expect(listCodes(checkValue("serve", {}))).toEqual([]);
        const { services } = buildPlatformConfiguration({});
        const partStore = { "name": "parts", "kv-store-addr": "127.0.0.1:9000" };
        expect(listCodes(checkValue("forward", { services: [...services as unknown[], partStore] }))).toEqual([]);
    });

    it.each(findingCodes)("reports %s with its place, a hint and no other finding", code => {
        const { mode, document, path, against } = findingCases[code];
        const report = typeof document === "string"
            ? checkText(mode, document)
            : checkValue(mode, document, against);
        expect(report.findings).toMatchObject([{ code, path, hint: expect.stringMatching(/\w/) as string }]);
    });

    it("names the line and column of a value, and of the nearest value around one that is missing", () => {
        const text = "{\"version\": 1, \"services\": [],\n  \"routes\": [\n    {\"name\": 5}\n  ]}";
        const { findings } = checkText("forward", text);
        const positions = Object.fromEntries(findings.map(finding => [finding.path, finding.position]));
        expect(positions["routes.0.name"]).toEqual({ line: 3, column: 6 });
        expect(positions["routes.0.host"]).toEqual({ line: 3, column: 5 });
    });

    it("repeats no key, neither a faulty one nor one in the wrong place", () => {
        const secret = "mv-secret of the shop";
        const reports = [
            checkValue("forward", buildAccount({ "api-keys": [secret, secret] })),
            checkValue("serve", { keys: { [secret]: { account: "shop" } } }),
            checkValue("serve", { operators: { [secret]: {} } }),
        ];
        expect(reports.every(({ findingCount }) => findingCount > 0)).toBe(true);
        expect(JSON.stringify(reports)).not.toContain("secret");
    });

    it("reports the first of very many findings in full and counts all", () => {
        const routes = Array.from({ length: 5000 }, () => 1);
        expect(checkValue("forward", { routes })).toMatchObject({
            findingCount: 5000,
            findings: { length: 1000 },
        });
    });

    it("checks 1,400 routes, and their differences, in under a second of processor time", () => {
        const text = JSON.stringify(buildManyRoutes({ version: 2, count: 1400, timeoutMs: 2000 }));
        const before = buildManyRoutes({ version: 1, count: 1400, timeoutMs: 3000 });
        const cpuMs = measureCpuMs(() => {
            const report = checkText("forward", text, before);
            expect(report).toMatchObject({ findingCount: 0, differenceCount: 1400 });
        });
        expect(cpuMs).toBeLessThan(1000);
    });
});

const toShownHash = (key: string): string => hashKey(key).slice(0, 8);

describe("differences from another document", () => {
    const route = (overrides: Values): Values => buildRoutes(buildLookup(overrides));
    const cases: readonly [string, DocumentMode, Values, Values, readonly string[]][] = [
        ["a shorter timeout", "forward", route({}), route({ "timeout-ms": 900 }), [
            "narrows requests to shop.example/lookup/ end with an error after 900 ms (before: 3000 ms)",
        ]],
        [
            "other shares",
            "forward",
            route({}),
            route({
                "service": undefined,
                "traffic-split": [{ service: plainService, weight: 3 }, { service: "engines", weight: 1 }],
            }),
            ["changes requests to shop.example/lookup/ go to orders 75%, engines 25% (before: orders)"],
        ],
        [
            "a route that is gone",
            "forward",
            buildRoutes(buildLookup({ prefix: "/" }), buildLookup({ name: "in" })),
            route({ prefix: "/" }),
            [
                "changes requests to shop.example/lookup/ fall to route \"lookup\" (before: orders)",
            ],
        ],
        ["a route without another around it", "forward", route({}), buildRoutes(), [
            "narrows requests to shop.example/lookup/ are refused as unknown (before: orders)",
        ]],
        ["a closed route", "forward", route({ "no-auth": true }), route({}), [
            "narrows requests to shop.example/lookup/ are refused without a key",
        ]],
        // The processes compute all shared parts once more then, which the operator is told before.
        [
            "an account that is isolated",
            "forward",
            buildTwoAccounts({}),
            buildTwoAccounts({ isolated: true }),
            [
                "changes account \"press\" no longer shares cached prompt parts with other accounts",
                "changes other accounts are isolated than before: all prompt parts that accounts share are computed once more",
            ],
        ],
        [
            "an isolated account where no other shares",
            "forward",
            buildAccount({ isolated: true }),
            buildAccount({ isolated: true, priority: 1 }),
            ["narrows account \"shop\" has later turns under load"],
        ],
        [
            "a rate without limit",
            "forward",
            buildAccount({ "rate-per-s": 5, "burst": 1 }),
            buildAccount({ "burst": 1 }),
            [
                "widens account \"shop\" may use any number of tokens a second (before: 5 tokens)",
            ],
        ],
        ["another key", "forward", buildAccount({}), buildAccount({ "api-keys": ["key-2"] }), [
            `widens key ${toShownHash("key-2")} of account "shop" is accepted`,
            `narrows key ${toShownHash("key-1")} of account "shop" is no longer accepted`,
        ]],
        ["smaller bodies", "forward", {}, { limits: { "max-body-bytes": 9 } }, [
            "narrows bodies are refused above, in bytes: 9 (before: 4194304)",
        ]],
        ["an account that loses a route", "serve", {}, {
            routes: { catalogue: { kind: "model", model: "copywriter", version: "v1", accounts: ["shop"] } },
        }, ["narrows requests that name catalogue are served for \"shop\" (before: all accounts)"]],
        ["another weight of the cache", "serve", {}, {
            routes: { catalogue: { kind: "model", model: "copywriter", version: "v1", affinityWeight: 1 } },
        }, ["changes requests that name catalogue are routed with other settings"]],
        ["fewer operators", "serve", {}, { operators: {} }, [
            `narrows operator "${toShownHash("key-2")}" may no longer change the configuration`,
        ]],
    ];

    it.each(cases)("describes %s by its effect on callers", (_name, mode, before, after, expected) => {
        const { differences = [] } = checkDifferences(mode, before, after);
        expect(differences.map(({ impact, message }) => `${impact} ${message}`)).toEqual(expected);
    });

    it("are none for the same document", () => {
        for (const mode of ["serve", "forward"] as const) {
            expect(checkDifferences(mode, {}, {}).differences).toEqual([]);
        }
    });
});

/** Documents with a few values replaced or removed, so that most are close to valid. */
function buildMutations(base: Values): fc.Arbitrary<unknown> {
    const paths: (readonly string[])[] = [];
    const addPaths = (value: unknown, path: readonly string[]): void => {
        paths.push(path);
        for (const [name, inner] of Object.entries(typeof value === "object" && value !== null ? value : {})) {
            addPaths(inner, [...path, name]);
        }
    };
    addPaths(base, []);
    const replacement = fc.oneof(
        fc.constant(undefined),
        fc.constantFrom(
            "shop",
            "copywriter",
            "v1",
            "/",
            "/review/",
            "/reply/",
            "127.0.0.1:80",
            "shop.example",
            "",
            0,
            -1,
            1,
            1.5,
            1e30,
            true,
        ),
        fc.jsonValue({ maxDepth: 2 }),
    );
    // Names that objects inherit, and names with a dot, must not be taken for fields of a document.
    const added = fc.option(fc.constantFrom("__proto__", "constructor", "a.b"), { nil: undefined, freq: 5 });
    const edit = fc.record({ path: fc.constantFrom(...paths.slice(1)), added, replacement });
    return fc.array(edit, { maxLength: 3 }).map(
        edits => {
            const document = structuredClone(base) as Record<string, unknown>;
            for (const { path: inPath, added: name, replacement: value } of edits) {
                const path = name === undefined ? inPath : [...inPath, name];
                let inner: unknown = document;
                for (const name of path.slice(0, -1)) {
                    inner = (inner as Record<string, unknown> | undefined)?.[name];
                }
                if (typeof inner === "object" && inner !== null) {
                    Object.defineProperty(inner, path.at(-1) ?? "", { value, enumerable: true, configurable: true });
                }
            }
            return document;
        },
    );
}

describe("agreement of the check with the processes", () => {
    const forwardBase = { ...buildPlatformConfiguration({ version: 1 }) };

    it("accepts exactly the documents that the completions mode reads", () => {
        fc.assert(fc.property(buildMutations(buildServeDocument()), document => {
            const text = JSON.stringify(document);
            const isRead = parseDocument(parseFileText("document.json", text).unwrap()).ok;
            expect(listCodes(checkText("serve", text)).includes("invalid-value")).toBe(!isRead);
        }));
    });

    it("reports a difference for each change that the completions mode acts on, and none for the same document", () => {
        const read = (text: string): unknown => {
            const parsed = parseDocument(JSON.parse(text));
            return parsed.ok && parsed.val;
        };
        const base = buildServeDocument();
        fc.assert(fc.property(buildMutations(base), document => {
            const text = JSON.stringify(document);
            fc.pre(read(text) !== false);
            const report = checkText("serve", text, base);
            const isSame = isDeepStrictEqual(read(text), read(JSON.stringify(base)));
            expect(report.differenceCount === 0).toBe(isSame);
        }));
    });

    it("reports a difference for each change that the forwarding mode acts on, and none for the same document", () => {
        const baseText = JSON.stringify(forwardBase);
        const read = (text: string): unknown => {
            const { version: _version, ...document } = decodeConfiguration(text) ?? {};
            return document;
        };
        fc.assert(fc.property(buildMutations(forwardBase), document => {
            const text = JSON.stringify(document);
            fc.pre(decodeConfiguration(text) !== undefined);
            const report = checkText("forward", text, forwardBase);
            expect(report.differenceCount === 0).toBe(isDeepStrictEqual(read(text), read(baseText)));
        }));
    });

    it("accepts exactly the documents that the forwarding mode reads, and finds the routes that get no request", () => {
        fc.assert(fc.property(buildMutations(forwardBase), document => {
            const text = JSON.stringify(document);
            const decoded = decodeConfiguration(text);
            const { findings } = checkText("forward", text);
            expect(findings.some(({ code }) => code === "invalid-value")).toBe(decoded === undefined);
            if (!decoded) {
                return;
            }
            const table = createForwardConfigurationTable();
            table.apply(decoded);
            const shadowed = decoded.routes.flatMap((route, index) =>
                table.findRoute(route.host, route.prefix) === route ? [] : [`routes.${index}`]
            );
            const reported = findings.filter(({ code }) => code === "route-shadowed").map(({ path }) => path);
            expect(reported).toEqual(shadowed);
        }));
    });
});
