/** Memory of a real process that gets one large configuration after the other. */
import { afterEach, expect, it } from "vitest";
import { buildManyRoutes, plainService } from "../../standins/platformConfiguration";
import { startPlatformServer } from "../../standins/platformServer";
import { startPlatformStore } from "../../standins/platformStore";
import { type ForwardProcess, startForwardProcess } from "../support/forwardProcess";
import { sendRequest, waitUntil } from "../support/platformFleet";

const closers: (() => unknown)[] = [];

afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

/** Less than the versions take together, 1.3 MB each. */
const heapMb = 56;
const versionCount = 50;
/** 0.94 MB. */
const routeCount = 4500;
const timeoutMs = 60_000;

const hasActivated = (process: ForwardProcess, version: number): boolean =>
    process.getLog().includes(`"version":${version},`);

// Guards against a process that keeps all versions of a configuration for others, until its heap is full.
it("goes on through more versions than its heap has room for", async () => {
    const store = await startPlatformStore();
    const service = await startPlatformServer({ instance: "s1", service: plainService });
    closers.push(store.close, service.close);
    store.put(`servers/${service.instance}`, service.buildRegistration());
    store.put("op/config", buildManyRoutes({ version: 1, count: routeCount, timeoutMs: 3000 }));
    const process = await startForwardProcess(store.address, {
        nodeOptions: [`--max-old-space-size=${heapMb}`, "--max-semi-space-size=2"],
    });
    closers.push(process.kill);
    for (let version = 2; version <= versionCount; version += 1) {
        store.put("op/config", buildManyRoutes({ version, count: routeCount, timeoutMs: 3000 }));
        await waitUntil(() => hasActivated(process, version) || !process.isRunning(), 5000);
        expect(process.isRunning(), `at version ${version}: ${process.getLog().slice(-400)}`).toBe(true);
    }
    const answer = await sendRequest(process.callerAddress, { path: "/lookup-0/a" });
    expect(answer.status).toBe(200);
}, timeoutMs);
