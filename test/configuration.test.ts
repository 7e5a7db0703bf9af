/** The active configuration never goes back to a lower version and converges, whatever the sources deliver. */
import * as fc from "fast-check";
import { Err, Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { applyChange, computeChange } from "../src/config/change";
import { type ConfigurationDocument, type Fault, parseDocument, parseEntries } from "../src/config/document";
import { changePrefix, headKey, snapshotKey, toChangeKey } from "../src/config/records";
import type { Event } from "../src/events";
import { toCallId, toConfigVersion, toMillis } from "../src/ids";
import type { ConfigurationUpdate } from "../src/peers";
import type { StoreRow } from "../src/store";
import { systems } from "../src/systems";
import { createVirtualNode, type VirtualNode } from "./support/world";

const lastVersion = 8;

/** Document of a version: the rate of the only account is the version. */
const buildDocument = (version: number): ConfigurationDocument =>
    parseDocument({ accounts: { shop: { rate: Math.max(1, version), burst: 1 } } }).unwrap();

const buildRow = (key: string, value: unknown): StoreRow => ({
    key,
    value: typeof value === "string" ? value : JSON.stringify(value),
    createRevision: 1,
    modRevision: 1,
});

const buildHeadRow = (version: number): StoreRow => buildRow(headKey, { version, changeId: `change-${version}` });

const buildChange = (version: number) =>
    computeChange(version === 1 ? parseDocument({}).unwrap() : buildDocument(version - 1), buildDocument(version));

const buildRecordRow = (version: number): StoreRow =>
    buildRow(toChangeKey(version), { version, change: buildChange(version), at: "", operator: "", note: "" });

const buildLoadReply = (head: StoreRow, snapshot: StoreRow): Event => ({
    kind: "storeReplied",
    purpose: { for: "configurationHead", step: "load" },
    outcome: {
        sentAt: toMillis(0),
        result: Ok({ kind: "transaction", succeeded: true, revision: 1, reads: [[head], [snapshot]] }),
    },
});

const buildChangesReply = (rows: readonly StoreRow[]): Event => ({
    kind: "storeReplied",
    purpose: { for: "configurationChanges", above: toConfigVersion(0) },
    outcome: { sentAt: toMillis(0), result: Ok({ kind: "rows", revision: 1, rows }) },
});

const buildPush = (body: unknown): Event => ({
    kind: "peerCallReceived",
    call: toCallId("push"),
    request: { kind: "pushConfiguration", body: body as ConfigurationUpdate },
});

const buildPullReply = (body: unknown): Event => ({
    kind: "peerReplied",
    purpose: { for: "pull" },
    address: "127.0.0.1:3001",
    result: Ok({ kind: "pullConfiguration", body: { update: body as ConfigurationUpdate } }),
});

const buildWatchDelivery = (version: number): Event => ({
    kind: "watchDelivered",
    watch: "configuration",
    revision: version,
    changes: [{ key: headKey, value: buildHeadRow(version).value, modRevision: version }],
    receivedAt: toMillis(0),
});

const buildSnapshot = (version: number) => ({ kind: "snapshot", version, document: buildDocument(version) });

const invalidDocument = { accounts: { shop: { rate: -1 } } };

/** Events that deliver a version from each source; it may be late, repeated or damaged. */
const sources: Readonly<Record<string, (version: number) => Event>> = {
    load: version => buildLoadReply(buildHeadRow(version), buildRow(snapshotKey, buildSnapshot(version))),
    olderSnapshot: version => buildLoadReply(buildHeadRow(version), buildRow(snapshotKey, buildSnapshot(1))),
    changes: version =>
        buildChangesReply(Array.from({ length: version }, (_, index) => buildRecordRow(index + 1)).slice(-3)),
    watch: buildWatchDelivery,
    pushChange: version => buildPush({ kind: "change", version, change: buildChange(version) }),
    pushSnapshot: version => buildPush(buildSnapshot(version)),
    pull: version => buildPullReply(buildSnapshot(version)),
    invalidPush: version => buildPush({ kind: "snapshot", version: version + 20, document: invalidDocument }),
    invalidChange: version => buildPush({ kind: "change", version, change: { accounts: { set: 1 } } }),
    invalidPull: version => buildPullReply({ kind: "snapshot", version: version + 20, document: invalidDocument }),
    invalidLoad: version =>
        buildLoadReply(buildRow(headKey, "{"), buildRow(snapshotKey, { version, document: invalidDocument })),
    invalidRecord: version => buildChangesReply([buildRow(`${changePrefix}x`, `{"version":${version}`)]),
};

function getVersion(node: VirtualNode): number {
    const { version, document } = node.world.tables.configuration;
    if (version > 0) {
        // The document must be that of the version and not a mixture of several versions.
        expect(document).toEqual(buildDocument(version));
    }
    return version;
}

describe("changes of the configuration", () => {
    const entry = fc.record({ rate: fc.integer({ min: 1, max: 3 }), burst: fc.constant(1) });
    const names = fc.constantFrom("a", "b", "c", "d");
    const input = fc.record({
        accounts: fc.dictionary(names, entry),
        routes: fc.dictionary(
            names,
            fc.record({ kind: fc.constant("service"), service: names, accounts: fc.array(names) }),
        ),
    });

    // A change is checked entry by entry, and this check must accept and refuse exactly what a check of the
    // whole document does.
    it("turn one document into another, and are refused when the result would be invalid", () => {
        fc.assert(
            fc.property(input, input, (fromInput, toInput) => {
                const from = parseDocument(fromInput);
                const to = parseEntries(toInput).unwrap();
                fc.pre(from.ok);
                const changed = applyChange(from.unwrap(), computeChange(from.unwrap(), to));
                const wholeDocument = parseDocument(toInput);
                const listPaths = (faults: readonly Fault[]) => faults.map(fault => fault.path).sort();
                expect(changed.ok ? changed.val : listPaths(changed.val))
                    .toEqual(wholeDocument.ok ? wholeDocument.val : listPaths(wholeDocument.val));
            }),
            { seed: 20_261_204, numRuns: 300 },
        );
    });
});

describe("active configuration", () => {
    it("never reverts and converges when versions arrive in any order from any source", async () => {
        const arrival = fc.record({
            source: fc.constantFrom(...Object.keys(sources)),
            version: fc.integer({ min: 1, max: lastVersion }),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(arrival, { maxLength: 30 }), async arrivals => {
                const node = await createVirtualNode(systems);
                let previousVersion = 0;
                for (const { source, version } of arrivals) {
                    node.run([(sources[source] as (version: number) => Event)(version)], 10);
                    const currentVersion = getVersion(node);
                    expect(currentVersion).toBeGreaterThanOrEqual(previousVersion);
                    previousVersion = currentVersion;
                }
                node.run([buildLoadReply(buildHeadRow(lastVersion), buildRow(snapshotKey, buildSnapshot(3)))]);
                node.run([buildChangesReply([4, 5, 6, 7, 8].map(buildRecordRow))]);
                expect(getVersion(node)).toBe(lastVersion);
            }),
            { seed: 20_261_204, numRuns: 100 },
        );
    });

    // An exception in a system would end the process.
    it("ignores damaged member rows", async () => {
        const node = await createVirtualNode(systems);
        node.run();
        const changes = ["{", "{}", "1"].map((value, index) => ({ key: `members/${index}`, value, modRevision: 2 }));
        const receivedAt = toMillis(node.getNow());
        node.run([{ kind: "watchDelivered", watch: "members", revision: 2, changes, receivedAt }]);
        expect(node.world.tables.members.list().map(row => row.vm)).toEqual(["entry-0"]);
    });

    it("keeps a higher version from the store when a stale peer answers first after a restart", async () => {
        const node = await createVirtualNode(systems);
        node.run();
        node.run([buildPullReply(buildSnapshot(3))]);
        expect(getVersion(node)).toBe(3);
        node.run([buildLoadReply(buildHeadRow(6), buildRow(snapshotKey, buildSnapshot(6)))]);
        node.run([buildPullReply(buildSnapshot(3)), buildWatchDelivery(2)]);
        expect(getVersion(node)).toBe(6);
    });

    it("reads missing changes from the store when a pushed change does not follow the active version", async () => {
        const node = await createVirtualNode(systems);
        node.run();
        node.run([buildPullReply(buildSnapshot(3))]);
        const effects = node.run([buildPush({ kind: "change", version: 5, change: buildChange(5) })]);
        expect(effects).toContainEqual(expect.objectContaining({
            kind: "callStore",
            purpose: { for: "configurationChanges", above: 3 },
        }));
        const answer = effects.find(effect => effect.kind === "answerPeer");
        expect(answer).toMatchObject({ answer: { kind: "pushConfiguration", body: { version: 3 } } });
        node.run([buildChangesReply([buildRecordRow(4), buildRecordRow(5)])]);
        expect(getVersion(node)).toBe(5);
    });

    // Guards against a process that knows of a newer version and waits for the next look at the head, 1.5 to 2.5 s.
    it("reads the store again soon after a read of changes has failed", async () => {
        const node = await createVirtualNode(systems);
        node.run();
        node.run([buildLoadReply(buildHeadRow(2), buildRow(snapshotKey, buildSnapshot(2)))]);
        node.run([buildWatchDelivery(3)], 100);
        node.run([{
            kind: "storeReplied",
            purpose: { for: "configurationChanges", above: toConfigVersion(2) },
            outcome: { sentAt: toMillis(0), result: Err({ effect: "none", message: "reset" }) },
        }]);
        expect(node.run([], 750)).toContainEqual(expect.objectContaining({
            kind: "callStore",
            purpose: { for: "configurationHead", step: "load" },
        }));
    });

    it("does not read the store in a loop when changes are missing and no snapshot covers them", async () => {
        const node = await createVirtualNode(systems);
        node.run();
        node.run([buildPullReply(buildSnapshot(2))]);
        const effects = node.run([buildChangesReply([buildRecordRow(7)])]);
        expect(effects.filter(effect => effect.kind === "callStore")).toHaveLength(0);
        const later = node.run([], 1000);
        expect(later).toContainEqual(expect.objectContaining({
            kind: "callStore",
            purpose: { for: "configurationHead", step: "load" },
        }));
    });
});
