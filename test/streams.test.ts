/** Streams are complete and in order or end with an explicit error, and answers reach only their own request. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type Engine, type EngineRun, startEngine } from "../standins/engine";
import { type CompletionOutcome, sendCompletion } from "../standins/loadClient";
import { type Fleet, hashKey, startFleet, waitUntil, waitUntilReady } from "./support/fleet";

const key = "sk-stream-test";
const maxTokens = 40;

function buildDocument(engines: readonly Engine[]): unknown {
    return {
        accounts: { desk: { rate: 10_000_000, burst: 10_000_000 } },
        keys: { [hashKey(key)]: { account: "desk" } },
        models: { referral: { bytesPerToken: 4, blockTokens: 256 } },
        routes: { eligibility: { kind: "model", model: "referral", version: "v1" } },
        targets: Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {
            kind: "engine",
            address: engine.address,
            dataCentre: "dc-0",
            model: "referral",
            version: "v1",
        }])),
    };
}

describe("streams", () => {
    let engines: Engine[];
    let fleet: Fleet;

    beforeEach(async () => {
        const options = { model: "referral", version: "v1", blockTokens: 256, decodeMs: 2 };
        engines = [await startEngine(options), await startEngine(options)];
        fleet = await startFleet({ count: 1, document: buildDocument(engines) });
        await waitUntilReady(fleet);
        // An attempt can be resumed only if the engine's incarnation was known when the attempt was sent.
        await waitUntil(async () => {
            await sendPrompt("warm up");
            return (await sendPrompt("warm up")).kind === "complete";
        });
    });

    afterEach(async () => {
        await fleet.stop();
        await Promise.all(engines.map(engine => engine.stop()));
    });

    const listRuns = (prompt: string): EngineRun[] =>
        engines.flatMap(engine => engine.runs).filter(run => run.body.includes(prompt));

    function sendPrompt(prompt: string, stream = true): Promise<CompletionOutcome> {
        const address = fleet.nodes[0]?.settings.listen.callers ?? "";
        return sendCompletion({ address, key, route: "eligibility", prompt, maxTokens, stream });
    }

    function updateFaults(faults: Partial<Engine["faults"]>): void {
        for (const engine of engines) {
            Object.assign(engine.faults, faults);
        }
    }

    it("resumes an interrupted stream from the same run", async () => {
        updateFaults({ breakAfterEvents: 7 });
        expect(await sendPrompt("breaks off")).toMatchObject({ kind: "complete" });
        expect(listRuns("breaks off")).toHaveLength(1);
    });

    it("ends a stream that cannot be resumed with an explicit error and without an end marker", async () => {
        updateFaults({ breakAfterEvents: 7, canResume: false });
        expect(await sendPrompt("cannot resume")).toEqual({ kind: "interrupted", code: "stream_interrupted" });
        expect(listRuns("cannot resume")).toHaveLength(1);
    });

    it("detects a missing event and fetches it", async () => {
        for (const engine of engines) {
            engine.faults.skipEvents = 1;
        }
        expect(await sendPrompt("missing event")).toMatchObject({ kind: "complete" });
    });

    it("never relays an answer that names another request", async () => {
        updateFaults({ crossAnswers: 1 });
        expect(await sendPrompt("crossed", false)).toMatchObject({ kind: "complete" });
        updateFaults({ crossAnswers: 1000 });
        const streamed = await sendPrompt("crossed stream");
        expect(streamed.kind).not.toBe("wrong");
        expect(streamed.kind).not.toBe("complete");
    });

    it("retries on another engine when an engine crashes before it began to answer", async () => {
        updateFaults({ delayMs: 200 });
        const answer = sendPrompt("crash before", false);
        await waitUntil(() => listRuns("crash before").length === 1);
        engines.find(engine => engine.runs.some(run => run.body.includes("crash before")))?.crash();
        expect(await answer).toMatchObject({ kind: "complete" });
        expect(listRuns("crash before")).toHaveLength(2);
    });

    it("never continues a stream from another run when the engine crashes during the stream", async () => {
        const answer = sendPrompt("crash in the middle");
        await waitUntil(() => listRuns("crash in the middle").length === 1);
        await new Promise(resolve => setTimeout(resolve, 30));
        engines.find(engine => engine.runs.some(run => run.body.includes("crash in the middle")))?.crash();
        expect(["complete", "interrupted"]).toContain((await answer).kind);
    });

    it("cancels the run on the engine when the caller disconnects", async () => {
        const abort = new AbortController();
        const answer = sendCompletion({
            address: fleet.nodes[0]?.settings.listen.callers ?? "",
            key,
            route: "eligibility",
            prompt: "caller goes away",
            maxTokens: 2000,
            stream: true,
            signal: abort.signal,
        });
        await waitUntil(() => listRuns("caller goes away").length === 1);
        abort.abort();
        // The headers may or may not have arrived before the abort, but the answer must not complete.
        expect(["unreachable", "interrupted"]).toContain((await answer).kind);
        await waitUntil(() =>
            engines.flatMap(engine => engine.runs).some(run => run.body.includes("caller goes away") && run.isCancelled)
        );
    });
});
