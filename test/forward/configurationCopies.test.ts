/** Configurations that a process gets from other processes while the store's own answer is late. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { platformPorts } from "../../platform";
import { decodeCopy, decodeItems, type Item } from "../../platform/storeItems";
import { createPeerLink, type PeerLink } from "../../src/forward/adapters/peerLink";
import { decodePackedValue, encodePackedValue } from "../../src/forward/codec/packedValues";
import type { ForwardEffect, ForwardEffectOf } from "../../src/forward/effects";
import type { ForwardEvent, ForwardEventOf, PublishedChanges } from "../../src/forward/events";
import { toFingerprint } from "../../src/forward/ids";
import type { CopyAnswer, PackedCopy } from "../../src/forward/storeChanges";
import { toCallId, toMillis, toVmId } from "../../src/ids";
import { buildManyRoutes } from "../../standins/platformConfiguration";
import { closeServer, openServer } from "../../standins/platformHttp";
import { findPorts } from "../../standins/ports";
import {
    buildDocument,
    buildMemberRows,
    buildPeerState,
    buildPosition,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
} from "../support/forwardNode";
import { apiKey, type PlatformFleet, sendRequest, startPlatformFleet, waitUntil } from "../support/platformFleet";
import { startTcpProxy, type TcpProxy } from "../support/tcpProxy";

const names = ["front-1", "front-2", "front-3", "front-4"];

let node: ForwardTestNode;

const buildCopy = (revision: number, era = 1): PackedCopy => ({
    position: buildPosition(revision, era),
    fingerprint: toFingerprint(`f${revision}`),
    packed: `packed ${revision}`,
});

/** A configuration as the platform decodes it: its version is the revision of its value unless said otherwise. */
const buildConfiguration = (revision: number, version = revision, era = 1): Partial<PublishedChanges> => ({
    document: buildDocument({ version }),
    copy: { ...buildCopy(revision, era), key: "a/configuration" },
    position: buildPosition(revision, era),
});

beforeEach(async () => {
    node = await createForwardTestNode("front-1");
    node.run([]);
    node.run([node.buildReadEvent({ ...buildConfiguration(5), rows: buildMemberRows(names) })]);
});

const listRequests = (effects: readonly ForwardEffect[]): readonly ForwardEffectOf<"requestCopy">[] =>
    listEffects(effects, "requestCopy");
const getVersion = (): number => node.world.tables.configuration.version;
const getGauge = (effects: readonly ForwardEffect[]): number | undefined =>
    listEffects(effects, "updateGauge").findLast(({ name }) => name === "configuration_behind")?.value;

const buildFailure = (receivedBytes: number): ForwardEvent => ({
    kind: "storeUnreachable",
    call: "watch",
    message: "reset",
    receivedBytes,
    sentAt: toMillis(node.getNow()),
});

const buildReport = (name: string, revision: number, era = 1): ForwardEvent => ({
    kind: "peerCallReceived",
    call: toCallId(`exchange ${name}`),
    state: buildPeerState({
        vm: toVmId(name),
        configuration: { ...buildPosition(revision, era), fingerprint: toFingerprint(`f${revision}`) },
    }),
});

const buildReceived = (vm: string, changes: Partial<PublishedChanges>): ForwardEvent => ({
    kind: "copyReceived",
    vm: toVmId(vm),
    outcome: {
        kind: "found",
        changes: (node.buildChangeEvent(changes) as ForwardEventOf<"publishedChanged">).changes,
        packedLength: 30_000,
    },
});

const buildAbsent = (vm: string): ForwardEvent => ({
    kind: "copyReceived",
    vm: toVmId(vm),
    outcome: { kind: "absent" },
});

const buildDamaged = (revision: number): ForwardEvent =>
    node.buildChangeEvent({
        undecodable: [{
            key: "a/configuration",
            kind: "configuration",
            revision,
            length: 9,
            fingerprint: toFingerprint("damaged"),
        }],
        items: [{ key: "a/configuration", value: "x", createRevision: 1, revision }],
        position: buildPosition(revision),
    });

