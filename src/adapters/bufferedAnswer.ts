/** Answers of targets that were read whole: how they are relayed and recorded. */
import type * as http from "node:http";
import type { DecodedAnswer } from "../codec/openai";
import type { AnswerRecord } from "../requests";
import type { OpenRequest } from "./openRequests";
import { computeContentLength, type ResponseFraming } from "./responseFraming";
import { buildAnswerHeaders } from "./targetHeaders";

/** Maximum size of answers that are recorded with an idempotency claim. */
const maxRecordedAnswerBytes = 64 * 1024;

/** Response that was read to its end. */
export interface WholeResponse {
    readonly response: http.IncomingMessage;
    readonly framing: ResponseFraming;
    readonly body: Buffer;
}

/** Answer as it is relayed. */
export interface BufferedAnswer {
    readonly status: number;
    /** Headers, with the length of the body if it is known. */
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: Buffer;
    readonly framing: ResponseFraming;
}

/** Builds the record that answers later calls with the same idempotency key; undefined when none can be kept. */
export function buildAnswerRecord({ response, framing, body }: WholeResponse): AnswerRecord | undefined {
    // A response that its connection ends may have been cut off.
    if (framing === "connection") {
        return undefined;
    }
    const contentType = response.headers["content-type"] ?? "application/octet-stream";
    const text = body.length <= maxRecordedAnswerBytes ? body.toString("utf8") : undefined;
    // A body with a content encoding, or one that is not valid UTF-8, could not be replayed unchanged.
    const isExact = text !== undefined && Buffer.from(text, "utf8").equals(body);
    return isExact && response.headers["content-encoding"] === undefined
        ? { status: response.statusCode ?? 0, contentType, body: text }
        : undefined;
}

/** Builds the answer for the caller; `answer` is the decoded answer of an engine. */
export function buildBufferedAnswer(
    { id, routeName }: OpenRequest,
    { response, framing, body }: WholeResponse,
    answer: DecodedAnswer | undefined,
): BufferedAnswer {
    const sentBody = answer ? Buffer.from(JSON.stringify({ ...answer.body, model: routeName })) : body;
    // The answer of an engine was decoded whole, so its length is known however it was framed.
    const sentFraming = answer ? "length" : framing;
    const contentLength = computeContentLength(sentFraming, response, sentBody.length);
    return {
        status: response.statusCode ?? 0,
        headers: {
            ...buildAnswerHeaders(response.headers, id),
            ...(contentLength === undefined ? {} : { "content-length": contentLength }),
        },
        body: sentBody,
        framing: sentFraming,
    };
}
