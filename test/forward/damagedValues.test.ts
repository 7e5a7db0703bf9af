/** Values of the store that were damaged on their way and still look like values. */
import { describe, expect, it } from "vitest";
import { decodeValue, encodeValue } from "../../platform/store";
import { decodeItems, type Item } from "../../platform/storeItems";
import { buildPlatformConfiguration } from "../../standins/platformConfiguration";
import { buildPosition } from "../support/forwardNode";

const buildItem = (key: string, value: string): Item => ({
    key,
    value,
    "revision": 7,
    "create-revision": 2,
    "tombstone": false,
});

/** Replaces the first byte of a two-byte character by one that begins no character. */
function buildDamagedText(text: string): string {
    const bytes = Buffer.from(text);
    bytes[bytes.indexOf(0xc3)] = 0xff;
    return bytes.toString("base64");
}

const configuration = JSON.stringify(buildPlatformConfiguration({ version: 5 })).replace(
    "shop.example",
    "caf\u00e9.example",
);
const target = JSON.stringify({
    service: "caf\u00e9",
    address: "127.0.0.1:8080",
    zone: "zone-a",
    state: "ready",
    version: "1",
    slots: 6,
    born: 5,
    models: [],
});
const member = JSON.stringify({
    vm: "front-2",
    address: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    dataCentre: "caf\u00e9",
    state: "live",
});

describe("a value that is no text", () => {
    // Guards against routes, targets and members under names that nobody has written.
    it.each([
        { key: "op/config", kind: "configuration", text: configuration },
        { key: "servers/s1", kind: "target", text: target },
        { key: "marjoramvane/members/front-2", kind: "row", text: member },
        { key: "op/version/m", kind: "weights", text: "{\"model\":\"caf\u00e9\",\"version\":2}" },
        {
            key: "op/rollout/caf\u00e9",
            kind: "serviceOrder",
            text: "{\"service\":\"caf\u00e9\",\"to\":\"v2\",\"period-s\":9}",
        },
    ])("is not decoded: $kind", ({ key, kind, text }) => {
        expect(decodeItems([buildItem(key, encodeValue(text))], buildPosition(9)).undecodable).toEqual([]);
        const { undecodable, document, rows, weights, serviceOrders, targets } = decodeItems(
            [buildItem(key, buildDamagedText(text))],
            buildPosition(9),
        );
        expect(undecodable).toMatchObject([{ key, kind, revision: 7 }]);
        expect(document).toBeUndefined();
        expect([...rows, ...weights, ...serviceOrders]).toEqual([]);
        expect(targets.filter(change => change.target)).toEqual([]);
    });

    // Guards against a member that counts as gone because its row was damaged on its way.
    it("is not taken for a deleted one", () => {
        const { rows, undecodable } = decodeItems(
            [buildItem("marjoramvane/members/front-2", "e30"), buildItem("marjoramvane/duties/weights", "/w==")],
            buildPosition(9),
        );
        expect(rows).toEqual([]);
        expect(undecodable.map(({ key }) => key)).toEqual([
            "marjoramvane/members/front-2",
            "marjoramvane/duties/weights",
        ]);
    });
});

describe("base64", () => {
    it.each(["e30", "e3=0", "e3 0=", "e30=e30=", "e3*0", "_-8=", "e31="])(
        "is not decoded when it is malformed: %s",
        value => {
            expect(decodeValue(value)).toBeUndefined();
        },
    );

    it.each(["", "a", "ab", "abc", "{}", "caf\u00e9", "\u{1f600}"])("is decoded: '%s'", text => {
        expect(decodeValue(encodeValue(text))).toBe(text);
    });
});
