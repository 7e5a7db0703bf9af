/** Keys, values and settings of service rollouts on the platform. */
import { readFileSync } from "node:fs";
import { afterAll, describe, expect, it } from "vitest";
import { decodeTarget } from "../../platform/documents";
import { buildServiceRolloutCall } from "../../platform/serviceRollouts";
import { encodeValue, sendStoreCall } from "../../platform/store";
import { decodeItems } from "../../platform/storeItems";
import { createKeepAliveAgent } from "../../src/adapters/httpClient";
import { toServerVersion, toServiceId } from "../../src/forward/ids";
import { parseForwardSettings } from "../../src/forward/settings";
import { startPlatformStore } from "../../standins/platformStore";
import { buildPosition, formatSettings } from "../support/forwardNode";

const key = "op/rollout/huvo11a";
const service = toServiceId("huvo11a");

const decodeOrder = (text: string | undefined) =>
    decodeItems([{
        key,
        "value": text === undefined ? undefined : encodeValue(text),
        "create-revision": 3,
        "revision": 7,
        "tombstone": text === undefined,
    }], buildPosition(7)).serviceOrders;

describe("orders of service rollouts", () => {
    it("are decoded with their revision, and as withdrawn when their key is deleted", () => {
        const text = JSON.stringify({ "service": "huvo11a", "to": "v2", "period-s": 12 });
        expect(decodeOrder(text)).toEqual([
            { service, known: { kind: "order", order: { revision: 7, to: "v2", periodMs: 12_000 } } },
        ]);
        expect(decodeOrder(undefined)).toEqual([{ service, known: { kind: "none" } }]);
    });

    // Guards against an order that is taken for withdrawn, or acts on another service, because it cannot be read.
    it("are malformed with a reason when a field is missing or odd, or the service differs", () => {
        const order = { "service": "huvo11a", "to": "v2", "period-s": 12 };
        const texts = [
            "{",
            "null",
            JSON.stringify({ ...order, "to": "" }),
            JSON.stringify({ ...order, "to": 2 }),
            JSON.stringify({ ...order, "period-s": 0 }),
            JSON.stringify({ ...order, "period-s": undefined }),
            JSON.stringify({ ...order, "service": "another" }),
        ];
        for (const text of texts) {
            const [change] = decodeOrder(text);
            expect(change?.known).toEqual({ kind: "malformed" });
            expect(change?.reason).toMatch(/\S/);
        }
    });
});

describe("versions of servers", () => {
    it("are decoded from their registration", () => {
        const text = JSON.stringify({
            service: "s",
            address: "10.0.0.1:80",
            zone: "z",
            version: "v2",
            slots: 4,
            state: "ready",
        });
        expect(decodeTarget("i-1", text)?.version).toBe("v2");
    });
});

describe("the row and the status of a rollout", async () => {
    const store = await startPlatformStore();
    const access = { address: store.address, timeoutMs: 900, agent: createKeepAliveAgent() };
    afterAll(() => store.close());
    const send = (state: "observing" | "rolledBack", expectedRevision: number) =>
        sendStoreCall(
            access,
            buildServiceRolloutCall({
                kind: "recordServiceRollout",
                service,
                key: "marjoramvane/service-rollouts/huvo11a",
                value: state,
                expectedRevision,
                state,
                to: toServerVersion("v2"),
            }),
        );
    const listValues = () => store.list("").map(({ value }) => value);

    // Guards against a status that says something else than the row, and against two deciders that overwrite each other.
    it("change together, and not at all once another process has changed the row", async () => {
        const first = await send("observing", 0);
        expect(first.ok && first.val).toMatchObject({ succeeded: true });
        expect(listValues()).toEqual(["observing", `{"state":"serving","to":"v2"}`]);
        const late = await send("rolledBack", 0);
        expect(late.ok && late.val).toMatchObject({ succeeded: false });
        expect(listValues()).toEqual(["observing", `{"state":"serving","to":"v2"}`]);
        const revision = first.ok && first.val.kind === "transaction" ? first.val.revision : 0;
        await send("rolledBack", revision);
        expect(listValues()).toEqual(["rolledBack", `{"state":"rolled_back","to":"v2"}`]);
    });
});

describe("settings of service rollouts", () => {
    it("leave the feature off when they are absent", () => {
        expect(parseForwardSettings(formatSettings("front-1")).unwrap().bounds.canaryShare).toBeUndefined();
        const text = `${formatSettings("front-1")}canaryShare = 0.1\ncanarySlack = 50\nrollbackMs = 5000\n`;
        expect(parseForwardSettings(text).unwrap().bounds).toMatchObject({ canaryShare: 0.1, canarySlack: 50 });
    });

    it("are in the template only where the platform gives them", () => {
        const template = readFileSync(new URL("../../deploy/settings.toml.template", import.meta.url), "utf8");
        const section = /\{\{#bounds\.canary-share\}\}([\s\S]*)\{\{\/bounds\.canary-share\}\}/.exec(template);
        expect(section?.[1]).toContain("rollbackMs = {{bounds.rollback-ms}}");
        expect(template.replace(section?.[0] ?? "", "")).not.toContain("canary");
    });
});
