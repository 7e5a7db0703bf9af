/** Rows that another writer left among those of the targets. */
import { afterEach, describe, expect, it } from "vitest";
import { decodeTarget } from "../../platform/documents";
import {
    engineService,
    plainService,
    type PlatformFleet,
    sendRequest,
    startPlatformFleet,
    waitUntil,
} from "../support/platformFleet";

let startedFleet: PlatformFleet | undefined;

afterEach(async () => {
    await startedFleet?.close();
    startedFleet = undefined;
});

const row = {
    service: engineService,
    address: "127.0.0.1:8080",
    zone: "zone-a",
    state: "ready",
    version: "1",
    slots: 6,
    seq: 1,
    born: 5,
    models: [],
};
const buildNested = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);
const buildRow = (name: string, json: string): string => JSON.stringify({ ...row, [name]: "@" }).replace("\"@\"", json);

const oddRows: Readonly<Record<string, string>> = {
    "a port out of range": buildRow("address", "\"127.0.0.1:70000\""),
    "port 0": buildRow("address", "\"127.0.0.1:0\""),
    "an address that is none": buildRow("address", "\"999.1.1.1:80\""),
    "a start that is too large": buildRow("born", "1e400"),
    "a start beyond the integers": buildRow("born", "99999999999999999999"),
    "slots that are too many to count": buildRow("slots", "1e300"),
    "a version of weights that is no integer": buildRow("models", "[{\"name\":\"m\",\"version\":1e308}]"),
    "models that are nested deeply": buildRow("models", buildNested(200_000)),
    "nothing but brackets": "[".repeat(500_000),
    "nesting as a whole": buildNested(200_000),
};

describe("an odd row among those of the targets", () => {
    it.each(Object.entries(oddRows))("names no target: %s", (_name, text) => {
        expect(decodeTarget("i-1", text)).toBeUndefined();
    });

    it("names its target when only a field that nobody reads is nested deeply", () => {
        expect(decodeTarget("i-1", buildRow("other", buildNested(200_000)))?.instance).toBe("i-1");
    });

    // Guards against processes that end, stop following the rows, or send requests to an address that is none (LOST).
    it("disturbs neither the requests nor the rows that follow it", async () => {
        const fleet = await startPlatformFleet();
        startedFleet = fleet;
        const [node] = fleet.nodes;
        Object.values(oddRows).forEach((text, index) => {
            fleet.store.putText(
                `servers/odd-${index}`,
                text.replaceAll(engineService, plainService),
            );
        });
        // Requests that may not be repeated: each that chose a port out of range waited for its deadline and got a 504.
        const answers = await Promise.all(
            Array.from(
                { length: 20 },
                (_, index) =>
                    sendRequest(node?.callerAddress ?? "", {
                        path: `/${index % 2 === 0 ? "issue" : "lookup"}/${index}`,
                    }),
            ),
        );
        expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
        const [first, second] = fleet.services;
        if (first && second) {
            fleet.register(first, "draining");
            await waitUntil(() => node?.logs.some(line => line.includes("Target leaves")) === true);
            const before = first.receivedRequests.length;
            expect((await sendRequest(node?.callerAddress ?? "", { path: "/lookup/1" })).status).toBe(200);
            expect(first.receivedRequests.length).toBe(before);
        }
    });
});
