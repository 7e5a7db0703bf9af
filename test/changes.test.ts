/** Answers to configuration changes are correct when calls to the store and to peers are lost, late or repeated. */
import * as fc from "fast-check";
import { Err, Ok } from "ts-results";
import { describe, expect, it } from "vitest";
import { changePrefix, headKey, parseChangeRecord, parseHead, snapshotKey } from "../src/config/records";
import type { Effect, EffectOf } from "../src/effects";
import type { Event } from "../src/events";
import { type CallId, toAccountId, toCallId, toKeyHash, toMillis } from "../src/ids";
import type { OperatorAnswer } from "../src/operators";
import type { StoreAnswer, StoreFailure, StoreOperation } from "../src/store";
import { systems } from "../src/systems";
import { createKeyValueStore, type Operation } from "../standins/keyValueStore";
import { hashKey } from "./support/fleet";
import { createVirtualNode, type VirtualNode } from "./support/world";

const operator = toKeyHash(hashKey("operator"));
const document = { accounts: { shop: { rate: 1, burst: 1 } }, operators: { [operator]: {} } };

const toOperation = (operation: StoreOperation): Operation =>
    operation.kind === "range"
        ? { kind: "range", key: operation.range.key, ...(operation.range.end ? { end: operation.range.end } : {}) }
        : operation.kind === "put"
        ? { kind: "put", key: operation.key, value: operation.value }
        : operation;

type Delivery = "answered" | "lostCall" | "lostAnswer" | "lateCall";
/** Outcomes of store calls under light, medium and total loss. A run draws a list, and each call an outcome from it. */
const lossLevels: readonly (readonly Delivery[])[] = [
    ["answered", "answered", "answered", "answered", "lostAnswer", "lateCall"],
    ["answered", "answered", "lostCall", "lostAnswer", "lateCall"],
    ["lostCall", "lostAnswer", "lateCall"],
];

/** A fleet in virtual time that shares one store; `choose` draws the faults. */
class VirtualFleet {
    readonly answers = new Map<CallId, OperatorAnswer>();
    readonly store = createKeyValueStore({ getNow: () => 0 });
    hasFaults = true;
    private readonly pending: { readonly node: number; readonly at: number; readonly run: () => Event | undefined; }[] =
        [];
    private readonly peerCalls = new Map<CallId, { readonly from: number; readonly effect: EffectOf<"callPeer">; }>();
    private readonly deliveries: readonly Delivery[];
    private now = 0;

    constructor(readonly nodes: readonly VirtualNode[], private readonly choose: (count: number) => number) {
        this.deliveries = lossLevels[choose(lossLevels.length)] ?? [];
        this.store.runTransaction([], [
            { kind: "put", key: snapshotKey, value: JSON.stringify({ version: 1, document }) },
            { kind: "put", key: headKey, value: JSON.stringify({ version: 1, changeId: "first" }) },
        ], []);
    }

    step(events: readonly { readonly node: number; readonly event: Event; }[] = []): void {
        this.now += 50;
        const due = this.pending.filter(entry => entry.at <= this.now);
        const notYetDue = this.pending.filter(entry => entry.at > this.now);
        this.pending.splice(0, this.pending.length, ...notYetDue);
        const arrived = due.map(entry => ({ node: entry.node, event: entry.run() }));
        for (const [index, node] of this.nodes.entries()) {
            const nodeEvents = [...events, ...arrived].filter(entry => entry.node === index).map(entry => entry.event);
            const effects = node.run(nodeEvents.filter(event => event !== undefined), 50);
            for (const effect of effects) {
                this.handle(index, effect);
            }
        }
    }

    private post(node: number, run: () => Event | undefined, maxSteps = 4): void {
        this.pending.push({ node, at: this.now + 50 * (1 + this.choose(maxSteps)), run });
    }

    private handle(node: number, effect: Effect): void {
        if (effect.kind === "callStore") {
            this.sendStoreCall(node, effect);
        }
        if (effect.kind === "answerOperator") {
            this.answers.set(effect.call, effect.answer);
        }
        if (effect.kind === "callPeer" && !(this.hasFaults && this.choose(3) === 0)) {
            const target = Number(effect.address.split(":")[1]) - 3000;
            const call = toCallId(`peer-${this.peerCalls.size}`);
            this.peerCalls.set(call, { from: node, effect });
            this.post(target, () => ({ kind: "peerCallReceived", call, request: effect.request }));
        }
        const peerCall = effect.kind === "answerPeer" ? this.peerCalls.get(effect.call) : undefined;
        if (effect.kind === "answerPeer" && peerCall) {
            const { purpose, address } = peerCall.effect;
            this.post(peerCall.from, () => ({ kind: "peerReplied", purpose, address, result: Ok(effect.answer) }));
        }
    }

