/** Splits a response into lines, with a bound for the length of one. */
import { createPieceCounter } from "./pieceCounter";
import { createResponseBuffers } from "./responseBuffers";

export interface LineReader {
    /** Adds a piece and returns the lines that it completes; undefined when a line is too long or in too many pieces. */
    add(piece: Buffer): string[] | undefined;
}

const lineFeed = 0x0a;

/**
 * Creates the reader of one response.
 *
 * @example
 * createLineReader({ maxLineBytes: 1024 }).add(Buffer.from("{}\n{")); // ["{}"]
 */
export function createLineReader({ maxLineBytes }: { readonly maxLineBytes: number; }): LineReader {
    const buffers = createResponseBuffers({ maxBytes: maxLineBytes, maxTotalBytes: Number.POSITIVE_INFINITY });
    const pieces = createPieceCounter();
    let beginning = buffers.open();
    return {
        add: piece => {
            const lines: string[] = [];
            if (!pieces.add(piece)) {
                return undefined;
            }
            let start = 0;
            for (let end = piece.indexOf(lineFeed); end >= 0; end = piece.indexOf(lineFeed, start)) {
                lines.push(Buffer.concat([beginning.take(), piece.subarray(start, end)]).toString("utf8"));
                beginning = buffers.open();
                start = end + 1;
            }
            return start === piece.length || beginning.add(piece.subarray(start)) ? lines : undefined;
        },
    };
}
