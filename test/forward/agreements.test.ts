/** Settings that the terms of the platform ask for. */
import { describe, expect, it } from "vitest";
import { platformPorts } from "../../platform";
import { parseForwardSettings } from "../../src/forward/settings";
import { formatSettings } from "../support/forwardNode";

const parseAgreements = (line: string): readonly string[] =>
    parseForwardSettings(`${line}\n${formatSettings("front-1")}`).unwrap().agreements;

describe("the terms of the platform", () => {
    // Guards against a process that does not start because the platform names no terms, or one that is new.
    it.each([
        ["no terms", "", false],
        ["an empty list", "agreements = \"\"", false],
        ["other terms", "agreements = \"base,a-term-that-is-not-known\"", false],
        ["servers that crash when they hold too much", "agreements = \"base, pressure\"", true],
    ])("ask for admission by slots only where servers crash under too many requests: %s", (_what, line, isAsked) => {
        expect(platformPorts.decodeAgreements(parseAgreements(line)).admitsBySlots).toBe(isAsked);
    });
});
