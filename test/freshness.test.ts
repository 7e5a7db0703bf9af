/** Freshness: when a process may assume that the keys of its configuration are still valid. */
import { Err, Ok } from "ts-results";
import { beforeEach, describe, expect, it } from "vitest";
import type { Event } from "../src/events";
import {
    toCallId,
    toConfigVersion,
    toDataCentreId,
    toIncarnation,
    toKeyHash,
    toMillis,
    toRequestId,
    toVmId,
    type VmId,
} from "../src/ids";
import type { Exchange, MemberDigest } from "../src/peers";
import type { RequestArrival } from "../src/requests";
import { systems } from "../src/systems";
import { createVirtualNode, type VirtualNode } from "./support/world";

const keyHash = "a".repeat(64);
const neverConfirmedAgeMs = Number.MAX_SAFE_INTEGER;

function buildDigest(index: number, changes: Partial<MemberDigest> = {}): MemberDigest {
    return {
        vm: toVmId(`entry-${index}`),
        incarnation: toIncarnation(`run-${index}`),
        dataCentre: toDataCentreId("dc-0"),
        callerAddress: `127.0.0.1:${2000 + index}`,
        peerAddress: `127.0.0.1:${3000 + index}`,
        state: "live",
        configVersion: toConfigVersion(1),
        vouches: true,
        storeConfirmedAgeMs: neverConfirmedAgeMs,
        headConfirmedAgeMs: neverConfirmedAgeMs,
        ...changes,
    };
}

const buildExchange = (digest: MemberDigest, heard: Exchange["heard"] = []): Exchange => ({
    digest,
    heard,
    prefixes: [],
});

