/** Values of the store that arrive damaged, or that another writer has left there. */
import { beforeEach, describe, expect, it } from "vitest";
import type { ForwardEffect } from "../../src/forward/effects";
import type {
    ForwardEvent,
    ForwardEventOf,
    PublishedChanges,
    StoreValueKind,
    UndecodableValue,
} from "../../src/forward/events";
import { toFingerprint } from "../../src/forward/ids";
import { toMillis } from "../../src/ids";
import {
    buildDocument,
    buildPosition,
    buildTarget,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
} from "../support/forwardNode";

const configurationKey = "a/configuration";

let node: ForwardTestNode;

beforeEach(async () => {
    node = await createForwardTestNode();
    node.run([node.buildReadEvent({ document: buildDocument({ version: 1 }) })]);
});

const buildUndecodable = (revision: number, bytes = "damaged", kind: StoreValueKind = "configuration") => ({
    key: kind === "configuration" ? configurationKey : `a/${kind}`,
    kind,
    revision,
    length: bytes.length,
    fingerprint: toFingerprint(bytes),
});

/** Delivery of a watch call with a value that cannot be decoded. */
const buildDelivery = (value: UndecodableValue): ForwardEvent =>
    node.buildChangeEvent({
        undecodable: [value],
        items: [{ key: value.key, value: "x", createRevision: 1, revision: value.revision }],
        position: buildPosition(value.revision),
    });

function buildFound(
    revision: number,
    changes: Partial<PublishedChanges>,
    key = configurationKey,
): ForwardEventOf<"valueRead"> {
    const event = node.buildChangeEvent({ ...changes, position: buildPosition(revision) });
    const found = (event as ForwardEventOf<"publishedChanged">).changes;
    return { kind: "valueRead", key, outcome: { kind: "found", revision, changes: found } };
}

const buildFailed = (key = configurationKey): ForwardEvent => ({
    kind: "valueRead",
    key,
    outcome: { kind: "failed", message: "reset" },
});

const listReads = (effects: readonly ForwardEffect[]): readonly string[] =>
    listEffects(effects, "readValue").map(({ key }) => key);
const getVersion = (): number => node.world.tables.configuration.version;
const getGauge = (effects: readonly ForwardEffect[]): number | undefined =>
    listEffects(effects, "updateGauge").findLast(({ name }) => name === "undecodable_values")?.value;

/** Time until the next read begins. */
function measureUntilRead(limitMs: number): number {
    const startedAt = node.getNow();
    while (node.getNow() - startedAt < limitMs) {
        if (listReads(node.runFor(10)).length > 0) {
            return node.getNow() - startedAt;
        }
    }
    return Infinity;
}

describe("a configuration that cannot be decoded", () => {
    // Guards against CONFIG: a process read a damaged configuration once more, that copy was damaged too, and it kept the
    // version before until the next one.
    it("is read again until it is decoded", () => {
        expect(listReads(node.run([buildDelivery(buildUndecodable(2))]))).toEqual([configurationKey]);
        for (let read = 1; read <= 5; read += 1) {
            node.run([buildFound(2, { undecodable: [buildUndecodable(2, `damaged ${read}`)] })]);
            expect(measureUntilRead(1000)).toBeLessThanOrEqual(310);
        }
        const effects = node.run([buildFound(2, { document: buildDocument({ version: 2 }) })]);
        expect(getVersion()).toBe(2);
        expect(getGauge(effects)).toBe(0);
        expect(listReads(node.runFor(120_000))).toEqual([]);
    });

    it("is read again by a process that starts", async () => {
        node = await createForwardTestNode();
        node.run([]);
        const effects = node.run([node.buildReadEvent({ undecodable: [buildUndecodable(2)] })]);
        expect(listReads(effects)).toEqual([configurationKey]);
        node.run([buildFound(2, { document: buildDocument({ version: 2 }) })]);
        expect(getVersion()).toBe(2);
    });

    it("is read again after a read that failed", () => {
        node.run([buildDelivery(buildUndecodable(2))]);
        node.run([buildFailed()]);
        expect(measureUntilRead(1000)).toBeLessThanOrEqual(310);
        node.run([buildFailed()]);
        expect(measureUntilRead(1000)).toBeLessThanOrEqual(610);
    });

    // Guards against large answers that are asked for while the link is not free.
    it("is read again only while the store answers", () => {
        const failure: ForwardEvent = {
            kind: "storeUnreachable",
            call: "watch",
            message: "reset",
            receivedBytes: 0,
            sentAt: toMillis(node.getNow()),
        };
        expect(listReads(node.run([buildDelivery(buildUndecodable(2)), failure]))).toEqual([configurationKey]);
        node.run([failure]);
        node.run([buildFailed()]);
        expect(measureUntilRead(5000)).toBe(Infinity);
        expect(listReads(node.run([node.buildChangeEvent({})]))).toEqual([configurationKey]);
    });

    // Guards against 1 MiB that every process asks for five times a second when the store holds what nobody can decode.
    it("is read less and less often, but never given up, when it is the same in each read", () => {
        node.run([buildDelivery(buildUndecodable(2))]);
        const delays = Array.from({ length: 9 }, () => {
            node.run([buildFound(2, { undecodable: [buildUndecodable(2)] })]);
            return measureUntilRead(120_000);
        });
        expect(delays[0]).toBeGreaterThanOrEqual(500);
        expect(delays[0]).toBeLessThanOrEqual(1510);
        expect(Math.min(...delays.slice(6))).toBeGreaterThanOrEqual(30_000);
        expect(Math.max(...delays)).toBeLessThanOrEqual(90_010);
    });

    it("is not read any more when a newer one has arrived", () => {
        node.run([buildDelivery(buildUndecodable(2))]);
        const document = buildDocument({ version: 3 });
        const items = [{ key: configurationKey, value: "x", createRevision: 1, revision: 3 }];
        const effects = node.run([node.buildChangeEvent({ document, items, position: buildPosition(3) })]);
        expect(listEffects(effects, "cancelValueRead")).toEqual([{ kind: "cancelValueRead", key: configurationKey }]);
        expect(listReads(node.runFor(120_000))).toEqual([]);
    });

    // Guards against a withdrawn key that returns with the answer to a read that was overtaken.
    it("is not replaced by an older one whose read was overtaken", () => {
        node.run([buildDelivery(buildUndecodable(2))]);
        node.run([buildDelivery(buildUndecodable(4))]);
        node.run([buildFound(2, { document: buildDocument({ version: 2 }) })]);
        expect(getVersion()).toBe(1);
        expect(measureUntilRead(1000)).toBeLessThanOrEqual(310);
    });

    it("is read again after the store was restored from an older copy", () => {
        node.run([buildDelivery(buildUndecodable(7))]);
        const read = node.buildReadEvent({ undecodable: [buildUndecodable(3)], position: buildPosition(3, 2) });
        expect(listReads(node.run([read]))).toEqual([configurationKey]);
        node.run([buildFound(7, { document: buildDocument({ version: 9 }) })]);
        expect(getVersion()).toBe(1);
    });
});

