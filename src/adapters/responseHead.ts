/** Heads of responses that Node's parser accepts and that no sound server writes. */
import * as http from "node:http";
import { isDecodable } from "./responseFraming";

/** Final responses begin here; a caller would take a lower status for the announcement of another response. */
const minFinalStatus = 200;

/**
 * True when the status and the headers of a response to a request with this method are valid, so that it can be used and
 * written to a caller. The parser accepts a status below 100, a coding that it does not decode, and some versions a
 * space in the name of a header.
 *
 * @example
 * isValidHead("GET", response); // false for the status 000
 */
export function isValidHead(method: string, response: http.IncomingMessage): boolean {
    const { statusCode = 0, rawHeaders } = response;
    if (statusCode < minFinalStatus || !isDecodable(method, response)) {
        return false;
    }
    try {
        for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
            const name = rawHeaders[index] ?? "";
            http.validateHeaderName(name);
            http.validateHeaderValue(name, rawHeaders[index + 1] ?? "");
        }
        return true;
    }
    catch {
        return false;
    }
}