describe("a process asks others for a newer configuration than its own", () => {
    // Guards against CONFIG: a second transfer of 1.5 s from the store puts a damaged configuration into force after the
    // bound of 3 s, although another process has it.
    it("when that from the store was damaged, and reads the store at the same time", () => {
        const effects = node.run([buildDamaged(8)]);
        const [first, second, ...others] = listRequests(effects);
        expect(others).toEqual([]);
        expect([first?.after, second?.after]).toEqual([buildPosition(5), buildPosition(5)]);
        expect(first?.vm).not.toBe(second?.vm);
        expect(listEffects(effects, "readValue")).toHaveLength(1);
        const received = node.run([buildReceived(first?.vm ?? "", buildConfiguration(8))]);
        expect(getVersion()).toBe(8);
        expect(listEffects(received, "cancelValueRead")).toHaveLength(1);
        expect(listRequests(node.runFor(5000))).toEqual([]);
    });

    // Guards against CONFIG: a process whose large answer was reset waits for the whole of another one.
    it("when a large answer of the store has failed", () => {
        node.run([{ kind: "largeAnswerStarted" }], 50);
        expect(listRequests(node.run([buildFailure(600_000)], 40))).toHaveLength(2);
    });

    it("no more when the store's changes have arrived after that", () => {
        node.run([{ kind: "largeAnswerStarted" }], 50);
        const [first, second] = listRequests(node.run([buildFailure(600_000)], 40));
        node.run([node.buildChangeEvent(buildConfiguration(8))], 100);
        node.run([buildAbsent(first?.vm ?? ""), buildAbsent(second?.vm ?? "")], 100);
        expect(listRequests(node.runFor(5000))).toEqual([]);
    });

    it("while a large answer of the store takes longer than 100 ms", () => {
        node.run([{ kind: "largeAnswerStarted" }]);
        expect(listRequests(node.runFor(95))).toEqual([]);
        expect(listRequests(node.runFor(10))).toHaveLength(2);
    });

    // Guards against calls between processes for each configuration that arrives over a fast link.
    it("not when a large answer of the store arrives sooner", () => {
        node.run([{ kind: "largeAnswerStarted" }]);
        node.run([node.buildChangeEvent(buildConfiguration(8))], 90);
        expect(listRequests(node.runFor(5000))).toEqual([]);
    });

    // Guards against CONFIG: the head of an answer was damaged, so nothing told the process that a configuration was in it.
    it("when another process has reported a newer one and the store does not answer: that process, at once", () => {
        node.run([buildFailure(0)]);
        const effects = node.run([buildReport("front-3", 8)], 100);
        expect(listRequests(effects).map(({ vm }) => vm)).toEqual(["front-3"]);
        expect(getGauge(effects)).toBe(1);
        expect(getGauge(node.run([buildReceived("front-3", buildConfiguration(8))]))).toBe(0);
        expect(getVersion()).toBe(8);
    });

    it("when the store answers but the newer one does not come: after 500 ms", () => {
        node.run([buildReport("front-3", 8)]);
        expect(listRequests(node.runFor(490))).toEqual([]);
        expect(listRequests(node.runFor(20)).map(({ vm }) => vm)).toEqual(["front-3"]);
    });

    it("not when the store delivers it meanwhile", () => {
        node.run([buildReport("front-3", 8)]);
        node.run([node.buildChangeEvent(buildConfiguration(8))], 300);
        expect(listRequests(node.runFor(5000))).toEqual([]);
    });

    // Guards against a process that asks the same ones in vain while another has the configuration.
    it("one after the other, and again those that had none", () => {
        const effects = [...node.run([buildDamaged(8)])];
        for (let answer = 0; answer < 6; answer += 1) {
            const { vm } = listRequests(effects).at(-1) ?? { vm: toVmId("") };
            effects.push(...node.run([buildAbsent(vm)], 150), ...node.runFor(150));
        }
        expect(new Set(listRequests(effects).map(({ vm }) => vm))).toEqual(new Set(names.slice(1).map(toVmId)));
        expect(listRequests(effects).length).toBeGreaterThan(4);
    });

    it("but not one that has failed, for 5 s", () => {
        const [first, second] = listRequests(node.run([buildDamaged(8)]));
        const vm = first?.vm ?? toVmId("");
        node.run([
            { kind: "copyReceived", vm, outcome: { kind: "failed", message: "status 404" } },
            buildAbsent(second?.vm ?? ""),
        ]);
        const answerOthers = (effect: ForwardEffect): readonly ForwardEvent[] =>
            effect.kind === "requestCopy" && effect.vm !== vm ? [buildAbsent(effect.vm)] : [];
        const isAsked = (effects: readonly ForwardEffect[]): boolean =>
            listRequests(effects).some(request => request.vm === vm);
        expect(isAsked(node.runFor(4800, answerOthers))).toBe(false);
        expect(isAsked(node.runFor(400, answerOthers))).toBe(true);
    });
});

