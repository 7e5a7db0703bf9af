/** Acquisition of the rollout leadership. */
import { Ok } from "ts-results";
import { describe, expect, it } from "vitest";
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
