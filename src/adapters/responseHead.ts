/** Heads of responses that Node's parser accepts and that no sound server writes. */
import * as http from "node:http";

/** Final responses begin here; a caller would take a lower status for the announcement of another response. */
const minFinalStatus = 200;

/**
 * True when the status and the headers of a response are valid, so that it can be used and written to a caller. The
 * parser accepts a status below 100, and some versions a space in the name of a header.
 */
export function isValidHead({ statusCode = 0, rawHeaders }: http.IncomingMessage): boolean {
    if (statusCode < minFinalStatus) {
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