describe("a configuration of another process", () => {
    // Guards against a withdrawn key that comes back with an older configuration.
    it.each([
        { what: "at an earlier position", changes: buildConfiguration(4, 9) },
        { what: "at the same position", changes: buildConfiguration(5, 9) },
        { what: "of a lower version", changes: buildConfiguration(9, 4) },
        { what: "of an era that is lost", changes: buildConfiguration(9, 9, 0) },
    ])("is ignored: $what", ({ changes }) => {
        node.run([buildReceived("front-3", changes)]);
        expect(getVersion()).toBe(5);
    });

    it("is used when it belongs to a newer era", () => {
        node.run([buildReceived("front-3", buildConfiguration(2, 9, 2))]);
        expect(getVersion()).toBe(9);
    });

    // Guards against calls without end for a configuration that a restored store has replaced by an older version.
    it("is not asked for again when its version is lower", () => {
        node.run([buildFailure(0), buildReport("front-3", 2, 2)]);
        const effects = node.run([buildReceived("front-3", buildConfiguration(2, 4, 2))]);
        expect(getGauge(effects)).toBe(0);
        expect(listRequests(node.run([buildReport("front-3", 2, 2)], 1000))).toEqual([]);
        expect(listRequests(node.run([buildReport("front-3", 3, 2)]))).toHaveLength(1);
    });
});

describe("a process that is asked for a newer configuration", () => {
    const buildCall = (call: string, after: number): ForwardEvent => ({
        kind: "copyCallReceived",
        call: toCallId(call),
        after: buildPosition(after),
    });
    const listAnswers = (effects: readonly ForwardEffect[]): readonly CopyAnswer[] =>
        listEffects(effects, "answerCopyCall").map(({ answer }) => answer);

    it("answers at once when it has one", () => {
        expect(listAnswers(node.run([buildCall("a", 4)]))).toEqual([{ kind: "copy", copy: buildCopy(5) }]);
    });

    it("answers when it gets one", () => {
        expect(listAnswers(node.run([buildCall("a", 5)]))).toEqual([]);
        const effects = node.run([node.buildChangeEvent(buildConfiguration(8))], 700);
        expect(listAnswers(effects)).toEqual([{ kind: "copy", copy: buildCopy(8) }]);
    });

    it("answers after a second that it has none", () => {
        node.run([buildCall("a", 5)]);
        expect(listAnswers(node.runFor(990))).toEqual([]);
        expect(listAnswers(node.runFor(20))).toEqual([{ kind: "absent" }]);
    });

    // Guards against calls of other processes that fill the memory.
    it("keeps at most 256 calls waiting", () => {
        node.run(Array.from({ length: 256 }, (_, index) => buildCall(`a${index}`, 5)));
        expect(listAnswers(node.run([buildCall("b", 5)]))).toEqual([{ kind: "absent" }]);
    });

    it("does not hand on what is too long", () => {
        const copy = { ...buildCopy(8), key: "a/configuration", packed: undefined };
        node.run([node.buildChangeEvent({ ...buildConfiguration(8), copy })]);
        expect(listAnswers(node.run([buildCall("a", 5)]))).toEqual([]);
        expect(listAnswers(node.runFor(1010))).toEqual([{ kind: "absent" }]);
    });

    it("tells others of it in the exchange", () => {
        const effects = node.run([{ kind: "peerCallReceived", call: toCallId("e"), state: buildPeerState() }]);
        const { position, fingerprint } = buildCopy(5);
        expect(listEffects(effects, "answerPeer")[0]?.state.configuration).toEqual({ ...position, fingerprint });
    });
});

