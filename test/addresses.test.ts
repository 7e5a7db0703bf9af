/** Addresses that operators, settings and targets name. */
import { describe, expect, it } from "vitest";
import { isIpAndPort } from "../src/config/address";
import { parseDocument } from "../src/config/document";

describe("an address", () => {
    it.each(["10.0.0.1:1", "127.0.0.1:65535", "[::1]:8080"])("is accepted: %s", text => {
        expect(isIpAndPort(text)).toBe(true);
    });

    // Guards against connections that throw instead of failing, and against looking a name up.
    it.each(["10.0.0.1:0", "10.0.0.1:65536", "999.1.1.1:80", "10.0.0:80", "host:80", "[::g]:80", "10.0.0.1:", ""])(
        "is rejected: %j",
        text => {
            expect(isIpAndPort(text)).toBe(false);
        },
    );

    it("with a port out of range makes a configuration invalid", () => {
        const target = { kind: "service", address: "10.0.0.1:70000", dataCentre: "dc-0", service: "press" };
        const parsed = parseDocument({ targets: { t1: target } });
        expect(parsed.err && parsed.val.map(({ path }) => path)).toEqual(["targets.t1.address"]);
    });
});
