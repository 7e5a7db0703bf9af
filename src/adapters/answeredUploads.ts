/** Follows the bodies of requests that their targets have answered before they have read them. */
import type * as http from "node:http";
import type { FailureReporter } from "../runner";
import type { ReporterOptions } from "./failures";
import { createListenerGuard } from "./listenerGuard";
import type { Metrics } from "./metrics";

export interface AnsweredUploads {
    /** Follows the body of a request that is about to be sent, from the end of its response until it is written. */
    follow(request: http.ClientRequest, upload: { readonly bodyBytes: number; }): void;
}

export interface AnsweredUploadsOptions {
    /** Called with the bytes of all such bodies when they change. */
    readonly onChanged?: (bytes: number) => void;
    readonly reportFailure?: FailureReporter;
}

/**
 * Creates the followed uploads of a process.
 *
 * @example
 * const uploads = createAnsweredUploads({ onChanged: bytes => updateGauge(bytes) });
 * uploads.follow(http.request(options), { bodyBytes: body.length });
 */
export function createAnsweredUploads(
    { onChanged = () => undefined, reportFailure }: AnsweredUploadsOptions = {},
): AnsweredUploads {
    const guard = createListenerGuard({ part: "answeredUploads", end: () => undefined, reportFailure });
    const rows = new Map<http.ClientRequest, number>();
    let totalBytes = 0;

    function release(request: http.ClientRequest): void {
        const bytes = rows.get(request);
        if (bytes !== undefined) {
            rows.delete(request);
            totalBytes -= bytes;
            onChanged(totalBytes);
        }
    }

    return {
        follow: (request, { bodyBytes }) => {
            const handleRelease = guard(() => {
                release(request);
            });
            const handleEnd = guard(() => {
                if (request.writableFinished || request.destroyed) {
                    return;
                }
                rows.set(request, bodyBytes);
                totalBytes += bodyBytes;
                onChanged(totalBytes);
                request.once("finish", handleRelease);
                request.once("close", handleRelease);
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

/** Creates the function that reports the bytes of all followed uploads. */
export const createUploadReporter = (
    { metrics }: UploadReporterOptions,
): Pick<AnsweredUploadsOptions, "onChanged"> => ({
    onChanged: value => {
        metrics.updateGauge({ kind: "updateGauge", name: "answered_upload_bytes", value });
    },
});
