/** What the log and the metrics say of calls to the store that fail. */
import { beforeEach, describe, expect, it } from "vitest";
import type { ForwardEffect } from "../../src/forward/effects";
import type { ForwardEventOf } from "../../src/forward/events";
import { toMillis } from "../../src/ids";
import { buildDocument, createForwardTestNode, type ForwardTestNode, listEffects } from "../support/forwardNode";

let node: ForwardTestNode;

beforeEach(async () => {
    node = await createForwardTestNode();
    node.run([node.buildReadEvent({ document: buildDocument({ version: 3 }) })]);
});

const buildFailure = (): ForwardEventOf<"storeUnreachable"> => ({
    kind: "storeUnreachable",
    call: "watch",
    message: "timed out",
    receivedBytes: 0,
    sentAt: toMillis(node.getNow()),
});

const listStoreLines = (effects: readonly ForwardEffect[]) =>
    listEffects(effects, "writeLog").filter(({ prefix }) => prefix === "store:");
const listGauge = (effects: readonly ForwardEffect[], name: string) =>
    listEffects(effects, "updateGauge").filter(gauge => gauge.name === name).map(({ value }) => value);

describe("calls to the store that fail one after the other", () => {
    // Guards against a process whose log looks the same whether it waits for changes or can get none.
    it("are logged every two seconds with their number", () => {
        const effects = Array.from({ length: 9 }, () => node.run([buildFailure()], 500)).flat();
        expect(listStoreLines(effects).map(({ message, fields }) => [message, fields.failures])).toEqual([
            ["The store does not answer.", 1],
            ["The store still does not answer.", 5],
            ["The store still does not answer.", 9],
        ]);
    });

    it("are counted by a gauge until the store answers", () => {
        const effects = [node.run([buildFailure()], 500), node.run([buildFailure()], 500)].flat();
        expect(listGauge(effects, "store_failures_in_a_row")).toEqual([1, 2]);
        expect(listGauge(node.run([node.buildChangeEvent({})]), "store_failures_in_a_row")).toEqual([0]);
    });
});

// Guards against a fleet of which nobody can tell which process is behind.
it("reports the version of the configuration in force as a gauge", () => {
    const document = buildDocument({ version: 4 });
    expect(listGauge(node.run([node.buildChangeEvent({ document })]), "configuration_version")).toEqual([4]);
});