describe("another value that cannot be decoded", () => {
    const key = "a/target";

    // Guards against a target that gets no requests because its row was damaged on its way.
    it("is read once more and applied", () => {
        expect(listReads(node.run([buildDelivery(buildUndecodable(5, "damaged", "target"))]))).toEqual([key]);
        node.run([buildFound(5, { targets: [{ name: "e7", target: buildTarget("e7") }] }, key)]);
        expect(node.world.tables.targets.findByName("e7")?.registration.instance).toBe("e7");
        expect(listReads(node.runFor(120_000))).toEqual([]);
    });

    // Guards against reads without end of an entry that another writer has left.
    it("is left alone when the store returns the same bytes", () => {
        const odd = buildUndecodable(5, "odd", "target");
        node.run([buildDelivery(odd)]);
        const effects = node.run([buildFound(5, { undecodable: [odd] }, key)]);
        expect(getGauge(effects)).toBe(0);
        expect(listReads(node.runFor(120_000))).toEqual([]);
    });

    // Guards against a call to the store from every process for each heartbeat of a writer of odd entries.
    it("is not read with each new revision for a minute after that", () => {
        const odd = buildUndecodable(5, "odd", "target");
        node.run([buildDelivery(odd)]);
        node.run([buildFound(5, { undecodable: [odd] }, key)]);
        for (let revision = 6; revision < 50; revision += 1) {
            expect(listReads(node.run([buildDelivery(buildUndecodable(revision, "odd", "target"))], 1200))).toEqual([]);
        }
        expect(listReads(node.run([buildDelivery(buildUndecodable(50, "odd", "target"))], 10_000))).toEqual([key]);
    });

    it("is left alone when its key is gone", () => {
        node.run([buildDelivery(buildUndecodable(5, "odd", "row"))]);
        node.run([{ kind: "valueRead", key: "a/row", outcome: { kind: "absent" } }]);
        expect(listReads(node.runFor(120_000))).toEqual([]);
    });

    // Guards against CONFIG: odd entries of another writer keep a process from reading a damaged configuration again.
    it("does not keep back the configuration, however many there are", () => {
        const undecodable = Array.from({ length: 300 }, (_, index) => ({
            ...buildUndecodable(5, "odd", "target"),
            key: `a/${index}`,
        }));
        node.run([node.buildReadEvent({ undecodable, position: buildPosition(5) })]);
        expect(listReads(node.run([buildDelivery(buildUndecodable(6))]))).toEqual([configurationKey]);
    });

    it("is read with at most three others at a time, and not kept beyond 256", () => {
        const undecodable = Array.from({ length: 300 }, (_, index) => ({
            ...buildUndecodable(5, "odd", "target"),
            key: `a/${index}`,
        }));
        const effects = node.run([node.buildReadEvent({ undecodable, position: buildPosition(5) })]);
        expect(listReads(effects)).toHaveLength(4);
        expect(node.world.tables.undecodableValues.rows.size).toBe(256);
    });
});
