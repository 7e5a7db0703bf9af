/** Writes responses of targets to callers. */
import type * as http from "node:http";
import { sendRefusal } from "../../adapters/httpServer";
import { computeContentLength, removeFraming, type ResponseFraming } from "../../adapters/responseFraming";
import type { FailureReporter } from "../../runner";
import type { HeaderCodec } from "../calls";
import type { OpenForwardRequest } from "./openForwardRequests";

/** Response that was read whole. */
export interface BufferedResponse {
    readonly targetResponse: http.IncomingMessage;
    readonly framing: ResponseFraming;
    readonly body: Buffer;
}

export interface ResponseWriterOptions {
    readonly codec: HeaderCodec;
    /** True when responses must carry `Connection: close`. */
    readonly isClosing: () => boolean;
    readonly reportFailure: FailureReporter;
}

export interface ResponseWriter {
    /** Writes the head with the framing that the body will have. */
    writeHead(
        openRequest: OpenForwardRequest,
        response: Pick<BufferedResponse, "targetResponse" | "framing">,
        extraHeaders: readonly string[],
    ): void;
    /** Writes the whole response. */
    relay(openRequest: OpenForwardRequest, response: BufferedResponse): void;
}

/** Creates the writer of a process. */
export function createResponseWriter({ codec, isClosing, reportFailure }: ResponseWriterOptions): ResponseWriter {
    function writeHead(
        openRequest: OpenForwardRequest,
        { targetResponse, framing }: Pick<BufferedResponse, "targetResponse" | "framing">,
        extraHeaders: readonly string[],
    ): void {
        const endsWithConnection = framing === "connection";
        if (endsWithConnection) {
            removeFraming(openRequest.response);
        }
        const connectionHeaders = isClosing() || endsWithConnection ? ["Connection", "close"] : [];
        openRequest.response.writeHead(targetResponse.statusCode ?? 502, [
            ...codec.encodeResponse(targetResponse.rawHeaders),
            ...extraHeaders,
            ...connectionHeaders,
        ]);
    }

    function relay(openRequest: OpenForwardRequest, buffered: BufferedResponse): void {
        const { targetResponse, framing, body } = buffered;
        const { response } = openRequest;
        const length = computeContentLength(framing, targetResponse, body.length);
        try {
            writeHead(openRequest, buffered, length === undefined ? [] : ["Content-Length", String(length)]);
        }
        catch (error) {
            // The system has closed the request already, so it is answered here.
            reportFailure({ part: "forwardClient", error, fields: { request: openRequest.id } });
            sendRefusal(response, openRequest.attemptId, { code: "target_failed", verdict: "may_have_run" });
            return;
        }
        response.end(body);
    }

    return { writeHead, relay };
}
