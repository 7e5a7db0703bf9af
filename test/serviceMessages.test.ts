/** Messages between callers and services carry no keys, cookies or hop-by-hop headers, and their size is limited. */
import * as http from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { parseAddress } from "../src/adapters/httpClient";
import type { Service } from "../standins/service";
import { sendCall, type ServiceFleet, shopKey, startServiceFleet } from "./support/services";

const overrides = { limits: { bodyBytes: 2000, headerBytes: 4000, answerBytes: 10_000 } };
const encodedKey = [...shopKey].map(letter => `%${letter.charCodeAt(0).toString(16)}`).join("");
const escapedKey = [...shopKey].map(letter => `\\u${letter.charCodeAt(0).toString(16).padStart(4, "0")}`).join("");

describe("messages between callers and services", () => {
    let serviceFleet: ServiceFleet;
    let service: Service;

    beforeEach(async () => {
        serviceFleet = await startServiceFleet({ overrides });
        service = serviceFleet.services[0] as Service;
    });

    afterEach(async () => {
        await serviceFleet.stop();
    });

    const getAddress = (): string => serviceFleet.fleet.nodes[0]?.settings.listen.callers ?? "";

    /** Sends headers that `fetch` does not allow, and a body in chunks. */
    function sendRaw(
        headers: http.OutgoingHttpHeaders,
        chunks: readonly string[] = [],
    ): Promise<http.IncomingMessage & { text?: string; }> {
        return new Promise((resolve, reject) => {
            const request = http.request({
                ...parseAddress(getAddress()),
                method: "POST",
                path: "/services/lookup/jobs",
                headers: { authorization: `Bearer ${shopKey}`, ...headers },
                agent: false,
            });
            request.on("response", response => {
                let text = "";
                response.on("data", (chunk: Buffer) => {
                    text += chunk.toString("utf8");
                });
                response.on("end", () => {
                    resolve(Object.assign(response, { text }));
                });
            });
            request.on("error", reject);
            void (async () => {
                for (const chunk of chunks) {
                    // Each chunk arrives separately, so that the limit is exceeded before the body has ended.
                    await new Promise(resolve => request.write(chunk, () => setTimeout(resolve, 5)));
                }
                request.end();
            })();
        });
    }

    it("forwards no header that contains the key", async () => {
        const response = await sendRaw({
            "x-api-key": shopKey,
            "proxy-authorization": `Basic ${shopKey}`,
            "accept": shopKey,
            "traceparent": `00-${encodedKey}`,
            "content-type": "text/plain",
        });
        expect(response.statusCode).toBe(200);
        expect(service.calls).toHaveLength(1);
        expect(JSON.stringify(service.calls)).not.toMatch(new RegExp(`${shopKey}|${encodedKey}`));
        expect(service.calls[0]?.headers["content-type"]).toBe("text/plain");
    });

    it.each([
        { part: "path", request: { path: `/jobs?token=${shopKey}` } },
        { part: "encoded path", request: { path: `/jobs/${encodedKey}` } },
        { part: "body", request: { body: `{"token":"${shopKey}"}` } },
        { part: "escaped body", request: { body: `{"token":"${escapedKey}"}` } },
        { part: "encoded body", request: { body: `token=${encodedKey}` } },
        { part: "Idempotency-Key", request: { id: `job-${shopKey}` } },
    ])("refuses a call with the key in its $part", async ({ request }) => {
        const answer = await sendCall(serviceFleet, { route: "lookup", ...request });
        expect(answer).toMatchObject({ status: 400, error: { code: "bad_request", verdict: "not_run" } });
        expect(service.calls).toEqual([]);
    });

    it("refuses a completion with the key in escaped form, which the engine would decode", async () => {
        const response = await fetch(`http://${getAddress()}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${shopKey}` },
            body: `{"model":"catalogue","prompt":"${escapedKey}"}`,
        });
        expect(await response.json()).toMatchObject({ error: { code: "bad_request", verdict: "not_run" } });
    });

    it("removes cookies and hop-by-hop headers in both directions", async () => {
        service.faults.answerHeaders = {
            "connection": "x-hop",
            "x-hop": "1",
            "proxy-authenticate": "Basic",
            "set-cookie": "session=1",
            "x-not-run": "1",
            "x-kept": "1",
        };
        const response = await sendRaw({
            "connection": "x-hop",
            "x-hop": "1",
            "te": "trailers",
            "keep-alive": "timeout=5",
            "cookie": "session=1",
        });
        const names = Object.keys(service.calls[0]?.headers ?? {});
        expect(names.filter(name => ["x-hop", "te", "keep-alive", "cookie"].includes(name))).toEqual([]);
        expect(service.calls[0]?.headers.connection).not.toContain("x-hop");
        expect(response.headers).toMatchObject({ "x-kept": "1" });
        for (const name of ["x-hop", "proxy-authenticate", "set-cookie", "x-not-run"]) {
            expect(response.headers).not.toHaveProperty(name);
        }
        expect(response.headers.connection).not.toContain("x-hop");
    });

    it.each([{ form: "declared", headers: { "content-length": 5000 } }, { form: "undeclared", headers: {} }])(
        "refuses a body of $form length that is too large, before the target receives it",
        async ({ headers }) => {
            const response = await sendRaw(headers, Array.from({ length: 5 }, () => "x".repeat(1000)));
            expect(response.statusCode).toBe(413);
            expect(JSON.parse(response.text ?? "")).toMatchObject({ error: { verdict: "not_run" } });
            expect(service.calls).toEqual([]);
        },
    );

    it("refuses headers that are too large", async () => {
        const response = await sendRaw({ "x-filler": "x".repeat(10_000) });
        expect(response.statusCode).toBe(431);
        expect(JSON.parse(response.text ?? "")).toMatchObject({
            error: { code: "headers_too_large", verdict: "not_run" },
        });
        expect(service.calls).toEqual([]);
    });

    it.each(["orders", "lookup"])("refuses an oversized answer and does not retry the call, on %s", async route => {
        service.faults.fillerBytes = 50_000;
        expect(await sendCall(serviceFleet, { route, id: "job-1" })).toMatchObject({
            status: 502,
            error: { code: "target_failed", verdict: "may_have_run" },
        });
        expect(service.calls).toHaveLength(1);
    });

    it("does not replay an answer with a content encoding, because the replay would differ from it", async () => {
        service.faults.answerHeaders = { "content-encoding": "identity" };
        await sendCall(serviceFleet, { id: "job-1" });
        expect((await sendCall(serviceFleet, { id: "job-1" })).status).toBe(409);
    });
});
