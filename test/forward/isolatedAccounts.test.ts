/** Which requests may share cached prompt parts while the configuration isolates accounts and shares them again. */
import { describe, expect, it } from "vitest";
import type { ForwardArrival } from "../../src/forward/calls";
import type { ForwardDocument, RegisteredTarget } from "../../src/forward/document";
import type { ForwardEffect } from "../../src/forward/effects";
import { type CacheSalt, toCachedPartKey, toPartId } from "../../src/forward/ids";
import { type KeyHash, toAccountId, toDataCentreId, toKeyHash, toMillis, toRequestId, toTargetId } from "../../src/ids";
import {
    account as shop,
    buildArrival,
    buildDocument,
    buildHeaderFields,
    buildRoute,
    buildStreamBegin,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    key,
    listEffects,
    plainService,
} from "../support/forwardNode";

const press = toAccountId("press");
const pressKey = toKeyHash("b".repeat(64));
const catalogue = toPartId("catalogue");
const parts = [{ id: catalogue, tokens: 600 }, { id: toPartId("own"), tokens: 400 }];
const buildEngine = (name: string) => ({ name, target: buildTarget(name) });

/** Builds a configuration with the accounts `shop` and `press`, of which those named are isolated. */
function buildVersion(version: number, isolated: readonly string[]): ForwardDocument {
    const document = buildDocument({ version });
    const template = document.accounts.get(shop);
    if (!template) {
        throw new Error("The document has no account.");
    }
    const accounts = [template, { ...template, id: press, keys: [pressKey] }];
    return {
        ...document,
        accounts: new Map(accounts.map(row => [row.id, { ...row, isIsolated: isolated.includes(row.id) }])),
    };
}

async function createNode(isolated: readonly string[], targets = [buildEngine("e1")]): Promise<ForwardTestNode> {
    const node = await createForwardTestNode();
    node.run([]);
    node.run([node.buildReadEvent({ document: buildVersion(1, isolated), targets })]);
    return node;
}

const buildRequest = (node: ForwardTestNode, id: string, keyHash: KeyHash = key) => ({
    kind: "requestArrived" as const,
    arrival: buildArrival(id, { keyHash, parts, arrivedAt: toMillis(node.getNow()) }),
});

const buildChange = (node: ForwardTestNode, version: number, isolated: readonly string[]) =>
    node.buildChangeEvent({ document: buildVersion(version, isolated) });

/** Salt of the only request that the effects send. */
function getSalt(effects: readonly ForwardEffect[]): CacheSalt | undefined {
    const sent = listEffects(effects, "sendRequest");
    expect(sent).toHaveLength(1);
    return sent[0]?.call.engine?.salt;
}

const sendAs = (node: ForwardTestNode, id: string, keyHash: KeyHash = key) =>
    getSalt(node.run([buildRequest(node, id, keyHash)], 10));

