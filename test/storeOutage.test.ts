/** Freshness in a fleet that is too large for every member to query every other member. */
import { Err, Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import type { EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { type CallId, toCallId, toConfigVersion, toMillis } from "../src/ids";
import type { Freshness } from "../src/policy/freshness";
import { systems } from "../src/systems";
import { createVirtualNode, type VirtualNode } from "./support/world";

const memberCount = 150;
const stepMs = 250;

const buildMembersReply = (): Event => ({
    kind: "storeReplied",
    purpose: { for: "member", step: "list" },
    outcome: {
        sentAt: toMillis(0),
        result: Ok({
            kind: "rows",
            revision: 1,
            rows: Array.from({ length: memberCount }, (_, index) => ({
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
        Array.from({ length: memberCount }, (_, index) => createVirtualNode(systems, index, index)),
    );
    for (const { run, world, getNow } of nodes) {
        run();
        run([buildMembersReply()]);
        world.tables.configuration.apply(toConfigVersion(1), world.tables.configuration.document);
        world.tables.configuration.confirmedAt = toMillis(getNow());
    }
    return nodes;
}

/** Runs all processes without a store for some seconds; `canReach` decides which processes can reach each other. */
function runOutage(nodes: readonly VirtualNode[], seconds: number, canReach: (from: number, to: number) => boolean) {
    let incoming: Event[][] = nodes.map(() => []);
    const replies = new Map<CallId, (result: EffectOf<"answerPeer">["answer"]) => void>();
    for (let step = 0; step < (seconds * 1000) / stepMs; step += 1) {
        const nextIncoming: Event[][] = nodes.map(() => []);
        for (const [from, node] of nodes.entries()) {
            for (const effect of node.run(incoming[from], stepMs)) {
                if (effect.kind === "callPeer") {
                    const { purpose, address, request } = effect;
                    const to = Number(address.split(":")[1]) - 3000;
                    const call = toCallId(`${step}/${from}/${to}`);
                    if (canReach(from, to)) {
                        nextIncoming[to]?.push({ kind: "peerCallReceived", call, request });
                        replies.set(call, answer => {
                            incoming[from]?.push({ kind: "peerReplied", purpose, address, result: Ok(answer) });
                        });
                    }
                }
                if (effect.kind === "answerPeer") {
                    replies.get(effect.call)?.(effect.answer);
                }
                if (effect.kind === "callStore") {
                    const result = Err({ effect: "none" as const, message: "refused" });
                    const outcome = { sentAt: toMillis(node.getNow()), result };
                    nextIncoming[from]?.push({ kind: "storeReplied", purpose: effect.purpose, outcome });
                }
            }
            // Answers that are sent later in this step arrive in the next step.
            incoming[from] = nextIncoming[from] ?? [];
        }
        incoming = nextIncoming;
    }
}

const countByFreshness = (nodes: readonly VirtualNode[], freshness: Freshness): number =>
    nodes.filter(node => node.world.tables.configuration.freshness === freshness).length;

describe("store outage in a large fleet", () => {
    // When members sent only their own digest, no member had recent digests of a majority, and the whole fleet refused
    // keys.
    it("is recognised by every member, so that all keep serving", async () => {
        const nodes = await createNodes();
        runOutage(nodes, 9, () => true);
        expect(countByFreshness(nodes, "store_outage")).toBe(memberCount);
    });

    it("is not assumed by the smaller part of a partitioned fleet", async () => {
        const nodes = await createNodes();
        const minoritySize = memberCount / 3;
        runOutage(nodes, 9, (from, to) => (from < minoritySize) === (to < minoritySize));
        expect(countByFreshness(nodes.slice(0, minoritySize), "isolated")).toBe(minoritySize);
        expect(countByFreshness(nodes.slice(minoritySize), "store_outage")).toBe(memberCount - minoritySize);
    });
});
