/** Freshness in a fleet that is too large for every member to ask every other. */
import { Err, Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import type { EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { type CallId, toCallId, toConfigVersion, toMillis } from "../src/ids";
import type { Freshness } from "../src/policy/freshness";
import { systems } from "../src/systems";
import { createVirtualNode, type VirtualNode } from "./support/world";

const count = 150;
const stepMs = 250;

const listMembersEvent = (): Event => ({
    kind: "storeReplied",
    purpose: { for: "member", step: "list" },
    outcome: {
        sentAt: toMillis(0),
        result: Ok({
            kind: "rows",
            revision: 1,
            rows: Array.from({ length: count }, (_, index) => ({
                key: `members/entry-${index}`,
                value: JSON.stringify({
                    vm: `entry-${index}`,
                    incarnation: `run-${index}`,
                    dataCentre: "dc-0",
                    callerAddress: `127.0.0.1:${1000 + index}`,
                    peerAddress: `127.0.0.1:${3000 + index}`,
                }),
                createRevision: 1,
                modRevision: 1,
            })),
        }),
    },
});

async function createNodes(): Promise<VirtualNode[]> {
    const nodes = await Promise.all(
        Array.from({ length: count }, (_, index) => createVirtualNode(systems, index, index)),
    );
    for (const { run, world, getNow } of nodes) {
        run();
        run([listMembersEvent()]);
        world.tables.configuration.apply(toConfigVersion(1), world.tables.configuration.document);
        world.tables.configuration.confirmedAt = toMillis(getNow());
    }
    return nodes;
}

/** Runs all processes without a store for some seconds; `canReach` says which processes reach each other. */
function runOutage(nodes: readonly VirtualNode[], seconds: number, canReach: (from: number, to: number) => boolean) {
    let arriving: Event[][] = nodes.map(() => []);
    const replies = new Map<CallId, (result: EffectOf<"answerPeer">["answer"]) => void>();
    for (let step = 0; step < (seconds * 1000) / stepMs; step += 1) {
        const next: Event[][] = nodes.map(() => []);
        for (const [from, node] of nodes.entries()) {
            for (const effect of node.run(arriving[from], stepMs)) {
                if (effect.kind === "askPeer") {
                    const { purpose, address, request } = effect;
                    const to = Number(address.split(":")[1]) - 3000;
                    const call = toCallId(`${step}/${from}/${to}`);
                    if (canReach(from, to)) {
                        next[to]?.push({ kind: "peerAsked", call, request });
                        replies.set(call, answer => {
                            arriving[from]?.push({ kind: "peerReplied", purpose, address, result: Ok(answer) });
                        });
                    }
                }
                if (effect.kind === "answerPeer") {
                    replies.get(effect.call)?.(effect.answer);
                }
                if (effect.kind === "callStore") {
                    const result = Err({ effect: "none" as const, message: "refused" });
                    const outcome = { sentAt: toMillis(node.getNow()), result };
                    next[from]?.push({ kind: "storeReplied", purpose: effect.purpose, outcome });
                }
            }
            // Answers that are given from now on in this step arrive in the next one.
            arriving[from] = next[from] ?? [];
        }
        arriving = next;
    }
}

const listByFreshness = (nodes: readonly VirtualNode[], freshness: Freshness): number =>
    nodes.filter(node => node.world.tables.configuration.freshness === freshness).length;

describe("store outage in a large fleet", () => {
    // With digests of single members alone, nobody heard a majority in time, and the whole fleet refused keys.
    it("is recognised by every member, so that all serve on", async () => {
        const nodes = await createNodes();
        runOutage(nodes, 9, () => true);
        expect(listByFreshness(nodes, "store_outage")).toBe(count);
    });

    it("is not assumed by the smaller part of a divided fleet", async () => {
        const nodes = await createNodes();
        const small = count / 3;
        runOutage(nodes, 9, (from, to) => (from < small) === (to < small));
        expect(listByFreshness(nodes.slice(0, small), "isolated")).toBe(small);
        expect(listByFreshness(nodes.slice(small), "store_outage")).toBe(count - small);
    });
});