describe("prompt parts that an account made before it was isolated", () => {
    // Guards against WALL: other accounts went on using the parts that the account had made under the shared salt.
    it("are not found by requests of other accounts", async () => {
        const node = await createNode([]);
        const shared = sendAs(node, "before");
        expect(sendAs(node, "other-before", pressKey)).toBe(shared);
        node.run([buildChange(node, 2, [shop])], 10);
        const own = sendAs(node, "after");
        const others = sendAs(node, "other-after", pressKey);
        expect(new Set([shared, own, others]).size).toBe(3);
    });

    // Guards against the same in a part store, which keeps parts for as long as it has room.
    it("are not fetched from a part store for requests of other accounts", async () => {
        const node = await createNode([]);
        const address = "127.0.0.1:7";
        const partStore = {
            id: toTargetId(`store@${address}`),
            address,
            dataCentre: toDataCentreId("dc-0"),
            maxFollowers: 8,
        };
        node.run([node.buildChangeEvent({ document: { ...buildVersion(2, []), partStores: [partStore] } })]);
        node.runFor(1100);
        const salt = sendAs(node, "before");
        const change = { part: toCachedPartKey(salt as CacheSalt, catalogue), tokens: 600 };
        const report = { epoch: 1, nextEventNumber: 2, hasGap: false, changes: [change] };
        node.run([{ kind: "partsReported", target: partStore.id, report }], 10);
        const getSource = (id: string) =>
            listEffects(node.run([buildRequest(node, id, pressKey)], 10), "sendRequest")[0]?.call.engine?.fetchFrom;
        expect(getSource("other-before")).toBe(address);
        node.run([node.buildChangeEvent({ document: { ...buildVersion(3, [shop]), partStores: [partStore] } })], 10);
        expect(getSource("other-after")).toBeUndefined();
    });

    // Guards against processes that never share a part again since they have seen other versions before.
    it("are left behind in the same way by a process that starts later or missed a version", async () => {
        const [first, second] = [await createNode([]), await createNode([press])];
        first.run([buildChange(first, 2, [press])], 10);
        first.run([buildChange(first, 3, [shop])], 10);
        second.run([buildChange(second, 3, [shop])], 10);
        const third = await createNode([shop]);
        expect(new Set([first, second, third].map(node => sendAs(node, "r", pressKey))).size).toBe(1);
        expect(new Set([first, second, third].map(node => sendAs(node, "q"))).size).toBe(1);
    });

    // Guards against an operator who cannot tell why all prompts are computed again.
    it("are reported as started afresh, with the accounts that changed", async () => {
        const node = await createNode([press]);
        const effects = node.run([buildChange(node, 2, [shop])], 10);
        const line = listEffects(effects, "writeLog").find(({ message }) => message.startsWith("Shared prompt parts"));
        expect(line?.fields).toMatchObject({ changedAccounts: 2, isolated: ["shop"], noLongerIsolated: ["press"] });
        expect(listEffects(effects, "addCount").map(({ name }) => name)).toContain("shared_scope_changes_total");
        const sameAccounts = node.run([buildChange(node, 3, [shop])], 10);
        expect(listEffects(sameAccounts, "addCount")).toEqual([]);
    });
});

describe("a request whose account is isolated before the request is sent", () => {
    // Guards against a request that was admitted before the change and leaves its parts where other accounts find them.
    it("goes out under the account's own salt when it has waited for an engine", async () => {
        const node = await createNode([], []);
        node.run([buildRequest(node, "waiting")]);
        node.run([buildChange(node, 2, [shop])], 10);
        const salt = getSalt(node.run([node.buildChangeEvent({ targets: [buildEngine("e1")] })], 10));
        expect(salt).toBe(sendAs(node, "later"));
        expect(salt).not.toBe(sendAs(node, "other", pressKey));
    });

    // Guards against the same for the second attempt of a request that its first engine has refused.
    it("is sent again under the account's own salt", async () => {
        const node = await createNode([], [buildEngine("e1"), buildEngine("e2")]);
        const shared = sendAs(node, "r1");
        node.run([buildChange(node, 2, [shop])], 10);
        const again = getSalt(node.run([{
            kind: "attemptAnswered",
            request: toRequestId("r1"),
            attempt: 1,
            status: 503,
            headerFields: { ...buildHeaderFields("r1"), isNotRun: true },
            isOpenStream: false,
        }], 10));
        expect(again).toBe(sendAs(node, "later"));
        expect(again).not.toBe(shared);
    });

    // Guards against the same for a stream that goes on at another engine.
    it("is resumed under the account's own salt", async () => {
        const node = await createNode([], [buildEngine("e1"), buildEngine("e2")]);
        const shared = sendAs(node, "r1");
        const request = toRequestId("r1");
        node.run(buildStreamBegin(request, 1), 10);
        node.run([buildChange(node, 2, [shop])], 10);
        const resumed = getSalt(
            node.run([{ kind: "attemptFailed", request, attempt: 1, fault: "closed", lastEventId: 2 }], 10),
        );
        expect(resumed).toBe(sendAs(node, "later"));
        expect(resumed).not.toBe(shared);
    });

    // Guards against an account that is shared again but whose waiting requests still compute all their parts.
    it("goes out under the shared salt when its account has been shared again meanwhile", async () => {
        const node = await createNode([shop], []);
        node.run([buildRequest(node, "waiting")]);
        node.run([buildChange(node, 2, [])], 10);
        const salt = getSalt(node.run([node.buildChangeEvent({ targets: [buildEngine("e1")] })], 10));
        expect(salt).toBe(sendAs(node, "other", pressKey));
    });

    // Guards against a stream that leaves its parts under the shared salt since its account is in no configuration.
    it("is resumed under the account's own salt when the account has been removed", async () => {
        const node = await createNode([shop], [buildEngine("e1"), buildEngine("e2")]);
        const own = sendAs(node, "r1");
        const request = toRequestId("r1");
        node.run(buildStreamBegin(request, 1), 10);
        const { accounts, ...document } = buildVersion(2, [shop]);
        const others = new Map([...accounts].filter(([id]) => id !== shop));
        node.run([node.buildChangeEvent({ document: { ...document, accounts: others } })], 10);
        const resumed = getSalt(
            node.run([{ kind: "attemptFailed", request, attempt: 1, fault: "closed", lastEventId: 2 }], 10),
        );
        expect(resumed).toBe(own);
    });
});

