/** Configurations that were damaged on their way and still decode. */
import { beforeEach, describe, expect, it } from "vitest";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent, ForwardEventOf, PublishedChanges } from "../../src/forward/events";
import { toFingerprint } from "../../src/forward/ids";
import { toCallId, toMillis, toVmId } from "../../src/ids";
import {
    buildDocument,
    buildMemberRows,
    buildPeerState,
    buildPosition,
    createForwardTestNode,
    type ForwardTestNode,
    listEffects,
} from "../support/forwardNode";

const key = "a/configuration";
const names = ["front-1", "front-2", "front-3", "front-4"];

let node: ForwardTestNode;

const buildConfiguration = (revision: number, bytes: string, version: number): Partial<PublishedChanges> => ({
    document: buildDocument({ version }),
    copy: { key, position: buildPosition(revision), fingerprint: toFingerprint(bytes), packed: "packed" },
    position: buildPosition(revision),
});

beforeEach(async () => {
    node = await createForwardTestNode("front-1");
    node.run([]);
    node.run([node.buildReadEvent({ ...buildConfiguration(5, "damaged", 55), rows: buildMemberRows(names) })]);
});

const buildReport = (name: string, bytes: string, revision = 5): ForwardEvent => ({
    kind: "peerCallReceived",
    call: toCallId(`exchange ${name}`),
    state: buildPeerState({
        vm: toVmId(name),
        configuration: { ...buildPosition(revision), fingerprint: toFingerprint(bytes) },
    }),
});

const buildRead = (revision: number, bytes: string, version: number): ForwardEvent => {
    const event = node.buildChangeEvent(buildConfiguration(revision, bytes, version));
    const { changes } = event as ForwardEventOf<"publishedChanged">;
    return { kind: "valueRead", key, outcome: { kind: "found", revision, changes } };
};

const listReads = (effects: readonly ForwardEffect[]): readonly string[] =>
    listEffects(effects, "readValue").map(read => read.key);
const getVersion = (): number => node.world.tables.configuration.version;

describe("a configuration of which other processes have other bytes", () => {
    // Guards against routes that nobody has written, and against a version that was damaged to a higher one: the process
    // would ignore all versions up to it.
    it("is read again and replaced, also by a lower version", () => {
        node.run([buildReport("front-2", "sound"), buildReport("front-3", "sound")]);
        expect(listReads(node.runFor(990))).toEqual([]);
        expect(listReads(node.runFor(20))).toEqual([key]);
        node.run([buildRead(5, "sound", 6)]);
        expect(getVersion()).toBe(6);
        expect(listReads(node.runFor(60_000))).toEqual([]);
        node.run([node.buildChangeEvent(buildConfiguration(7, "next", 7))]);
        expect(getVersion()).toBe(7);
    });

    // Guards against a fleet that reads 1 MiB at every process because one of them has a damaged copy.
    it("is not read when more processes have the same", () => {
        node.run([buildReport("front-2", "other")]);
        node.run([buildReport("front-3", "damaged"), buildReport("front-4", "damaged")], 500);
        expect(listReads(node.runFor(60_000))).toEqual([]);
    });

    it("stays in force when the store confirms it, whatever others have", () => {
        node.run([buildReport("front-2", "other")]);
        expect(listReads(node.runFor(1010))).toEqual([key]);
        node.run([buildRead(5, "damaged", 55)]);
        node.run([buildReport("front-3", "other")], 2000);
        expect(getVersion()).toBe(55);
        expect(listReads(node.runFor(60_000))).toEqual([]);
    });

    it("is not replaced by bytes that nobody else has, and read at most five times", () => {
        node.run([buildReport("front-2", "sound")]);
        let reads = listReads(node.runFor(1010)).length;
        for (let read = 0; read < 8; read += 1) {
            node.run([buildRead(5, `damaged ${read}`, 60 + read)]);
            reads += listReads(node.runFor(1100)).length;
        }
        expect(getVersion()).toBe(55);
        expect(reads).toBe(5);
    });

    it("is read again after a read that failed", () => {
        node.run([buildReport("front-2", "sound")]);
        node.runFor(1010);
        node.run([{ kind: "valueRead", key, outcome: { kind: "failed", message: "reset" } }]);
        expect(listReads(node.runFor(1010))).toEqual([key]);
    });

    it("gives way to a newer one that the read returns", () => {
        node.run([buildReport("front-2", "sound")]);
        node.runFor(1010);
        node.run([buildRead(8, "next", 56)]);
        expect(getVersion()).toBe(56);
        expect(listReads(node.runFor(60_000))).toEqual([]);
    });

    it("is not read while the store does not answer", () => {
        const failure: ForwardEvent = {
            kind: "storeUnreachable",
            call: "watch",
            message: "reset",
            receivedBytes: 0,
            sentAt: toMillis(node.getNow()),
        };
        node.run([buildReport("front-2", "sound"), failure]);
        expect(listReads(node.runFor(5000))).toEqual([]);
        expect(listReads(node.run([node.buildChangeEvent({})]))).toEqual([key]);
    });

    it("is not compared with that of another revision", () => {
        node.run([buildReport("front-2", "sound", 4), buildReport("front-3", "sound", 3)]);
        expect(listReads(node.runFor(60_000))).toEqual([]);
    });
});
