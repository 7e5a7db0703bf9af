/** Client for the platform's key-value store: calls and watches over the JSON mapping of the etcd v3 API. */
import * as http from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { decodeWatch, encodeCall, encodeWatch, watchPath } from "../codec/etcd";
import type { EffectOf } from "../effects";
import type { Event, WatchName } from "../events";
import type { Clock, FailureReporter } from "../runner";
import type { StoreAnswer, StoreFailure } from "../store";
import { applyHeadLimit } from "./headLimit";
import { createKeepAliveAgent, HttpCallError, parseAddress, sendHttpCall, singleUseAgent } from "./httpClient";
import { createLineReader } from "./lineReader";
import { createLinkMeter } from "./linkMeter";
import { createListenerGuard, type ListenerGuard } from "./listenerGuard";

/** A watch that receives nothing for this long is closed and opened again, in case its connection is dead. */
const maxWatchSilenceMs = 60_000;

/** Maximum length of one message of a watch; the store's own limit for a request is 1.5 MB by default. */
const maxWatchLineBytes = 16 * 1024 * 1024;

/** Statuses by which the store rejects a call without applying it. A cancelled call (408) may have been applied. */
const notAppliedStatuses: ReadonlySet<number> = new Set([400, 401, 403, 404, 412, 429]);

export interface StoreClientOptions {
    readonly address: string;
    readonly timeoutMs: number;
    readonly clock: Clock;
    readonly post: (event: Event) => void;
    readonly reportFailure?: FailureReporter;
}

export interface StoreClient {
    call(effect: EffectOf<"callStore">): void;
    openWatch(effect: EffectOf<"openWatch">): void;
    closeWatch(watch: WatchName): void;
    close(): void;
}

/** Creates the store client of a process. */
export function createStoreClient(
    { address, timeoutMs, clock, post, reportFailure }: StoreClientOptions,
): StoreClient {
    const agent = createKeepAliveAgent();
    const link = createLinkMeter();
    const watches = new Map<WatchName, http.ClientRequest>();

    async function sendCall(effect: EffectOf<"callStore">): Promise<Result<StoreAnswer, StoreFailure>> {
        const { path, body, decode } = encodeCall(effect.call);
        try {
            const answer = await sendHttpCall({
                method: "POST",
                address,
                path,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                timeoutMs,
                agent,
                link,
            });
            if (answer.status === 200) {
                return Ok(decode(JSON.parse(answer.text)));
            }
            // 404 is a valid answer to a renewal: the lease no longer exists.
            if (answer.status === 404 && effect.call.kind === "renewLease") {
                return Ok({ kind: "lease", lease: effect.call.lease, ttlSeconds: 0 });
            }
            return Err({
                effect: notAppliedStatuses.has(answer.status) ? "none" : "unknown",
                message: `The store answered ${answer.status}.`,
            });
        }
        catch (error) {
            const mayHaveBeenSent = error instanceof HttpCallError ? error.mayHaveBeenSent : true;
            const message = error instanceof Error ? error.message : "The call failed.";
            return Err({ effect: mayHaveBeenSent ? "unknown" : "none", message });
        }
    }

    function closeWatch(watch: WatchName): void {
        const request = watches.get(watch);
        watches.delete(watch);
        request?.destroy();
    }

    function openWatch(effect: EffectOf<"openWatch">): void {
        closeWatch(effect.watch);
        const request = http.request({
            ...parseAddress(address),
            method: "POST",
            path: watchPath,
            headers: { "content-type": "application/json" },
            agent: singleUseAgent,
            timeout: maxWatchSilenceMs,
        });
        watches.set(effect.watch, request);
        const guard = createListenerGuard({
            part: "storeClient",
            fields: { watch: effect.watch },
            end: () => request.destroy(),
            reportFailure,
        });
        const handleEnd = guard(() => {
            if (watches.get(effect.watch) === request) {
                watches.delete(effect.watch);
                post({ kind: "watchEnded", watch: effect.watch });
            }
        });
        const handleHead = (response: http.IncomingMessage): void => {
            response.on("error", handleEnd);
            response.on("close", handleEnd);
            if (response.statusCode !== 200) {
                request.destroy();
                return;
            }
            readWatch(effect.watch, response, guard, () => request.destroy());
        };
        applyHeadLimit(request, { guard, onTooLong: () => request.destroy() });
        request.on("timeout", guard(() => request.destroy()));
        request.on("error", handleEnd);
        request.on("response", guard(handleHead));
        request.end(JSON.stringify(encodeWatch({ key: effect.key, prefix: effect.prefix }, effect.fromRevision)));
    }

    function readWatch(
        watch: WatchName,
        response: http.IncomingMessage,
        guard: ListenerGuard,
        closeRequest: () => void,
    ): void {
        const reader = createLineReader({ maxLineBytes: maxWatchLineBytes });
        let message = link.open();
        const handleData = (piece: Buffer): void => {
            message.addBytes(piece.length);
            const lines = reader.add(piece);
            if (!lines) {
                closeRequest();
                return;
            }
            if (lines.length > 0) {
                message = link.open();
            }
            for (const line of lines.filter(text => text.trim() !== "")) {
                handleWatchLine(watch, line, closeRequest);
            }
        };
        response.on("data", guard(handleData));
    }

    function handleWatchLine(watch: WatchName, line: string, closeRequest: () => void): void {
        let message: ReturnType<typeof decodeWatch>;
        try {
            message = decodeWatch(line);
        }
        catch {
            closeRequest();
            return;
        }
        if (message.kind === "ended") {
            closeRequest();
        }
        if (message.kind === "changes") {
            const { revision, changes } = message;
            post({ kind: "watchDelivered", watch, revision, changes, receivedAt: clock.getNow() });
        }
    }

    return {
        call: effect => {
            const sentAt = clock.getNow();
            void sendCall(effect).then(result => {
                post({ kind: "storeReplied", purpose: effect.purpose, outcome: { result, sentAt } });
            });
        },
        openWatch,
        closeWatch,
        close: () => {
            for (const watch of [...watches.keys()]) {
                closeWatch(watch);
            }
            agent.destroy();
        },
    };
}
