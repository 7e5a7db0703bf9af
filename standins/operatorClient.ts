/** Client of the operator interface for the demo and for tests with real processes. */
import { fleetSecret, type RouterProcess } from "./processes";

async function sendCall(
    router: RouterProcess,
    method: string,
    path: string,
    key: string,
    body?: unknown,
): Promise<{ readonly status: number; readonly body: unknown; }> {
    const response = await fetch(`http://${router.operatorAddress}/operator/${path}`, {
        method,
        headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.status, body: await response.json() };
}

/** Sends a configuration document. Before the first configuration the fleet secret serves as operator key. */
export async function sendConfiguration(router: RouterProcess, document: unknown, key = fleetSecret): Promise<void> {
    const end = performance.now() + 10_000;
    for (;;) {
        const answer = await sendCall(router, "PUT", "configuration", key, document).catch(() => undefined);
        if (answer?.status === 200) {
            return;
        }
        if (performance.now() > end) {
            throw new Error(`The configuration was not accepted: ${JSON.stringify(answer)}`);
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
}
