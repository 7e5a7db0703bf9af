/** Callers of a soak run: they send requests over kept channels and note what they get. */
import { randomBytes } from "node:crypto";
import * as http from "node:http";
import { sendRequest, streamHeaders } from "../standins/platformCaller";
import { keyText } from "../standins/platformConfiguration";
import { getSoakTime, type RequestKind, secondKey, type SoakNode, type SoakRequest, type SoakWorld } from "./tables";

/** Time that callers allow. */
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

const agent = new http.Agent({ keepAlive: true, maxFreeSockets: 32 });

async function sendOne(world: SoakWorld, node: SoakNode): Promise<void> {
    const kind = kinds[Math.floor(world.random() * kinds.length)] ?? "lookup";
    const version = 1 + Math.floor(world.random() * world.version);
    const request: SoakRequest = {
        attempt: randomBytes(8).toString("hex"),
        kind,
        node,
        run: node.run,
        sentAt: getSoakTime(world),
        version,
        key: world.random() < 0.3 ? secondKey : keyText,
        isDisturbed: node.isDisturbed,
        answer: undefined,
        endedAt: undefined,
    };
    world.requests.push(request);
    const { method, headers, body } = shapes[kind];
    try {
        request.answer = await sendRequest(node.callers, {
            path: `/${kind === "probe" ? `v${version}` : kind}/1`,
            method,
            headers: {
                ...headers,
                "x-marjoramvane-attempt-id": request.attempt,
                "x-marjoramvane-deadline-ms": String(deadlineMs),
            },
            body,
            key: request.key,
            agent,
        });
    }
    catch {
        // A channel that closes promises nothing; the checks look at what the servers ran.
    }
    request.endedAt = getSoakTime(world);
    request.isDisturbed ||= node.isDisturbed || node.run !== request.run;
}

/** Sends one request to each process that a caller can reach. */
export function sendRequests(world: SoakWorld): void {
    for (const node of world.nodes) {
        void sendOne(world, node);
    }
}