    private sendStoreCall(node: number, { purpose, call }: EffectOf<"callStore">): void {
        const sentAt = toMillis(this.nodes[node]?.getNow() ?? 0);
        const buildReply = (result: StoreAnswer | StoreFailure): Event => ({
            kind: "storeReplied",
            purpose,
            outcome: { sentAt, result: "kind" in result ? Ok(result) : Err(result) },
        });
        const runCall = (): StoreAnswer => {
            if (call.kind === "range") {
                const operation = toOperation({ kind: "range", range: call.range });
                const { reads, revision } = this.store.runTransaction([], [operation], []);
                return { kind: "rows", revision, rows: reads[0] ?? [] };
            }
            if (call.kind !== "transaction") {
                return { kind: "revoked" };
            }
            const compare = call.compare.map(entry => ({
                key: entry.key,
                target: "MOD" as const,
                expected: "modRevision" in entry ? entry.modRevision : 0,
            }));
            const operations = [call.success, call.failure ?? []].map(list => list.map(toOperation));
            return {
                kind: "transaction",
                ...this.store.runTransaction(compare, operations[0] ?? [], operations[1] ?? []),
            };
        };
        // Reads of the head before a write never fail, so that most changes reach their transaction.
        const canFail = this.hasFaults && !(purpose.for === "configurationWrite" && purpose.step === "read");
        const delivery = canFail ? this.deliveries[this.choose(this.deliveries.length)] : "answered";
        const unknownReply = buildReply({ effect: "unknown", message: "lost" });
        this.post(node, () => {
            if (delivery === "lateCall") {
                this.post(node, () => void runCall(), 60);
            }
            const answer = delivery === "answered" || delivery === "lostAnswer" ? runCall() : undefined;
            return delivery === "answered" && answer ? buildReply(answer) : unknownReply;
        });
    }
}

async function createFleet(seed: number): Promise<VirtualFleet> {
    const nodes = await Promise.all([0, 1, 2].map(index => createVirtualNode(systems, seed + index, index)));
    let state = seed;
    return new VirtualFleet(nodes, count => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return Math.floor((state / 2 ** 32) * count);
    });
}

describe("answers to changes", () => {
    it("state correctly whether a change was made, and all VMs converge on the last version", async () => {
        await fc.assert(
            fc.asyncProperty(fc.integer({ min: 1, max: 2 ** 31 }), async seed => {
                const fleet = await createFleet(seed);
                fleet.hasFaults = false;
                for (let index = 0; index < 8; index += 1) {
                    fleet.step();
                }
                fleet.hasFaults = true;
                const hashes = Array.from({ length: 9 }, (_, index) => toKeyHash(hashKey(`key ${index}`)));
                for (const [index, hash] of hashes.entries()) {
                    const command = {
                        kind: "grantKey",
                        key: operator,
                        hash,
                        account: toAccountId("shop"),
                        label: "",
                    } as const;
                    const call = toCallId(`call-${index}`);
                    const event: Event = { kind: "operatorCommandReceived", call, command, hasFleetSecret: false };
                    fleet.step([{ node: index % 3, event }]);
                }
                for (let index = 0; index < 240; index += 1) {
                    fleet.hasFaults = index < 140;
                    fleet.step();
                }
                const records = fleet.store.listRange(changePrefix, `${changePrefix}~`)
                    .map(row => parseChangeRecord(row.value));
                const head = parseHead(fleet.store.listRange(headKey, undefined)[0]?.value ?? "");
                expect(records.map(record => record?.version)).toEqual(records.map((_, index) => index + 2));
                for (const [index, hash] of hashes.entries()) {
                    const count = records.filter(record => record?.change.keys?.set[hash]).length;
                    const answer = fleet.answers.get(toCallId(`call-${index}`));
                    expect(count).toBeLessThanOrEqual(1);
                    if (answer?.kind === "changed") {
                        expect(count).toBe(1);
                    }
                    else if (answer?.kind !== "unavailable" || answer.effect !== "unknown") {
                        expect(count).toBe(0);
                    }
                    expect(answer).toBeDefined();
                }
                const versions = fleet.nodes.map(node => node.world.tables.configuration.version);
                expect(versions).toEqual([head?.version, head?.version, head?.version]);
            }),
            { seed: 20_261_204, numRuns: 100 },
        );
    });
});
