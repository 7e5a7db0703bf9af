/** Bounds the work of a message that arrives in many small pieces: each costs a call, whatever its length. */

export interface PieceCounter {
    /** Counts a piece. Returns false when the message has too many pieces for its length. */
    add(piece: Buffer): boolean;
}

/** Number of pieces that any message may have. */
const freePieces = 4096;
/** Default of `minMeanBytes`: a target may write the lines of short events one by one. */
const defaultMinMeanBytes = 2;

export interface PieceCounterOptions {
    /** Mean length of a piece, in bytes, that allows any number of them. */
    readonly minMeanBytes?: number;
}

/**
 * Creates the counter of one message.
 *
 * @example
 * createPieceCounter().add(Buffer.from("a")); // true
 */
export function createPieceCounter(
    { minMeanBytes = defaultMinMeanBytes }: PieceCounterOptions = {},
): PieceCounter {
    let pieces = 0;
    let bytes = 0;
    return {
        add: piece => {
            pieces += 1;
            bytes += piece.length;
            return pieces <= freePieces + bytes / minMeanBytes;
        },
    };
}
