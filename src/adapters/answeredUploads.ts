/**
 * Bounds the bodies of requests that their targets have answered before they have read them. The callers have their
 * answers already; the rest of such a body is written only so that the connection to the target can be used again.
 */
import type * as http from "node:http";
import type { Socket } from "node:net";
import type { FailureReporter } from "../runner";
import type { ReporterOptions } from "./failures";
import { createListenerGuard } from "./listenerGuard";
import type { Metrics } from "./metrics";

export interface Upload {
    readonly bodyBytes: number;
    /** Time from now after which the target has to be done with the request. */
    readonly timeLeftMs: number;
    /** Id or address of the target, for the report. */
    readonly target: string;
}

/** Why a connection is closed whose target has not read an upload that it has answered. */
export type UploadFault = "time_limit" | "memory";

export interface ClosedUpload extends Pick<Upload, "bodyBytes" | "target"> {
    readonly fault: UploadFault;
    /** Bytes of all such bodies, this one included. */
    readonly heldBytes: number;
}

export interface AnsweredUploads {
    /** Follows the body of a request that is about to be sent, from the end of its response until it is written. */
    follow(request: http.ClientRequest, upload: Upload): void;
}

export interface AnsweredUploadsOptions {
    /** Bytes of all bodies together, beyond which the connections of those answered first are closed. */
    readonly maxBytes?: number;
    /** Called with the bytes of all such bodies when they change. */
    readonly onChanged?: (bytes: number) => void;
    readonly onClosed?: (upload: ClosedUpload) => void;
    readonly reportFailure?: FailureReporter | undefined;
}

interface UploadRow extends Upload {
    readonly socket: Socket;
    readonly timer: NodeJS.Timeout;
}

/**
 * Creates the bounds of a process on answered uploads. A connection whose upload goes over the time limit of its request
 * or the bound in bytes is closed; the target has answered, so its caller does not notice.
 *
 * @example
 * const uploads = createAnsweredUploads({ maxBytes: 16 * 1024 * 1024 });
 * uploads.follow(request, { bodyBytes: body.length, timeLeftMs: 3000, target: "10.0.0.7:80" });
 */
export function createAnsweredUploads(
    {
        maxBytes = Number.POSITIVE_INFINITY,
        onChanged = () => undefined,
        onClosed = () => undefined,
        reportFailure,
    }: AnsweredUploadsOptions = {},
): AnsweredUploads {
    const guard = createListenerGuard({ part: "answeredUploads", end: () => undefined, reportFailure });
    /** In the order in which their targets answered. */
    const rows = new Map<http.ClientRequest, UploadRow>();
    let heldBytes = 0;

    function release(request: http.ClientRequest): void {
        const row = rows.get(request);
        if (row) {
            rows.delete(request);
            clearTimeout(row.timer);
            heldBytes -= row.bodyBytes;
            onChanged(heldBytes);
        }
    }

    function closeUpload(request: http.ClientRequest, fault: UploadFault): void {
        const row = rows.get(request);
        if (row) {
            const { bodyBytes, target, socket } = row;
            onClosed({ bodyBytes, target, fault, heldBytes });
            release(request);
            socket.destroy();
        }
    }

    function closeOldest(): void {
        for (const request of rows.keys()) {
            if (heldBytes <= maxBytes) {
                return;
            }
            closeUpload(request, "memory");
        }
    }

    function add(request: http.ClientRequest, upload: Upload, endsAt: number): void {
        const { socket } = request;
        if (request.writableFinished || request.destroyed || !socket) {
            return;
        }
        const handleTimeout = guard(() => {
            closeUpload(request, "time_limit");
        });
        const handleRelease = guard(() => {
            release(request);
        });
        const timer = setTimeout(handleTimeout, Math.max(0, endsAt - performance.now()));
        rows.set(request, { ...upload, socket, timer });
        heldBytes += upload.bodyBytes;
        onChanged(heldBytes);
        request.once("finish", handleRelease);
        request.once("close", handleRelease);
        closeOldest();
    }

    return {
        follow: (request, upload) => {
            const endsAt = performance.now() + upload.timeLeftMs;
            const handleEnd = guard(() => {
                add(request, upload, endsAt);
            });
            const handleResponse = guard((response: http.IncomingMessage) => {
                response.once("end", handleEnd);
            });
            request.once("response", handleResponse);
        },
    };
}

interface UploadReporterOptions extends ReporterOptions {
    readonly metrics: Pick<Metrics, "addCount" | "updateGauge">;
}

/** Creates the functions that report the bytes of answered uploads and each that is closed. */
export const createUploadReporter = (
    { writeLog, metrics }: UploadReporterOptions,
): Pick<AnsweredUploadsOptions, "onChanged" | "onClosed"> => ({
    onChanged: value => {
        metrics.updateGauge({ kind: "updateGauge", name: "answered_upload_bytes", value });
    },
    onClosed: upload => {
        const labels = { fault: upload.fault };
        metrics.addCount({ kind: "addCount", name: "answered_uploads_closed_total", value: 1, labels });
        writeLog({
            kind: "writeLog",
            level: "warn",
            prefix: "target:",
            message: "A target has not read an upload that it has answered; the connection is closed.",
            fields: { ...upload },
        });
    },
});
