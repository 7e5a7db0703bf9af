/** Acquisition of the rollout leadership. */
import { Err, Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { rolloutLeaderKey } from "../../src/forward/codec/fleetRows";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEvent } from "../../src/forward/events";
import { listReaders } from "../../src/forward/policy/storeReaders";
import { toMillis, toVmId } from "../../src/ids";
import {
    buildDocument,
    buildMemberRows,
    createForwardTestNode,
    createGrantingStore,
    listEffects,
    listNodeNames,
} from "../support/forwardNode";

const isClaim = (effect: ForwardEffect): boolean => effect.kind === "callStore" && effect.purpose.for === "leadership";

/** Runs a process for 3 s whose claims are refused, as another process was first, but that never sees that row. */
async function countClaims(name: string, names: readonly string[]): Promise<number> {
    const node = await createForwardTestNode(name);
    const grant = createGrantingStore(node.getNow);
    const answer = (effect: ForwardEffect): readonly ForwardEvent[] => {
        if (effect.kind === "callStore" && effect.purpose.for === "leadership") {
            const refused = { kind: "transaction" as const, succeeded: false, revision: 0, reads: [] };
            const outcome = { result: Ok(refused), sentAt: toMillis(node.getNow()) };
            return [{ kind: "storeReplied", purpose: effect.purpose, outcome }];
        }
        return grant(effect);
    };
    node.run([]);
    const read = node.buildReadEvent({ document: buildDocument(), rows: buildMemberRows(names) });
    return node.runFor(3000, answer, [read]).filter(isClaim).length;
}

describe("acquisition of the rollout leadership", () => {
    // Guards against a claim with each answer of the store while the row of the new leader is on its way: 17 processes
    // of a fleet made hundreds of calls at its start.
    it("is tried once a second by a process that another one was quicker than", async () => {
        expect(await countClaims("front-1", ["front-1", "front-2"])).toBe(3);
    });

    it("is left to the processes that read the store in a larger fleet", async () => {
        const names = listNodeNames(20);
        const node = await createForwardTestNode();
        const readers = listReaders(node.world.hasher, names.map(toVmId));
        for (const name of names.slice(0, 6)) {
            expect(await countClaims(name, names) > 0).toBe(readers.some(reader => reader === name));
        }
        expect(await countClaims(readers[0] ?? "", names)).toBe(3);
    });

    it("is tried by a process of a larger fleet once no reader answers it", async () => {
        const names = listNodeNames(20);
        const node = await createForwardTestNode(names[0]);
        const readers = listReaders(node.world.hasher, names.map(toVmId));
        const follower = names.find(name => !readers.some(reader => reader === name)) ?? "";
        const started = await createForwardTestNode(follower);
        const store = createGrantingStore(started.getNow);
        started.run([]);
        const read = started.buildReadEvent({ document: buildDocument(), rows: buildMemberRows(names) });
        expect(started.runFor(500, store, [read]).some(isClaim)).toBe(false);
        const failures = readers.map(vm => ({ kind: "relayFailed" as const, vm, message: "timeout" }));
        expect(listEffects(started.runFor(500, store, failures), "callStore").some(isClaim)).toBe(true);
    });
});

describe("a leadership whose row this process wrote without knowing it", () => {
    // Guards against a fleet without a leader for as long as the process lives (VERSION): the answer to its claim was
    // lost, it keeps the lease of the row, and everybody waits for the row to end.
    it("is given up, so that it can be acquired again", async () => {
        const node = await createForwardTestNode("front-1");
        const grant = createGrantingStore(node.getNow);
        let claims = 0;
        const answer = (effect: ForwardEffect): readonly ForwardEvent[] => {
            if (effect.kind !== "callStore" || effect.purpose.for !== "leadership") {
                return grant(effect);
            }
            claims += 1;
            const { purpose, call } = effect;
            const sentAt = toMillis(node.getNow());
            if (claims === 1) {
                const row = { key: rolloutLeaderKey, value: "front-1", createRevision: 50 };
                const failure = Err({ effect: "unknown" as const, message: "The call timed out." });
                return [
                    { kind: "storeReplied", purpose, outcome: { result: failure, sentAt } },
                    node.buildChangeEvent({ rows: [row] }),
                ];
            }
            const isRelease = call.kind === "transaction" && call.success.some(({ kind }) => kind === "delete");
            const row = { key: rolloutLeaderKey, value: isRelease ? undefined : "front-1", createRevision: 60 };
            return [...grant(effect), node.buildChangeEvent({ rows: [row] })];
        };
        node.run([]);
        node.runFor(5000, answer, [node.buildReadEvent({ document: buildDocument() })]);
        expect(node.world.tables.node.rolloutLeadership.state).toBe("held");
    });
});