describe("freshness", () => {
    let node: VirtualNode;

    /** A peer's answer to an exchange that this process sent `ageMs` ago. */
    const buildReply = (exchange: Exchange, ageMs = 0): Event => ({
        kind: "peerReplied",
        purpose: { for: "exchange", sentAt: toMillis(node.getNow() - ageMs) },
        address: exchange.digest.peerAddress,
        result: Ok({ kind: "exchange", body: exchange }),
    });

    const buildHeadDelivery = (version: number): Event => ({
        kind: "watchDelivered",
        watch: "configuration",
        revision: 5,
        changes: [{ key: "config/head", value: JSON.stringify({ version, changeId: "c" }), modRevision: 5 }],
        receivedAt: toMillis(node.getNow()),
    });

    const buildStoreFailure = (): Event => ({
        kind: "storeReplied",
        purpose: { for: "configurationHead", step: "confirm" },
        outcome: { result: Err({ effect: "none", message: "refused" }), sentAt: toMillis(node.getNow()) },
    });

    /** Starts with version 1 active, confirmed by the store, among four registered members. */
    beforeEach(async () => {
        node = await createVirtualNode(systems);
        node.run();
        const sentAt = toMillis(node.getNow());
        const document = {
            accounts: { shop: { rate: 1000, burst: 1000 } },
            keys: { [keyHash]: { account: "shop" } },
            routes: { orders: { kind: "service", service: "orders" } },
        };
        const snapshot = { version: 1, document };
        const buildRow = (key: string, value: unknown) => ({
            key,
            value: JSON.stringify(value),
            createRevision: 1,
            modRevision: 1,
        });
        node.run([
            {
                kind: "storeReplied",
                purpose: { for: "configurationHead", step: "load" },
                outcome: {
                    sentAt,
                    result: Ok({
                        kind: "transaction",
                        succeeded: true,
                        revision: 4,
                        reads: [[buildRow("config/head", { version: 1, changeId: "c" })], [
                            buildRow("config/snapshot", snapshot),
                        ]],
                    }),
                },
            },
            {
                kind: "storeReplied",
                purpose: { for: "member", step: "list" },
                outcome: {
                    sentAt,
                    result: Ok({
                        kind: "rows",
                        revision: 4,
                        rows: [0, 1, 2, 3].map(index =>
                            buildRow(`members/entry-${index}`, {
                                vm: `entry-${index}`,
                                incarnation: `run-${index}`,
                                dataCentre: "dc-0",
                                callerAddress: `127.0.0.1:${2000 + index}`,
                                peerAddress: `127.0.0.1:${3000 + index}`,
                            })
                        ),
                    }),
                },
            },
        ]);
        expect(getFreshness()).toBe("fresh");
    });

    const getFreshness = () => node.world.tables.configuration.freshness;

    const runReplies = (...exchanges: readonly Exchange[]): void => {
        node.run(exchanges.map(exchange => buildReply(exchange)));
    };

    it("keeps serving when no member reaches the store, also while one of four members is down", () => {
        node.run([buildStoreFailure()], 10_000);
        runReplies(buildExchange(buildDigest(1)), buildExchange(buildDigest(2)));
        node.run();
        expect(getFreshness()).toBe("store_outage");
    });

    it("refuses keys when disconnected from the store and from all peers", () => {
        node.run([buildStoreFailure()], 5001);
        expect(getFreshness()).toBe("isolated");
    });

    it("refuses keys during a store outage when it reaches only half of the members", () => {
        node.run([buildStoreFailure()], 10_000);
        runReplies(buildExchange(buildDigest(1)));
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    it("stays fresh through a peer's confirmation when only its own store connection is lost", () => {
        node.run([buildStoreFailure()], 10_000);
        runReplies(buildExchange(buildDigest(1, { storeConfirmedAgeMs: 100, headConfirmedAgeMs: 100 })));
        node.run();
        expect(getFreshness()).toBe("fresh");
    });

    it("ignores the confirmation of a peer that has another version", () => {
        node.run([buildStoreFailure()], 10_000);
        const ages = { storeConfirmedAgeMs: 100, headConfirmedAgeMs: 100 };
        runReplies(buildExchange(buildDigest(1, { ...ages, configVersion: toConfigVersion(2) })));
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    // A delivery may have waited in a socket buffer while the process was paused, so its content may be outdated.
    it("does not count a late watch delivery as a confirmation", () => {
        node.run([buildStoreFailure()], 10_000);
        node.run([buildHeadDelivery(1)]);
        expect(getFreshness()).toBe("isolated");
    });

    // Requests of peers can wait in a socket buffer for as long as the process is paused.
    it("does not count an exchange begun by a peer as a confirmation or as evidence of a store outage", () => {
        node.run([buildStoreFailure()], 60_000);
        for (const index of [1, 2, 3]) {
            const body = buildExchange(buildDigest(index, { headConfirmedAgeMs: 100 }));
            node.run([{ kind: "peerCallReceived", call: toCallId(`c${index}`), request: { kind: "exchange", body } }]);
        }
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    it("counts the age of a reply from the time at which its request was sent", () => {
        node.run([buildStoreFailure()], 10_000);
        const digest = buildDigest(1, { storeConfirmedAgeMs: 100, headConfirmedAgeMs: 100 });
        node.run([buildReply(buildExchange(digest), 5000)]);
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    it("adds the age of a relayed digest to the age of its store confirmation only once", () => {
        const relayed = buildDigest(2, { storeConfirmedAgeMs: 3000 });
        runReplies(buildExchange(buildDigest(1), [{ digest: relayed, ageMs: 2500 }]));
        const row = node.world.tables.members.get("entry-2" as VmId);
        expect(row?.lastSeenAt).toBe(node.getNow() - 2500);
        expect(row?.storeConfirmedAt).toBe(node.getNow() - 2500 - 3000);
        const effects = node.run([], 1000);
        const exchangeEffect = effects.find(effect => effect.kind === "callPeer" && effect.request.kind === "exchange");
        const body = exchangeEffect?.kind === "callPeer" ? exchangeEffect.request.body as Exchange : undefined;
        const sent = body?.heard.find(entry => entry.digest.vm === "entry-2");
        expect(sent?.ageMs).toBe(3500);
        expect(sent?.digest.storeConfirmedAgeMs).toBe(3000);
    });

    // Otherwise a process that missed the accepted withdrawal of a key would serve the key for the whole outage.
    it("refuses keys during a store outage while a member that it reaches has a higher version", () => {
        node.run([buildStoreFailure()], 10_000);
        runReplies(
            buildExchange(buildDigest(1)),
            buildExchange(buildDigest(2, { configVersion: toConfigVersion(2) })),
        );
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    // A restarted process may have lost an accepted version and received an older one from a stale peer.
    it("does not count members whose version was not confirmed since they restarted", () => {
        node.run([buildStoreFailure()], 10_000);
        runReplies(...[1, 2, 3].map(index => buildExchange(buildDigest(index, { vouches: false }))));
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    it("does not report its version as confirmed before it was confirmed", async () => {
        const restarted = await createVirtualNode(systems);
        restarted.run();
        const digests = [1, 2].map(index => buildDigest(index));
        restarted.run(digests.map(digest => buildReply(buildExchange(digest))));
        const sent = restarted.run([], 1000).find(effect => effect.kind === "callPeer");
        const body = sent?.kind === "callPeer" ? sent.request.body as Exchange : undefined;
        expect(body?.digest.vouches).toBe(false);
        const confirmed = node.run([], 1000).find(effect => effect.kind === "callPeer");
        const confirmedBody = confirmed?.kind === "callPeer" ? confirmed.request.body as Exchange : undefined;
        expect(confirmedBody?.digest.vouches).toBe(true);
    });

    // The VM list does not show members that joined meanwhile, so it must not lower the number needed for a majority.
    it("counts leaving members in the number needed for a majority", () => {
        node.run([buildStoreFailure(), buildVmList([1, 2, 3], "leaving")], 10_000);
        node.run();
        expect(getFreshness()).toBe("isolated");
    });

    const buildVmList = (indexes: readonly number[], state: "live" | "leaving" = "live"): Event => ({
        kind: "vmListRead",
        vms: indexes.map(index => ({
            id: toVmId(`entry-${index}`),
            address: "127.0.0.1:1",
            dataCentre: "dc-0",
            state,
        })),
    });

    const runDeregistration = (...indexes: readonly number[]): void => {
        const changes = indexes.map(index => ({ key: `members/entry-${index}`, value: undefined, modRevision: 9 }));
        const receivedAt = toMillis(node.getNow());
        node.run([{ kind: "watchDelivered", watch: "members", revision: 9, changes, receivedAt }]);
    };

    // Three of four members may be cut off together and keep serving as a majority. The fourth must not count itself
    // as a majority at the same time.
    it("counts members whose lease expired until their VM is gone or they announced that they stop", () => {
        runReplies(buildExchange(buildDigest(3, { state: "draining" })));
        node.run([buildVmList([0, 1, 2, 3])], 10_000);
        runDeregistration(1, 2, 3);
        const listVms = () => node.world.tables.members.list().map(row => row.vm);
        expect(listVms()).toEqual(["entry-0", "entry-1", "entry-2"]);
        node.run([buildVmList([0, 2])], 10_000);
        expect(listVms()).toEqual(["entry-0", "entry-2"]);
    });

    // The key may have been withdrawn since the request was admitted.
    it("refuses a queued request as not run when the process becomes isolated", () => {
        const request = toRequestId("r1");
        let arrival: RequestArrival = {
            request,
            keyHash: toKeyHash(keyHash),
            endpoint: "service",
            routeName: "orders",
            method: "GET",
            path: "/",
            stream: false,
            prompt: new Uint8Array(),
            maxTokens: undefined,
            priority: undefined,
            bodyBytes: 0,
            bodyHash: "",
            idempotencyKey: undefined,
            timeoutMs: undefined,
            arrivedAt: toMillis(node.getNow()),
        };
        // A floor slot gives the account tokens without the store.
        Object.assign(node.world.tables.node, { slot: 0 });
        Object.assign(node.world.tables.node.slotLease, { id: "slot", validUntil: node.getNow() + 3_600_000 });
        node.run([], 1000);
        node.run([], 1000);
        arrival = { ...arrival, arrivedAt: toMillis(node.getNow()) };
        node.run([{ kind: "requestArrived", arrival }]);
        expect(node.world.tables.requests.get(request)?.state).toBe("queued");
        const effects = node.run([buildStoreFailure()], 10_000);
        expect(effects).toContainEqual({
            kind: "refuseRequest",
            request,
            refusal: { code: "configuration_stale", verdict: "not_run", retryAfterSeconds: 1 },
        });
    });
});
