/** Callers of a soak run: they send requests over persistent connections and record the answers. */
import { randomBytes } from "node:crypto";
import * as http from "node:http";
import { sendRequest, streamHeaders } from "../standins/platformCaller";
import { apiKey } from "../standins/platformConfiguration";
import {
    crashingPart,
    getSoakTime,
    pressKey,
    type RequestKind,
    secondKey,
    type SoakRequest,
    type SoakRouter,
    type SoakWorld,
} from "./tables";

/** Deadline that callers set for each request. */
export const deadlineMs = 3000;

interface RequestShape {
    readonly method: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: string;
}

const plainShape: RequestShape = { method: "GET", headers: {}, body: "" };
const streamShape: RequestShape = { method: "POST", headers: streamHeaders, body: "prompt" };
const shapes: Readonly<Record<RequestKind, RequestShape>> = {
    review: streamShape,
    reply: streamShape,
    issue: { method: "POST", headers: {}, body: "two frames" },
    lookup: plainShape,
    probe: plainShape,
};
const kinds = Object.keys(shapes) as RequestKind[];
/** Every so many requests, a stream has the crashing part in its prompt. */
const requestsPerCrashingPart = 5;
/** Every so many requests, one that does not have the second key comes from the second account. */
const requestsPerPress = 3;
const crashingHeaders = {
    ...streamHeaders,
    "x-marjoramvane-prompt-prefix": `5c1e07a2:800,${crashingPart}:410,e4402b7d:250`,
};

const agent = new http.Agent({ keepAlive: true, maxFreeSockets: 32 });

async function sendOneRequest(world: SoakWorld, router: SoakRouter): Promise<void> {
    const kind = kinds[Math.floor(world.random() * kinds.length)] ?? "lookup";
    const configurationVersion = 1 + Math.floor(world.random() * world.configurationVersion);
    const firstKey = world.requests.length % requestsPerPress === 0 ? pressKey : apiKey;
    const request: SoakRequest = {
        attempt: randomBytes(8).toString("hex"),
        kind,
        router,
        runNumber: router.runNumber,
        sentAt: getSoakTime(world),
        configurationVersion,
        key: world.random() < 0.3 ? secondKey : firstKey,
        hasCrashingPart: shapes[kind] === streamShape && world.requests.length % requestsPerCrashingPart === 0,
        isDisturbed: router.isDisturbed,
        answer: undefined,
        endedAt: undefined,
    };
    world.requests.push(request);
    const { method, headers, body } = shapes[kind];
    try {
        request.answer = await sendRequest(router.callerAddress, {
            path: `/${kind === "probe" ? `v${configurationVersion}` : kind}/1`,
            method,
            headers: {
                ...(request.hasCrashingPart ? crashingHeaders : headers),
                "x-marjoramvane-attempt-id": request.attempt,
                "x-marjoramvane-deadline-ms": String(deadlineMs),
            },
            body,
            key: request.key,
            agent,
        });
    }
    catch {
        // A closed connection does not say whether the request ran; the checks compare with what the servers ran.
    }
    request.endedAt = getSoakTime(world);
    request.isDisturbed ||= router.isDisturbed || router.runNumber !== request.runNumber;
}

/** Sends one request to each router process. */
export function sendRequests(world: SoakWorld): void {
    for (const router of world.routers) {
        void sendOneRequest(world, router);
    }
}