describe("records of cached parts", () => {
    // Guards against records under a salt that never went out: engines would be chosen for parts that they lack.
    it("name the salt that went out when the account is isolated before the stream begins", async () => {
        const node = await createNode([]);
        const sent = sendAs(node, "r1");
        node.run([buildChange(node, 2, [shop])], 10);
        node.run(buildStreamBegin(toRequestId("r1"), 1), 10);
        const now = sendAs(node, "later");
        const { cachedParts } = node.world.tables;
        const getTokens = (salt: CacheSalt | undefined) =>
            salt && cachedParts.getTokens(buildTarget("e1").id, toCachedPartKey(salt, catalogue));
        expect([getTokens(sent), getTokens(now)]).toEqual([600, 0]);
    });
});

describe("a request for which no version of the weights is known", () => {
    const cases: readonly (readonly [string, Partial<ForwardArrival>, Partial<RegisteredTarget>])[] = [
        ["names no model", { model: undefined }, {}],
        ["goes to an engine that has registered no weights", {}, { weights: new Map() }],
        ["has no parts that can be read", { parts: [] }, {}],
    ];

    // Guards against requests without a salt: engines let all of them share their parts, isolated or not.
    it.each(cases)("shares its parts with no other when it %s", async (_, arrival, registration) => {
        const targets = [{ name: "e1", target: buildTarget("e1", registration) }];
        const node = await createNode([shop], targets);
        const getOwnSalt = (id: string, keyHash: KeyHash) => {
            const event = buildRequest(node, id, keyHash);
            return getSalt(node.run([{ ...event, arrival: { ...event.arrival, ...arrival } }], 10));
        };
        const salts = [getOwnSalt("r1", key), getOwnSalt("r2", key), getOwnSalt("r3", pressKey)];
        expect(salts).not.toContain(undefined);
        expect(new Set(salts).size).toBe(3);
    });

    // Guards against two accounts whose callers use the same id.
    it("shares its parts with no other account that uses its id", async () => {
        const [node, other] = [await createNode([shop]), await createNode([shop])];
        const arrival = { model: undefined };
        const sendTo = (to: ForwardTestNode, keyHash: KeyHash) => {
            const event = buildRequest(to, "r1", keyHash);
            return getSalt(to.run([{ ...event, arrival: { ...event.arrival, ...arrival } }], 10));
        };
        expect(sendTo(node, key)).not.toBe(sendTo(other, pressKey));
    });

    // Guards against a request to a plain service that gets the header of an engine.
    it("goes to a plain service without a salt", async () => {
        const route = buildRoute({ services: [{ service: plainService, weight: 1 }] });
        const node = await createNode([shop], [
            { name: "s1", target: buildTarget("s1", { service: plainService, weights: new Map() }) },
        ]);
        node.run([node.buildChangeEvent({ document: { ...buildVersion(2, [shop]), routes: [route] } })], 10);
        const event = buildRequest(node, "r1");
        const effects = node.run([{ ...event, arrival: { ...event.arrival, model: undefined, parts: [] } }], 10);
        expect(listEffects(effects, "sendRequest")[0]?.call.engine).toBeUndefined();
    });
});
