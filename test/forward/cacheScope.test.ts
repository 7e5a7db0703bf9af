/** Scopes and salts of cached parts over any history of configurations. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { ForwardAccount } from "../../src/forward/document";
import { type CacheScope, toWeightsVersion } from "../../src/forward/ids";
import { computeOwnScope, computeSharedScope, formatSalt } from "../../src/forward/policy/cacheScope";
import { toAccountId, toKeyHash } from "../../src/ids";

const names = ["shop", "press", "clinic", "desk"];

function buildAccount(name: string, isIsolated: boolean): ForwardAccount {
    return {
        id: toAccountId(name),
        keys: [],
        priority: undefined,
        isIsolated,
        rate: 0,
        burst: 0,
        defaultRequestTokens: 0,
    };
}

/** What a configuration says of each account. */
type State = "absent" | "shared" | "isolated";
type Version = Readonly<Record<string, State>>;

const version = fc.record(
    Object.fromEntries(names.map(name => [name, fc.constantFrom<State>("absent", "shared", "isolated")])),
);

const buildAccounts = (states: Version): ForwardAccount[] =>
    Object.entries(states).filter(([, state]) => state !== "absent")
        .map(([name, state]) => buildAccount(name, state === "isolated"));

const findScope = (states: Version, name: string): CacheScope =>
    states[name] === "isolated" ? computeOwnScope(toAccountId(name)) : computeSharedScope(buildAccounts(states));

describe("scopes", () => {
    // Guards against WALL after any order of changes: isolated, shared and isolated again, one account after another, an
    // account that is removed and comes back isolated, and processes that lag some versions behind.
    it("hold no part of an isolated account for others, and none of others for it", () => {
        const requests = fc.array(fc.record({ name: fc.constantFrom(...names), lag: fc.nat(3) }), { maxLength: 12 });
        const history = fc.array(fc.record({ states: version, requests }), { minLength: 1, maxLength: 8 });
        fc.assert(
            fc.property(history, steps => {
                const makers = new Map<CacheScope, Set<string>>();
                steps.forEach(({ states, requests: sent }, index) => {
                    for (const { name, lag } of sent) {
                        const known = steps[Math.max(0, index - lag)]?.states ?? states;
                        if (known[name] === "absent") {
                            continue;
                        }
                        const scope = findScope(known, name);
                        const others = [...makers.get(scope) ?? []].filter(maker => maker !== name);
                        if (lag === 0) {
                            expect(others.filter(maker => states[name] === "isolated" || states[maker] === "isolated"))
                                .toEqual([]);
                        }
                        makers.set(scope, new Set([...others, name]));
                    }
                });
            }),
            { numRuns: 2000, seed: 60 },
        );
    });

    // Guards against prompts that are computed again since the accounts are listed in another order.
    it("do not depend on the order of the accounts", () => {
        fc.assert(fc.property(version, states => {
            const accounts = buildAccounts(states);
            expect(computeSharedScope([...accounts].reverse())).toBe(computeSharedScope(accounts));
        }));
    });

    // Guards against prompts that are computed again with each new account, key or limit.
    it("do not depend on accounts that share, nor on keys, limits and priorities", () => {
        const isolated = buildAccount("clinic", true);
        const accounts = [buildAccount("shop", false), isolated];
        const scope = computeSharedScope(accounts);
        const changed = { ...isolated, keys: [toKeyHash("c".repeat(64))], rate: 5, burst: 7, priority: 2 };
        expect(computeSharedScope([buildAccount("shop", false), changed])).toBe(scope);
        expect(computeSharedScope([...accounts, buildAccount("press", false)])).toBe(scope);
        expect(computeSharedScope([isolated])).toBe(scope);
    });

    // Guards against two builds of one fleet that share no parts, and of which one has a scope without isolated accounts.
    it("are the same in all builds", () => {
        expect(computeSharedScope([buildAccount("shop", false)])).toBe("");
        expect(computeSharedScope([buildAccount("shop", true), buildAccount("press", true)])).toBe(
            "hdL1hMfVQQjIk-hXO2yCZ3",
        );
        expect(computeOwnScope(toAccountId("shop"))).toBe("bI0e72MwID5PUTsZt8Jaaw");
    });
});

interface SaltInput {
    readonly model: string;
    readonly weights: number;
    readonly kind: "own" | "shared";
    readonly accounts: readonly string[];
}

describe("salts", () => {
    /** Names that are made of what separates the fields of a salt, and of what cannot stand in a header. */
    const oddName = fc.string({
        unit: fc.constantFrom("a", ".", "1", "2", "/", ",", "\"", "\u00fc", "\u{1f600}", "\n"),
        maxLength: 8,
    });

    // Guards against one text for two models, versions or sets of accounts, which would share their parts.
    it("differ for different models, versions and isolated accounts", () => {
        const salt = fc.record({
            model: oddName,
            weights: fc.nat(30),
            kind: fc.constantFrom<"own" | "shared">("own", "shared"),
            accounts: fc.uniqueArray(oddName, { minLength: 1, maxLength: 3 }),
        });
        const format = ({ model, weights, kind, accounts }: SaltInput) => ({
            text: formatSalt(
                model,
                toWeightsVersion(weights),
                kind === "own"
                    ? computeOwnScope(toAccountId(accounts[0] ?? ""))
                    : computeSharedScope(accounts.map(name => buildAccount(name, true))),
            ),
            meaning: JSON.stringify([model, weights, kind, kind === "own" ? accounts[0] : [...accounts].sort()]),
        });
        fc.assert(
            fc.property(salt, salt, (left, right) => {
                const [first, second] = [format(left), format(right)];
                expect(first.text === second.text).toBe(first.meaning === second.meaning);
            }),
            { numRuns: 5000, seed: 60 },
        );
    });

    // Guards against requests that cannot be sent since a header may not hold the name of their account.
    it("hold only characters that a header may hold, in a bounded length", () => {
        fc.assert(fc.property(fc.string({ unit: "binary", maxLength: 300 }), name => {
            const salt = formatSalt("m", toWeightsVersion(12), computeOwnScope(toAccountId(name)));
            expect(salt).toMatch(/^m\.12\.[\w-]{22}$/);
        }));
    });
});
