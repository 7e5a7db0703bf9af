/** Rows of the store that were damaged on their way to a process of the completions mode. */
import { gzipSync } from "node:zlib";
import { Ok } from "ts-results";
import { beforeEach, describe, expect, it } from "vitest";
import { decodeWatch } from "../src/codec/etcd";
import type { Effect } from "../src/effects";
import type { Event } from "../src/events";
import { toMillis } from "../src/ids";
import { systems } from "../src/systems";
import { createVirtualNode, type VirtualNode } from "./support/world";

const encode = (value: string | Buffer): string => Buffer.from(value).toString("base64");
const sound = JSON.stringify({ name: "caf\u00e9 ".repeat(20_000) });
const packed = encode(`gzip:${gzipSync(sound).toString("base64")}`);

describe("a value in base64", () => {
    const decode = (value: string): string | undefined => {
        const events = [{ kv: { key: encode("k"), value, mod_revision: "7" } }];
        const message = decodeWatch(JSON.stringify({ result: { header: { revision: "7" }, events } }));
        return message.kind === "changes" ? message.changes[0]?.value : undefined;
    };

    it("is decoded", () => {
        expect(decode(encode("{}"))).toBe("{}");
        expect(decode(packed)).toBe(sound);
    });

    // Guards against a value that keeps back all others of its answer, and against one under names that nobody has written.
    it.each([
        { what: "no base64", value: "e3*0" },
        { what: "no UTF-8", value: encode(Buffer.from([0x22, 0xff, 0x22])) },
        { what: "damaged compression", value: encode(`gzip:${gzipSync(sound).toString("base64").slice(0, -40)}`) },
    ])("is empty when it is damaged: $what", ({ value }) => {
        expect(decode(value)).toBe("");
    });
});

describe("a damaged row of a member", () => {
    let node: VirtualNode;

    const buildRow = (vm: string, isDamaged = false) => ({
        key: `members/${vm}`,
        value: isDamaged ? "" : JSON.stringify({
            vm,
            incarnation: "run-1",
            dataCentre: "dc-0",
            callerAddress: `${vm}:1`,
            peerAddress: `${vm}:2`,
        }),
        createRevision: 1,
        modRevision: 2,
    });
    const buildList = (...rows: readonly ReturnType<typeof buildRow>[]): Event => ({
        kind: "storeReplied",
        purpose: { for: "member", step: "list" },
        outcome: { sentAt: toMillis(node.getNow()), result: Ok({ kind: "rows", revision: 2, rows }) },
    });
    const hasList = (effects: readonly Effect[]): boolean =>
        effects.some(effect =>
            effect.kind === "callStore" && effect.purpose.for === "member" && effect.purpose.step === "list"
        );
    const measureUntilList = (limitMs: number): number => {
        for (let elapsedMs = 10; elapsedMs <= limitMs; elapsedMs += 10) {
            if (hasList(node.run([], 10))) {
                return elapsedMs;
            }
        }
        return Infinity;
    };
    const listRegistered = (): readonly string[] =>
        node.world.tables.members.list().filter(({ isRegistered }) => isRegistered).map(({ vm }) => vm);

    beforeEach(async () => {
        node = await createVirtualNode(systems);
        node.run();
        node.run([buildList(buildRow("entry-1"))]);
    });

    // Guards against a process that does not know a member until the next watch, because its row was damaged.
    it("has the members listed again", () => {
        const { key, value, modRevision } = buildRow("entry-2", true);
        const receivedAt = toMillis(node.getNow());
        node.run([{
            kind: "watchDelivered",
            watch: "members",
            revision: 3,
            changes: [{ key, value, modRevision }],
            receivedAt,
        }]);
        expect(measureUntilList(1000)).toBeLessThanOrEqual(300);
        node.run([buildList(buildRow("entry-1"), buildRow("entry-2"))]);
        expect(listRegistered()).toEqual(["entry-1", "entry-2"]);
        expect(measureUntilList(5000)).toBe(Infinity);
    });

    // Guards against a member that counts as gone because its row was damaged.
    it("does not remove its member", () => {
        node.run([buildList(buildRow("entry-1", true))]);
        expect(listRegistered()).toEqual(["entry-1"]);
    });

    it("has the members listed less and less often while it stays", () => {
        const delays = Array.from({ length: 10 }, () => {
            node.run([buildList(buildRow("entry-1"), buildRow("entry-2", true))]);
            return measureUntilList(120_000);
        });
        expect(delays[0]).toBeLessThanOrEqual(300);
        expect(delays.at(-1)).toBeGreaterThanOrEqual(25_000);
    });
});
