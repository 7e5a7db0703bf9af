/** Changes of the configuration on any VM become active on all, and every answer states correctly what happened. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { startNode } from "../src/adapters/node";
import { changePrefix, headKey, snapshotKey, toChangeKey } from "../src/config/records";
import { type Engine, startEngine } from "../standins/engine";
import {
    buildSettings,
    type Fleet,
    hashKey,
    startFleet,
    waitForTokens,
    waitUntil,
    waitUntilReady,
    writeConfiguration,
} from "./support/fleet";
import { buildOperatorDocument, fleetSecret, operatorKey, sendCommand, sendCompletion } from "./support/operator";
import { startTcpProxy, type TcpProxy } from "./support/tcpProxy";

const shopKey = "sk-shop-of-the-tests";

describe("operator commands", () => {
    let engine: Engine;
    let fleet: Fleet;
    const proxies: TcpProxy[] = [];

    beforeEach(async () => {
        engine = await startEngine({ model: "copywriter", version: "v1", blockTokens: 256, decodeMs: 1 });
    });

    afterEach(async () => {
        await fleet.stop();
        await engine.stop();
        await Promise.all(proxies.splice(0).map(proxy => proxy.stop()));
    });

    async function startReadyFleet(
        count: number,
        options: Partial<Parameters<typeof startFleet>[0]> = {},
    ): Promise<void> {
        fleet = await startFleet({ count, document: buildOperatorDocument(engine, [shopKey]), ...options });
        await waitUntilReady(fleet);
        await waitUntil(async () => {
            const replies = await Promise.all(
                fleet.nodes.map((_, index) => sendCommand(fleet, index, "GET /operator/status")),
            );
            return replies.every(({ body }) => (body["members"] as unknown[]).length === count);
        });
        await Promise.all(fleet.nodes.map(node => waitForTokens(node.settings.listen.callers, shopKey)));
    }

    const addProxy = async (target: string): Promise<string> => {
        const proxy = await startTcpProxy(target);
        proxies.push(proxy);
        return proxy.address;
    };

    const getHead = () => JSON.parse(fleet.platform.store.listRange(headKey, undefined)[0]?.value ?? "{}") as unknown;

    const getVersions = async (): Promise<unknown[]> =>
        Promise.all(
            fleet.nodes.map(async (_, index) =>
                (await sendCommand(fleet, index, "GET /operator/configuration")).body.version
            ),
        );

    /** Starts a process after all others have stopped, so that it reads the configuration from the store alone. */
    async function startLateNode() {
        for (const { node } of fleet.nodes) {
            node.stop();
        }
        const settings = await buildSettings(9, fleet.platform);
        const node = await startNode({ settings, writeLog: () => undefined });
        const readDocument = async () =>
            (await fetch(`http://${settings.listen.operators}/operator/configuration`, {
                headers: { authorization: `Bearer ${operatorKey}` },
            })).json() as Promise<{ version?: number; document?: { keys: object; }; }>;
        return { node, readDocument };
    }

    // Without the secret nobody could put the first document, as there is no operator yet. Later the secret must not
    // give access.
    it("accepts the fleet secret only for the first document", async () => {
        fleet = await startFleet({ count: 2 });
        const document = buildOperatorDocument(engine, [shopKey]);
        const put = "PUT /operator/configuration";
        expect((await sendCommand(fleet, 0, put, { body: document })).status).toBe(401);
        const lockout = await sendCommand(fleet, 0, put, { key: fleetSecret, body: { ...document, operators: {} } });
        expect(lockout.body.error?.faults?.map(fault => fault.path)).toEqual(["operators"]);
        const first = await sendCommand(fleet, 0, put, { key: fleetSecret, body: document });
        expect(first).toMatchObject({ status: 200, body: { version: 1 } });
        await waitUntilReady(fleet);
        await waitForTokens(fleet.nodes[1]?.settings.listen.callers ?? "", shopKey);
        expect((await sendCommand(fleet, 1, put, { key: fleetSecret, body: document })).status).toBe(401);
        expect((await sendCompletion(fleet, 1, shopKey)).status).toBe(200);
    });

    it("grants and withdraws a key on all VMs through any one, and shows the key only once", async () => {
        await startReadyFleet(4);
        const granted = await sendCommand(fleet, 1, "POST /operator/keys", {
            body: { account: "shop", label: "till" },
        });
        expect(granted).toMatchObject({ status: 200, body: { state: "accepted", version: 2 } });
        const key = granted.body.key ?? "";
        await waitUntil(async () => (await getVersions()).every(version => version === 2));
        for (const index of [0, 1, 2, 3]) {
            expect((await sendCompletion(fleet, index, key)).status).toBe(200);
        }
        const withdrawn = await sendCommand(fleet, 3, "DELETE /operator/keys/till");
        expect(withdrawn).toMatchObject({ status: 200, body: { state: "accepted", version: 3 } });
        await waitUntil(async () => (await getVersions()).every(version => version === 3));
        for (const index of [0, 1, 2, 3]) {
            expect((await sendCompletion(fleet, index, key)).status).toBe(401);
        }
        const history = await sendCommand(fleet, 0, "GET /operator/history");
        expect(history.body.entries).toMatchObject([
            { version: 2, changed: [`keys.${granted.body.key_hash}`] },
            { version: 3, changed: [`-keys.${granted.body.key_hash}`] },
        ]);
        const shownText = JSON.stringify([
            fleet.logs,
            history.body,
            (await sendCommand(fleet, 0, "GET /operator/status")).body,
        ]);
        for (const secret of [key, shopKey, operatorKey, fleetSecret]) {
            expect(shownText).not.toContain(secret);
        }
        expect(shownText).not.toMatch(/[0-9a-f]{64}/);
    });

    it("accepts one of two concurrent changes and answers the other with the current version", async () => {
        await startReadyFleet(3);
        const document = buildOperatorDocument(engine, [shopKey]);
        const replies = await Promise.all(
            [0, 1].map(index =>
                sendCommand(fleet, index, `PUT /operator/configuration?note=by-${index}`, {
                    body: { ...document, accounts: { shop: { rate: 100 + index, burst: 1000 } } },
                    headers: { "if-match": "1" },
                })
            ),
        );
        const acceptedIndex = replies.findIndex(reply => reply.status === 200);
        expect(replies.map(reply => reply.status).sort()).toEqual([200, 409]);
        expect(replies[1 - acceptedIndex]?.body.error).toMatchObject({ code: "conflict", version: 2 });
        const history = await sendCommand(fleet, 2, "GET /operator/history");
        expect(history.body.entries?.map(entry => entry.note)).toEqual([`by-${acceptedIndex}`]);
    });

    it("accepts all concurrent key grants on several VMs, each once", async () => {
        await startReadyFleet(3);
        const grants = [0, 1, 2, 0].map((node, index) =>
            sendCommand(fleet, node, "POST /operator/keys", { body: { account: "shop", label: `till-${index}` } })
        );
        const replies = await Promise.all(grants);
        expect(replies.map(reply => reply.status)).toEqual([200, 200, 200, 200]);
        expect(replies.map(reply => reply.body.version).sort()).toEqual([2, 3, 4, 5]);
    });

    it("recognises its own change when the answer to the commit is lost", async () => {
        await startReadyFleet(3);
        fleet.platform.faults.loseAnswers = 1;
        const put = await sendCommand(fleet, 0, "PUT /operator/configuration", {
            body: buildOperatorDocument(engine, [shopKey, "second"]),
        });
        expect(put).toMatchObject({ status: 200, body: { state: "accepted", version: 2 } });
        expect(getHead()).toMatchObject({ version: 2 });
        expect((await sendCommand(fleet, 1, "GET /operator/history")).body.entries).toHaveLength(1);
    });

    it("answers that the outcome is unknown when no answer to the commit arrives", async () => {
        await startReadyFleet(2);
        fleet.platform.faults.loseAnswers = 1_000;
        const put = await sendCommand(fleet, 0, "PUT /operator/configuration", {
            body: buildOperatorDocument(engine, [shopKey, "second"]),
        });
        expect(put).toMatchObject({ status: 503, body: { error: { code: "unavailable", effect: "unknown" } } });
        expect(getHead()).toMatchObject({ version: 2 });
    });

    it("answers that nothing was written while the store is down", async () => {
        await startReadyFleet(2);
        fleet.platform.startOutage();
        const grant = await sendCommand(fleet, 0, "POST /operator/keys", { body: { account: "shop" } });
        expect(grant).toMatchObject({ status: 503, body: { error: { code: "unavailable", effect: "none" } } });
        expect(grant.body.key).toBeUndefined();
        fleet.platform.endOutage();
        expect(getHead()).toMatchObject({ version: 1 });
    });

    it("names every fault of an invalid document, shows none of its keys and changes nothing", async () => {
        await startReadyFleet(2);
        const put = await sendCommand(fleet, 0, "PUT /operator/configuration", {
            body: {
                ...buildOperatorDocument(engine),
                accounts: { shop: { rate: -1, burst: "many" } },
                keys: { "sk-pasted-by-mistake": { account: "shop" } },
            },
        });
        expect(put.status).toBe(422);
        const paths = put.body.error?.faults?.map(fault => fault.path) ?? [];
        expect(paths).toEqual(expect.arrayContaining(["accounts.shop.rate", "accounts.shop.burst"]));
        expect(paths).toHaveLength(3);
        expect(JSON.stringify([put.body, fleet.logs])).not.toContain("sk-pasted");
        expect(getHead()).toMatchObject({ version: 1 });
        const unknown = await sendCommand(fleet, 0, "POST /operator/keys", { body: { account: "nobody" } });
        expect(unknown.status).toBe(422);
        expect((await sendCommand(fleet, 0, "DELETE /operator/keys/no-such-key")).status).toBe(404);
        expect(await getVersions()).toEqual([1, 1]);
    });

    // The store accepts values up to 1 MB, and documents of the intended size are larger.
    it("stores a document that is larger than the largest value that the store accepts", async () => {
        await startReadyFleet(2);
        const label = "a label of a key that makes the document large enough";
        const hashes = Array.from({ length: 8000 }, (_, index) => hashKey(`key ${index}`));
        const keys = Object.fromEntries(hashes.map(hash => [hash, { account: "shop", label }]));
        const body = { ...buildOperatorDocument(engine), keys };
        const put = await sendCommand(fleet, 0, "PUT /operator/configuration", { body });
        expect(put).toMatchObject({ status: 200, body: { version: 2 } });
        await waitUntil(async () => (await getVersions()).every(version => version === 2));
        // The history and the log name some entries and the number of the others.
        const { entries } = (await sendCommand(fleet, 1, "GET /operator/history")).body;
        expect(entries?.[0]?.changed).toHaveLength(21);
        expect(entries?.[0]?.changed.at(-1)).toBe("and 7981 more");
        const lateNode = await startLateNode();
        await waitUntil(async () => (await lateNode.readDocument()).version === 2);
        lateNode.node.stop();
    });

    // When 1 of 3 members has confirmed, the change is in the store but may not be active on a majority.
    it("answers committed instead of accepted when only a minority has confirmed", async () => {
        await startReadyFleet(3, {
            overrides: { membership: { leaseSeconds: 60, exchangeEveryMs: 200, freshForMs: 2000 } },
        });
        fleet.nodes[1]?.node.stop();
        fleet.nodes[2]?.node.stop();
        const grant = await sendCommand(fleet, 0, "POST /operator/keys", { body: { account: "shop" } });
        expect(grant.body).toMatchObject({ state: "committed", confirmed: 1, members: 3 });
    });

    it("answers a pending change before it exits in a shutdown", async () => {
        await startReadyFleet(3, { overrides: { timeouts: { drainNoticeMs: 1 } } });
        fleet.platform.faults.loseAnswers = 2;
        const grant = sendCommand(fleet, 0, "POST /operator/keys", { body: { account: "shop" } });
        await waitUntil(() => fleet.platform.faults.loseAnswers < 2);
        fleet.nodes[0]?.node.drain();
        expect((await grant).status).toBe(200);
        await waitUntil(() => fleet.nodes[0]?.exitCodes.length === 1);
    });

    it("ends a running stream of a withdrawn key on a VM that receives the withdrawal only from peers", async () => {
        let storeProxyAddress = "";
        await startReadyFleet(3, {
            storeAddresses: [
                async platform => (storeProxyAddress = await addProxy(platform.address)),
            ],
        });
        expect(storeProxyAddress).not.toBe("");
        // Token buckets start empty.
        let response = await sendCompletion(fleet, 0, shopKey, { stream: true, max_tokens: 100_000 });
        await waitUntil(async () => {
            if (response.status === 429) {
                response = await sendCompletion(fleet, 0, shopKey, { stream: true, max_tokens: 100_000 });
            }
            return response.status === 200;
        });
        proxies[0]?.disconnect();
        const withdrawn = await sendCommand(fleet, 1, `DELETE /operator/keys/${shopKey}`);
        expect(withdrawn.status).toBe(200);
        const text = await response.text();
        expect(text).toContain("key_withdrawn");
        expect(text).not.toContain("[DONE]");
        expect((await sendCompletion(fleet, 0, shopKey)).status).toBe(401);
    });

    it("serves requests with keys in a store outage, and refuses them if no peer is reachable either", async () => {
        await startReadyFleet(3);
        fleet.platform.startOutage();
        const getFreshness = async (): Promise<unknown> =>
            (await sendCommand(fleet, 0, "GET /operator/status")).body["freshness"];
        await waitUntil(async () => await getFreshness() === "store_outage");
        expect((await sendCommand(fleet, 0, "GET /operator/status")).body["storeReachable"]).toBe(false);
        expect((await sendCompletion(fleet, 0, shopKey)).status).toBe(200);
        fleet.nodes[1]?.node.stop();
        expect((await sendCompletion(fleet, 0, shopKey)).status).toBe(200);
        fleet.nodes[2]?.node.stop();
        await waitUntil(async () => await getFreshness() === "isolated");
        const refused = await sendCompletion(fleet, 0, shopKey);
        expect(await refused.json()).toMatchObject({ error: { code: "configuration_stale", verdict: "not_run" } });
        expect((await sendCommand(fleet, 0, "GET /operator/configuration")).status).toBe(503);
    });

    it("writes a snapshot every 64 versions, deletes old changes, and starts a new VM from what is kept", async () => {
        await startReadyFleet(1);
        const { store } = fleet.platform;
        writeConfiguration(fleet.platform, 317, buildOperatorDocument(engine, [shopKey]));
        store.runTransaction([], [{ kind: "put", key: toChangeKey(62), value: "{}" }], []);
        for (const label of ["a", "b", "c", "d"]) {
            const grant = await sendCommand(fleet, 0, "POST /operator/keys", { body: { account: "shop", label } });
            expect(grant.status).toBe(200);
        }
        expect(getHead()).toMatchObject({ version: 321 });
        expect(JSON.parse(store.listRange(snapshotKey, undefined)[0]?.value ?? "{}")).toMatchObject({ version: 320 });
        const keptKeys = store.listRange(changePrefix, `${changePrefix}~`).map(row => row.key);
        expect(keptKeys).toEqual([318, 319, 320, 321].map(toChangeKey));
        const lateNode = await startLateNode();
        await waitUntil(async () => (await lateNode.readDocument()).version === 321);
        expect(Object.keys((await lateNode.readDocument()).document?.keys ?? {})).toHaveLength(5);
        lateNode.node.stop();
    });

    it("explains why a request was sent to its target", async () => {
        await startReadyFleet(1);
        const response = await sendCompletion(fleet, 0, shopKey);
        const id = response.headers.get("x-request-id");
        const explained = await sendCommand(fleet, 0, `GET /operator/requests/${id}`);
        expect(explained.body).toMatchObject({
            account: "shop",
            route: "catalogue",
            state: "done",
            retries: 0,
            decisions: [{ attempt: 1, chosen: "engine-0", candidates: [{ target: "engine-0", hitTokens: 0 }] }],
            attempts: [{ target: "engine-0", outcome: "finished" }],
        });
        expect((await sendCommand(fleet, 0, "GET /operator/requests/none")).status).toBe(404);
    });
});
