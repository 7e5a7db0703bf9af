import { afterEach, describe, expect, it } from "vitest";
import { apiKey, type PlatformFleet, sendRequest, startPlatformFleet, waitUntil } from "../support/platformFleet";

let fleet: PlatformFleet | undefined;

afterEach(async () => {
    await fleet?.close();
    fleet = undefined;
});

const usageHeader = "x-marjoramvane-token-usage";

describe("a request whose token counts are no numbers", () => {
    // Guards against an account whose usage is no number any more, so that all of its requests are refused.
    it("is refused at once and does not change what its account may use", async () => {
        fleet = await startPlatformFleet();
        const tenant = { "name": "shop", "api-keys": [apiKey], "rate-per-s": 1000, "burst": 10_000 };
        fleet.writeConfiguration({ tenants: [tenant] });
        const [node] = fleet.nodes;
        const address = node?.callerAddress ?? "";
        await waitUntil(() => node?.logs.some(line => line.includes("\"version\":6")) ?? false);
        const send = (usage: string) => sendRequest(address, { path: "/lookup/1", headers: { [usageHeader]: usage } });
        for (const usage of ["many,80", "1460,", "-1460,80", "1e999,80", "1460,80,x", "NaN"]) {
            const answer = await send(usage);
            expect(answer.status).toBe(400);
            expect(answer.body).toContain("\"verdict\":\"not_run\"");
        }
        expect((await send("1460,80")).status).toBe(200);
    });
});