describe("the compressed form of a configuration", () => {
    const value = Buffer.from(JSON.stringify(buildManyRoutes({ version: 7, count: 4500, timeoutMs: 500 })))
        .toString("base64");
    const item: Item = {
        "key": "op/config",
        value,
        "revision": 12,
        "create-revision": 3,
        "tombstone": false,
    };
    const copy = decodeItems([item], buildPosition(20)).copy as PackedCopy;

    it("names the revision of the value and decodes to the same configuration", () => {
        expect(copy.position).toEqual(buildPosition(12));
        expect(copy.packed.length).toBeLessThan(64 * 1024);
        expect(decodeCopy(copy).document).toEqual(decodeItems([item], buildPosition(20)).document);
    });

    // Guards against a configuration that nobody has written, from a process with faulty memory.
    it("is refused when its bytes are damaged or are not those that it names", () => {
        const damaged = `${copy.packed.slice(0, 2000)}AAAA${copy.packed.slice(2004)}`;
        expect(() => decodeCopy({ ...copy, packed: damaged })).toThrow();
        const other = encodePackedValue(Buffer.from("{}").toString("base64")) ?? "";
        expect(() => decodeCopy({ ...copy, packed: other })).toThrow("another fingerprint");
    });

    // Guards against a message of a few kilobytes that fills the memory of the process that unpacks it.
    it("is refused when it unpacks to more than 2 MiB", () => {
        const packed = encodePackedValue(Buffer.alloc(2 * 1024 * 1024 + 1).toString("base64")) ?? "";
        expect(packed.length).toBeLessThan(16 * 1024);
        expect(() => decodePackedValue(packed)).toThrow();
    });

    it("is left out when it has more than 512 KiB", () => {
        const generator = xoroshiro128plus(1);
        const bytes = Uint8Array.from({ length: 512 * 1024 }, () => generator.next() & 255);
        expect(encodePackedValue(Buffer.from(bytes).toString("base64"))).toBeUndefined();
    });
});

describe("calls between processes for configurations", () => {
    const links: PeerLink[] = [];

    afterEach(() => {
        links.splice(0).forEach(link => {
            link.close();
        });
    });

    const createLink = (address: string, answer?: CopyAnswer): PeerLink => {
        const link = createPeerLink({
            address,
            post: event => {
                if (event.kind === "copyCallReceived" && answer) {
                    expect(event.after).toEqual(buildPosition(5, 2));
                    link.answerCopyCall({ kind: "answerCopyCall", call: event.call, answer });
                }
            },
        });
        links.push(link);
        return link;
    };

    it.each<CopyAnswer>([{ kind: "copy", copy: buildCopy(8, 2) }, { kind: "absent" }])(
        "carry the answer: $kind",
        async answer => {
            const [port] = await findPorts(1);
            const address = `127.0.0.1:${port}`;
            await createLink(address, answer).start();
            expect(await createLink("127.0.0.1:1").requestCopy(address, buildPosition(5, 2))).toEqual(answer);
        },
    );

    // Guards against a process that counts an older version of the product as a source of configurations.
    it("fail at a process that does not know them", async () => {
        const http = await import("node:http");
        const server = http.createServer((request, response) => {
            request.resume();
            response.writeHead(404).end("{}");
        });
        const address = await openServer(server);
        await expect(createLink("127.0.0.1:1").requestCopy(address, buildPosition(5))).rejects.toThrow("404");
        await closeServer(server);
    });
});

describe("a process that cannot reach the store", () => {
    let fleet: PlatformFleet | undefined;
    let proxy: TcpProxy | undefined;

    afterEach(async () => {
        await fleet?.close();
        await proxy?.stop();
    });

    // Guards against CONFIG: a withdrawn key is served by the one process whose connection to the store has failed.
    it("puts configurations into force that other processes have", async () => {
        const createStore: typeof platformPorts.createStore = options =>
            platformPorts.createStore({ ...options, address: proxy?.address ?? options.address });
        fleet = await startPlatformFleet({ nodes: 2, ports: { ...platformPorts, createStore } });
        proxy = await startTcpProxy(fleet.store.address);
        const cutNode = await fleet.startNode("front-3");
        const send = async (): Promise<number> =>
            (await sendRequest(cutNode.callerAddress, { path: "/lookup/1" })).status;
        await waitUntil(async () => await send() === 200);
        proxy.disconnect();
        await vi.waitUntil(() => cutNode.logs.some(line => line.includes("The store does not answer")));
        fleet.writeConfiguration({ tenants: [{ "name": "shop", "api-keys": [`${apiKey}-new`] }] });
        await waitUntil(async () => await send() === 401);
        expect(cutNode.logs.some(line => line.includes("\"learnedFrom\":\"copy\""))).toBe(true);
    });
});
